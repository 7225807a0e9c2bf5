// Requests that are forwarded to dispatchers, and those that a dispatcher gets.

#include <algorithm>
#include <iterator>

#include "exchange.hpp"
#include "exchange_detail.hpp"

namespace mimosavalve::gateway {

namespace detail {

// Weight of an answer in the mean time of forwarded requests.
constexpr double forwarded_mean_weight = 0.1;

// Idle connections to dispatchers are kept with those to targets, under names that no target has.
std::string link_name(std::string_view host) {
    return "@" + std::string(host);
}

}  // namespace detail

dispatch_choice exchange::choose_dispatch() {
    if (is_keyed()) {
        return {};
    }
    // A request that has reached a target stays with this router, which knows whether it may have
    // run and how often it may be sent.
    const bool must_be_direct = is_forwarded_ || is_large(route_->kind) || attempts_ > 0;
    return choose_dispatcher(core_.state.dispatchers,
                             {service_, route_->home_regions, core_.state.own_region,
                              core_.settings.host, must_be_direct},
                             core_.now());
}

void exchange::avoid_dispatcher(const std::string& host) {
    record_unreachable(core_.state.dispatchers, host, core_.now());
    // Other connections to it may be silent as well.
    core_.idle_links.erase(detail::link_name(host));
}

bool exchange::retry_after_dispatcher(std::string_view reason) {
    // What the dispatcher lacks, or that it stops, says nothing about the service.
    constexpr std::string_view own_reasons[] = {"stopping", "no-configuration", "no-target",
                                                "unknown-route"};
    const bool is_own =
        std::find(std::begin(own_reasons), std::end(own_reasons), reason) != std::end(own_reasons);
    if (!is_own || is_streaming_ || !try_acquire_attempt(false)) {
        return false;
    }
    avoid_dispatcher(std::string(dispatcher_));
    detach_from_target();
    verdict_ = earlier_sends_verdict_;
    --attempts_;  // The request has not been sent to a target.
    dispatch();
    return true;
}

void exchange::forward_to(const dispatch_peer& peer) {
    if (cancel_if_caller_left()) {
        return;
    }
    count(core_.metrics, "requests_forwarded");
    chosen_at_ = steady::now();
    dispatcher_ = peer.host;
    target_id_ = detail::link_name(peer.host);
    target_instance_ = 0;
    counted_by_ = 0;
    target_address_ = peer.address;
    auto& idle = core_.idle_links[target_id_];
    while (!idle.empty()) {
        auto link = std::move(idle.back());
        idle.pop_back();
        if (can_send_on(*link)) {
            send_on(std::move(link));
            return;
        }
    }
    connect();
}

void exchange::read_forwarding(milliseconds& timeout) {
    count(core_.metrics, "requests_dispatched");
    const auto age = milliseconds(
        detail::parse_number(field_of(head_, detail::forwarded_age_field)).value_or(0));
    // The time left was counted from the forwarding, the objective counts from the first receipt.
    timeout += age;
    forwarded_age_ = age;
    arrived_ -= age;
    service_ = field_of(head_, detail::forwarded_service_field);
    const auto found = core_.state.routes.find(field_of(head_, "host"), path_of(head_));
    const bool is_known =
        found && std::any_of(core_.state.config.routes[*found].services.begin(),
                             core_.state.config.routes[*found].services.end(),
                             [&](const auto& part) { return part.service == service_; });
    if (!is_known) {
        // The routers may have different configurations for a moment.
        service_.clear();
    }
}

void exchange::record_forwarded_answer() {
    const auto taken = static_cast<double>(
        std::chrono::duration_cast<milliseconds>(steady::now() - sent_at_).count());
    const auto [known, is_first] = core_.forwarded_answer_ms.try_emplace(service_, taken);
    if (!is_first) {
        known->second += (taken - known->second) * detail::forwarded_mean_weight;
    }
}

}  // namespace mimosavalve::gateway
