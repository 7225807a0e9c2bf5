#include "exchange.hpp"

#include <algorithm>
#include <charconv>
#include <utility>

#include "exchange_detail.hpp"
#include "mimosavalve/core/error.hpp"

namespace mimosavalve::gateway {

namespace detail {

// Maximum size of a body that is kept until the answer, so that a refused request can be sent
// again.
constexpr std::size_t max_replay_bytes = 1U << 20U;
// Number of unsent body bytes at which the router stops reading from the caller.
constexpr std::size_t max_unsent_body_bytes = 256U << 10U;
// Time for a dispatcher's answer to reach this router, also from another region.
constexpr std::int64_t forwarding_margin_ms = 50;
// The kernel repeats a lost SYN packet only after seconds; trying another target is faster.
constexpr milliseconds connect_timeout{300};

std::optional<std::uint32_t> parse_number(std::string_view text) {
    std::uint32_t value = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
    return error == std::errc{} && !text.empty() && end == text.data() + text.size()
               ? std::optional(value)
               : std::nullopt;
}

bool equals_ignoring_case(std::string_view left, std::string_view right) {
    return left.size() == right.size() &&
           std::equal(left.begin(), left.end(), right.begin(), [](char one, char other) {
               return std::tolower(static_cast<unsigned char>(one)) ==
                      std::tolower(static_cast<unsigned char>(other));
           });
}

}  // namespace detail

exchange::exchange(router_core& core, message_head head, answer_sink sink,
                   const request_arrival& arrival)
    : core_(core),
      head_(std::move(head)),
      sink_(std::move(sink)),
      arrived_(arrival.at),
      ahead_(arrival.ahead),
      unread_(arrival.unread),
      is_forwarded_(arrival.is_forwarded),
      keep_alive_(head_.keep_alive) {
    id_ = field_of(head_, core_.platform.headers.request_id);
    body_complete_ = !head_.chunked && head_.content_length.value_or(0) == 0;
}

exchange::~exchange() {
    stop_waiting();
    detach_from_target();
    if (deadline_position_) {
        core_.deadlines.erase(*deadline_position_);
    }
}

std::int64_t exchange::age_ms() const {
    return std::chrono::duration_cast<milliseconds>(steady::now() - arrived_).count();
}

void exchange::start() {
    const auto requested_ms =
        detail::parse_number(field_of(head_, core_.platform.headers.deadline));
    auto timeout = requested_ms ? milliseconds(*requested_ms) : detail::default_timeout;
    if (is_forwarded_) {
        read_forwarding(timeout);
    }
    if (core_.state.config.version == 0) {
        refuse(detail::status_unavailable, "no-configuration");
        return;
    }
    const auto found = core_.state.routes.find(field_of(head_, "host"), path_of(head_));
    if (!found) {
        refuse(detail::status_not_found, "unknown-route");
        return;
    }
    route_ = core_.state.config.routes[*found];
    timeout = std::min(timeout, route_->timeout);
    answer_deadline_ = arrived_ + timeout;
    if (answer_deadline_ <= steady::now()) {
        refuse(detail::status_unavailable, "timeout");
        return;
    }
    deadline_position_ = core_.deadlines.emplace(answer_deadline_, this);
    core_.deadlines_changed();
    if (service_.empty()) {
        service_ = choose_service(core_, *route_);
    }
    key_ = detail::parse_number(field_of(head_, core_.platform.headers.key));
    if (!is_forwarded_) {
        ++core_.demand[demand_destination(service_, route_->home_regions)];
    }
    if (is_forwarded_ || core_.state.dispatchers.by_destination.empty()) {
        count_for_budget();
    }
    if (is_keyed()) {
        if (*key_ >= key_count) {
            refuse(detail::status_bad_request, "key-out-of-range");
            return;
        }
        count_key(core_.key_loads[service_], *key_);
    }
    check_and_dispatch();
}

void exchange::count_for_budget() {
    if (!std::exchange(is_budget_counted_, true)) {
        record_first_attempt(core_.retry_budgets[service_], core_.settings.bounds,
                             boot_clock::now());
    }
}

void exchange::check_and_dispatch() {
    const auto& quarantined = core_.announced_crashes.quarantined;
    is_awaiting_check_ = !quarantined.empty() && !fingerprint();
    if (is_awaiting_check_) {
        return;
    }
    if (fingerprint_ && quarantined.contains(*fingerprint_)) {
        refuse(detail::status_unavailable, "crashes-targets");
        return;
    }
    dispatch();
}

std::optional<std::uint64_t> exchange::fingerprint() {
    if (!fingerprint_ && (body_complete_ || body_.size() >= traffic::fingerprint_body_bytes)) {
        traffic::request_head head;
        head.method = head_.method;
        head.route = route_->name;
        head.account = field_of(head_, "host");
        head.id = head_.request_target;
        fingerprint_ = traffic::fingerprint_of(head, body_);
    }
    return fingerprint_;
}

bool exchange::is_keyed() const {
    const auto kind = core_.state.config.services.find(service_);
    return key_ && kind != core_.state.config.services.end() && kind->second.keyed;
}

bool exchange::cancel_if_caller_left() {
    if (!sink_.has_caller_left()) {
        return false;
    }
    cancel();
    return true;
}

void exchange::open_link(target_state& target) {
    if (cancel_if_caller_left()) {
        return;
    }
    chosen_at_ = steady::now();
    target_id_ = target.entry.id;
    target_instance_ = target.entry.started_unix_ms;
    target_address_ = target.entry.address;
    count_for_budget();
    counted_by_ = target.number;
    record_send(target, boot_clock::now());
    auto& idle = core_.idle_links[target_id_];
    while (!idle.empty()) {
        auto link = std::move(idle.back());
        idle.pop_back();
        if (can_send_on(*link)) {
            if (link->counted_by != target.number) {
                ++target.open_connections;
            }
            send_on(std::move(link));
            return;
        }
        // A link that an earlier state of the target has counted is not in this one's count.
        target.open_connections -= link->counted_by == target.number ? 1 : 0;
    }
    ++target.open_connections;
    count(core_.metrics, "target_connections_opened");
    connect();
}

void exchange::connect() {
    const auto endpoint = parse_endpoint(target_address_);
    const auto connect_deadline =
        std::min(steady::now() + detail::connect_timeout, answer_deadline_);
    connector_ = std::make_unique<connector>(
        core_.context, *endpoint, connect_deadline,
        [this](std::error_code error, std::unique_ptr<stream> connection) {
            was_connect_refused_ = error == std::errc::connection_refused;
            if (error == std::errc::connection_refused && dispatcher_.empty()) {
                // Not recorded after a timeout, which says nothing about the target: the network
                // may be partitioned.
                core_.crashes.ended_instances.insert(instance_name(target_id_, target_instance_));
            }
            if (error) {
                // Destroys the connector; allowed, since it uses no member after this call.
                on_connection_lost(make_error_code(errc::target_unreachable));
                return;
            }
            send_on_new(std::move(connection));
        });
}

void exchange::send_on_new(std::unique_ptr<stream> connection) {
    if (cancel_if_caller_left()) {
        return;
    }
    const auto* target = current_target();
    const choice_request request{
        &*route_, service_, key_, tried_targets_, false, refused_fence_, boot_time_of(chosen_at_)};
    if (!dispatcher_.empty() ||
        (target != nullptr &&
         is_still_eligible(core_.state, *target, request, boot_clock::now()))) {
        auto link =
            std::make_unique<target_link>(std::move(connection), core_.platform.headers.request_id);
        link->number = ++core_.links_opened;
        send_on(std::move(link));
        return;
    }
    count(core_.metrics, "targets_chosen_again");
    core_.log.write("target_chosen_again",
                    {{"request", id_}, {"target", target_id_}, {"age_ms", age_ms()}});
    detach_from_target();
    dispatch();
}

std::string exchange::request_head() const {
    const auto& names = core_.platform.headers;
    std::string text = head_.method + " " + head_.request_target + " HTTP/1.1\r\n";
    for (const auto& field : head_.fields) {
        if (!is_hop_by_hop(head_, field.name) &&
            !detail::equals_ignoring_case(field.name, names.deadline) &&
            !detail::equals_ignoring_case(field.name, names.expected_target) &&
            !detail::equals_ignoring_case(field.name, "expect") &&
            !detail::equals_ignoring_case(field.name, detail::forwarded_service_field) &&
            !detail::equals_ignoring_case(field.name, detail::forwarded_age_field)) {
            append_field(text, field.name, field.value);
        }
    }
    auto left = std::chrono::duration_cast<milliseconds>(answer_deadline_ - steady::now()).count();
    if (!dispatcher_.empty()) {
        // The dispatcher's final answer must arrive before this router gives its own.
        left -= detail::forwarding_margin_ms;
    }
    append_field(text, names.deadline, std::to_string(std::max<std::int64_t>(left, 1)));
    if (dispatcher_.empty()) {
        append_field(text, names.expected_target, target_id_);
    } else {
        append_field(text, detail::forwarded_service_field, service_);
        append_field(text, detail::forwarded_age_field, std::to_string(age_ms()));
    }
    if (head_.chunked) {
        append_field(text, "Transfer-Encoding", "chunked");
    } else if (head_.content_length) {
        append_field(text, "Content-Length", std::to_string(*head_.content_length));
    }
    return text + "\r\n";
}

bool exchange::can_send_on(target_link& link) const {
    return std::find(used_links_.begin(), used_links_.end(), link.number) == used_links_.end() &&
           link.is_still_usable();
}

void exchange::send_on(std::unique_ptr<target_link> link) {
    connector_.reset();
    link_ = std::move(link);
    used_links_.push_back(link_->number);
    link_->target_id = target_id_;
    link_->counted_by = counted_by_;
    answer_ = {};
    answer_body_.clear();
    received_answer_bytes_ = 0;
    body_sent_ = 0;
    body_end_sent_ = false;
    sent_at_ = steady::now();
    registry_age_ = milliseconds(-milliseconds_until(core_.state.registry_known_at, core_.now()));
    tried_targets_.push_back(target_id_);
    record_sent_keys();
    ++attempts_;
    verdict_ = traffic_verdict::may_have_run;
    target_link::callbacks handlers;
    handlers.head = [this](const message_head& head) { on_answer_head(head); };
    handlers.body = [this](std::string_view data) { on_answer_body(data); };
    handlers.done = [this] { on_answer_end(); };
    handlers.discarded = [this](std::string_view what) {
        count(core_.metrics, "target_bytes_discarded");
        core_.log.write("target_bytes_discarded",
                        {{"request", id_}, {"target", target_id_}, {"what", what}});
    };
    handlers.lost = [this](std::error_code error) { on_connection_lost(error); };
    handlers.drained = [this] {
        send_body();
        sink_.room_changed();
    };
    auto data = request_head();
    // A small complete body is sent together with the head.
    if (!head_.chunked && body_complete_ && body_.size() <= detail::max_unsent_body_bytes) {
        data.append(body_);
        body_sent_ = body_.size();
    }
    link_->begin_request(data, id_, head_.method != "HEAD", std::move(handlers));
    send_body();
    // A body that has waited may have gone to the kernel at once, and then `drained` is not called.
    sink_.room_changed();
}

void exchange::send_body() {
    if (!link_ || link_->queued_bytes() > 0) {
        return;
    }
    const auto rest = std::string_view(body_).substr(body_sent_);
    if (head_.chunked) {
        if (!rest.empty()) {
            char size[24];
            const auto end = std::to_chars(size, size + sizeof size, rest.size(), 16).ptr;
            std::string chunk(size, end);
            chunk.append("\r\n").append(rest).append("\r\n");
            link_->write(chunk);
        }
        if (body_complete_ && !body_end_sent_) {
            link_->write("0\r\n\r\n");
            body_end_sent_ = true;
        }
    } else if (!rest.empty()) {
        link_->write(rest);
    }
    body_sent_ = body_.size();
    if (body_.size() > detail::max_replay_bytes) {
        is_body_replayable_ = false;
        // Computed now, since it needs the beginning of the body, which is discarded next.
        fingerprint();
        body_.clear();
        body_sent_ = 0;
    }
}

void exchange::add_body(std::string_view data) {
    if (done_) {
        return;
    }
    body_.append(data);
    received_body_bytes_ += data.size();
    if (is_awaiting_check_) {
        check_and_dispatch();
        return;
    }
    send_body();
}

void exchange::end_body() {
    if (done_ || body_complete_) {
        return;
    }
    body_complete_ = true;
    if (is_awaiting_check_) {
        check_and_dispatch();
        return;
    }
    if (head_.chunked) {
        send_body();
    }
}

bool exchange::should_read_body() const {
    if (done_) {
        return true;  // The rest of the body is discarded.
    }
    const auto unsent = body_.size() - std::min(body_sent_, body_.size());
    return unsent < detail::max_unsent_body_bytes &&
           (!link_ || link_->queued_bytes() < detail::max_unsent_body_bytes);
}

}  // namespace mimosavalve::gateway
