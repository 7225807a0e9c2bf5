#include <algorithm>
#include <span>
#include <utility>

#include "domain_choice.hpp"
#include "exchange.hpp"
#include "exchange_detail.hpp"

namespace mimosavalve::gateway {

namespace detail {

// Time reserved for running a request after its owner is known.
constexpr milliseconds min_time_with_owner{100};
// A stopping router expects no answer to take longer than this multiple of the mean. Of
// exponentially distributed times, three in ten thousand do.
constexpr double max_answer_time_factor = 8;

}  // namespace detail

std::string exchange::destination() const {
    if (!is_keyed()) {
        return demand_destination(service_, route_->home_regions);
    }
    const auto map = core_.state.keys.find(service_);
    return map == core_.state.keys.end() ? service_ : segment_of(map->second, *key_).owner;
}

void exchange::dispatch() {
    dispatch_round round;
    dispatch(round);
}

void exchange::dispatch(dispatch_round& round) {
    const auto dispatch = choose_dispatch();
    if (dispatch.kind == dispatch_kind::forward) {
        stop_waiting();
        if (may_outlast_process(nullptr)) {
            give_up("stopping");
        } else {
            forward_to(*dispatch.peer);
        }
        return;
    }
    ignores_quotas_ = dispatch.kind == dispatch_kind::direct_without_quota;
    const bool has_tried_none = tried_targets_.empty();
    if (waiting_ && has_tried_none && !core_.answers_until) {
        if (const auto full = round.full.find(destination()); full != round.full.end()) {
            wait_or_refuse({choice_kind::wait_for_room, nullptr}, full->second);
            // A request that was refused no longer waits with the others.
            full->second.requests_ahead -= waiting_ ? 0 : 1;
            return;
        }
    }
    const auto now = boot_clock::now();
    if (!std::exchange(has_earned_tokens_, true)) {
        earn_tokens(core_.state.overflow, service_);
    }
    choice_request request{&*route_,       service_,        key_,
                           tried_targets_, ignores_quotas_, refused_fence_};
    request.age = milliseconds(age_ms());
    const auto began = steady::now();
    const auto choice = choose_target(core_.state, request, now);
    record_latency(core_.metrics, "choice", steady::now() - began);
    if (choice.kind == choice_kind::held_back) {
        stop_waiting();
        wait_estimate estimate;
        estimate.unavailable_ms = static_cast<double>(choice.expected_wait.count());
        give_up(choice.expected_wait.count() > 0 ? "target-paused" : "target-limit", estimate);
    } else if (choice.kind == choice_kind::none) {
        stop_waiting();
        give_up(is_keyed() ? "no-owner" : "no-target");
    } else if (may_outlast_process(choice.target)) {
        stop_waiting();
        give_up("stopping");
    } else if (choice.kind == choice_kind::target) {
        stop_waiting();
        count_place(*choice.target, choice.reason);
        open_link(*choice.target);
    } else {
        const auto estimate = estimate_wait();
        wait_or_refuse(choice, estimate);
        if (choice.kind == choice_kind::wait_for_room && has_tried_none && waiting_) {
            round.full.emplace(destination(), estimate);
        }
    }
}

bool exchange::may_outlast_process(const target_state* target) const {
    if (!core_.answers_until || answer_deadline_ <= *core_.answers_until) {
        return false;
    }
    if (core_.estimates_until && steady::now() >= *core_.estimates_until) {
        return true;
    }
    const auto answer_ms = known_answer_ms(target);
    const milliseconds longest(
        static_cast<std::int64_t>(answer_ms * detail::max_answer_time_factor));
    return answer_ms <= 0 ||
           steady::now() + std::max(route_->objective, longest) > *core_.answers_until;
}

double exchange::known_answer_ms(const target_state* target) const {
    const auto now = boot_clock::now();
    const auto known_time = [&](const target_state& of) {
        return is_cold(of, now) ? 0 : std::max(of.answer_ms, of.work_ms);
    };
    if (target != nullptr && (known_time(*target) > 0 || is_cold(*target, now))) {
        return known_time(*target);
    }
    double sum = 0;
    std::uint32_t count = 0;
    for (const auto* other : targets_of(core_.state, service_)) {
        if (known_time(*other) > 0) {
            sum += known_time(*other);
            ++count;
        }
    }
    const auto forwarded = core_.forwarded_answer_ms.find(service_);
    const double forwarded_ms =
        forwarded == core_.forwarded_answer_ms.end() ? 0 : forwarded->second;
    return std::max(count > 0 ? sum / count : 0, forwarded_ms);
}

void exchange::count_place(const target_state& target, leave_reason reason) {
    if (is_keyed()) {
        return;
    }
    count(core_.metrics, "requests_to_" + std::string(to_string(place_of(core_.state, target))));
    if (reason != leave_reason::none) {
        count(core_.metrics, "requests_left_" + std::string(to_string(reason)));
    }
}

void exchange::wait_or_refuse(const target_choice& choice, wait_estimate estimate) {
    const auto left = route_->objective - milliseconds(age_ms());
    bool is_too_late = false;
    if (choice.kind == choice_kind::wait_for_owner) {
        estimate.unavailable_ms = static_cast<double>(choice.expected_wait.count());
        is_too_late = choice.expected_wait + detail::min_time_with_owner > left;
    } else if (!waiting_) {
        is_too_late = should_refuse(estimate, left);
    } else {
        // A request that will be late would only delay those that wait with it. `requests_ahead`
        // includes this request, since it waits already.
        is_too_late =
            estimate.requests_ahead > 1 && static_cast<double>(left.count()) < estimate.answer_ms;
    }
    if (is_too_late && verdict_ == traffic_verdict::not_run) {
        stop_waiting();
        refuse(detail::status_unavailable,
               choice.kind == choice_kind::wait_for_owner ? "no-owner" : "overloaded", estimate);
        return;
    }
    if (waiting_) {
        return;
    }
    waiting_ = true;
    const auto before =
        std::find_if(core_.waiting.begin(), core_.waiting.end(),
                     [this](const exchange* other) { return other->priority() > priority(); });
    waiting_position_ = core_.waiting.insert(before, this);
}

wait_estimate exchange::estimate_wait() const {
    wait_estimate estimate;
    const bool is_request_keyed = is_keyed();
    const auto owner_of = [this](const exchange& request) {
        const auto map = core_.state.keys.find(request.service_);
        return map == core_.state.keys.end() || !request.key_
                   ? std::string_view()
                   : std::string_view(segment_of(map->second, *request.key_).owner);
    };
    const auto owner = is_request_keyed ? owner_of(*this) : std::string_view();
    for (const auto* other : core_.waiting) {
        if (other->service_ == service_ && (!is_request_keyed || owner_of(*other) == owner)) {
            ++estimate.requests_ahead;
        }
    }
    const auto now = boot_clock::now();
    double answer_ms_sum = 0;
    std::uint32_t target_count = 0;
    double concurrency = 0;
    std::span<target_state* const> targets;
    target_state* owner_state = nullptr;
    if (!is_request_keyed) {
        targets = targets_of(core_.state, service_);
    } else if (const auto found = core_.state.targets.find(owner);
               found != core_.state.targets.end() && found->second->entry.service == service_) {
        owner_state = found->second.get();
        targets = {&owner_state, 1};
    }
    for (const auto* target : targets) {
        const auto& id = target->entry.id;
        if (!is_in_home_region(core_.state, target->entry, *route_) ||
            pause_left(core_.state, *target, now).count() > 0) {
            continue;
        }
        // Time until the answer, which includes the wait of some requests for a slot at the target.
        answer_ms_sum += std::max(target->answer_ms, work_ms_of(core_.state, *target));
        ++target_count;
        const auto quota = core_.state.concurrency_quotas.find(id);
        if (is_request_keyed && target->rate_quota > 0) {
            constexpr double ms_per_s = 1000;
            // The mean number of running requests is their rate times their duration.
            concurrency += target->rate_quota * work_ms_of(core_.state, *target) / ms_per_s;
        } else if (!is_request_keyed && quota != core_.state.concurrency_quotas.end()) {
            concurrency += quota->second;
        } else if (!is_request_keyed && ignores_quotas_) {
            concurrency += 1;
        } else if (is_request_keyed) {
            concurrency += target->entry.slots;
        }
    }
    estimate.answer_ms = target_count > 0 ? answer_ms_sum / target_count : 0;
    estimate.concurrency = concurrency;
    return estimate;
}

void exchange::stop_waiting() {
    if (waiting_) {
        core_.waiting.erase(waiting_position_);
        waiting_ = false;
    }
}

void exchange::redispatch_if_waiting(dispatch_round& round) {
    if (!done_ && waiting_) {
        dispatch(round);
    }
}

}  // namespace mimosavalve::gateway
