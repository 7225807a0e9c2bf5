#include "exchange.hpp"

#include <algorithm>
#include <charconv>
#include <cmath>
#include <random>
#include <utility>

#include "mimosavalve/core/error.hpp"

namespace mimosavalve::gateway {

namespace detail {

// Maximum size of a body that is kept until the answer, so that a refused request can be sent
// again.
constexpr std::size_t max_replay_bytes = 1U << 20U;
// Maximum size of an answer that is passed on only once it is complete, so that the router can
// still send an error if the target's answer breaks off.
constexpr std::size_t max_whole_answer_bytes = 128U << 10U;
// Number of unsent body bytes at which the router stops reading from the caller.
constexpr std::size_t max_unsent_body_bytes = 256U << 10U;
// Number of unsent bytes of an answer at which the router stops reading from the target.
constexpr std::size_t max_unsent_answer_bytes = 256U << 10U;
// The kernel repeats a lost SYN packet only after seconds; trying another target is faster.
constexpr milliseconds connect_timeout{300};
constexpr std::uint32_t max_connects = 3;
// Maximum number of sends that reach a target, including those refused without being run.
constexpr std::uint32_t max_sends = 4;
// Approximate time until a router receives the owner of a key after a target has answered that it
// does not hold it.
constexpr milliseconds owner_update_time{60};
// Time reserved for running a request after its owner is known.
constexpr milliseconds min_time_with_owner{100};
constexpr milliseconds default_timeout{30000};
// A stopping router expects no answer to take longer than this multiple of the mean. Of
// exponentially distributed times, three in ten thousand do.
constexpr double max_answer_time_factor = 8;
// Minimum time until the deadline for another send to be tried.
constexpr std::int64_t min_remaining_ms = 10;

double random_fraction() {
    static std::minstd_rand source{std::random_device{}()};
    return std::uniform_real_distribution<double>(0, 1)(source);
}

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

std::int64_t ms_between(exchange::steady::time_point from, exchange::steady::time_point to) {
    return std::chrono::duration_cast<milliseconds>(to - from).count();
}

constexpr unsigned status_ok = 200;
constexpr unsigned status_multiple_choices = 300;
constexpr unsigned status_bad_request = 400;
constexpr unsigned status_not_found = 404;
constexpr unsigned status_misdirected = 421;
constexpr unsigned status_bad_gateway = 502;
constexpr unsigned status_unavailable = 503;
constexpr unsigned status_gateway_timeout = 504;

}  // namespace detail

const std::string& choose_service(router_core& core, const route& request_route) {
    if (request_route.services.size() == 1) {
        return request_route.services.front().service;
    }
    double total = 0;
    const weighted_service* best = nullptr;
    double best_credit = 0;
    for (const auto& part : request_route.services) {
        total += part.weight;
        auto& credit = core.split_credit[request_route.name + "\n" + part.service];
        credit += part.weight;
        if (part.weight > 0 && (best == nullptr || credit > best_credit)) {
            best = &part;
            best_credit = credit;
        }
    }
    core.split_credit[request_route.name + "\n" + best->service] -= total;
    return best->service;
}

exchange::exchange(router_core& core, message_head head, answer_sink sink)
    : core_(core),
      head_(std::move(head)),
      sink_(std::move(sink)),
      keep_alive_(head_.keep_alive && !core.stopping) {
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
    deadline_position_ = core_.deadlines.emplace(answer_deadline_, this);
    core_.deadlines_changed();
    service_ = choose_service(core_, *route_);
    key_ = detail::parse_number(field_of(head_, core_.platform.headers.key));
    const auto now = boot_clock::now();
    ++core_.demand[demand_destination(service_, route_->home_regions)];
    record_first_attempt(core_.retry_budgets[service_], core_.settings.bounds, now);
    if (is_keyed()) {
        if (*key_ >= key_count) {
            refuse(detail::status_bad_request, "key-out-of-range");
            return;
        }
        count_key(core_.key_loads[service_], *key_);
    }
    check_and_dispatch();
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

void exchange::dispatch() {
    const auto now = boot_clock::now();
    const choice_request request{&*route_, service_, key_, tried_targets_};
    const auto choice = choose_target(core_.state, request, now);
    if (choice.kind == choice_kind::held_back) {
        stop_waiting();
        give_up("target-limit");
    } else if (choice.kind == choice_kind::none) {
        stop_waiting();
        give_up("no-target");
    } else if (may_outlast_process(choice.target)) {
        stop_waiting();
        give_up("stopping");
    } else if (choice.kind == choice_kind::target) {
        stop_waiting();
        open_link(*choice.target);
    } else {
        wait_or_refuse(choice);
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
    for (const auto& [id, other] : core_.state.targets) {
        if (other->entry.service == service_ && known_time(*other) > 0) {
            sum += known_time(*other);
            ++count;
        }
    }
    return count > 0 ? sum / count : 0;
}

void exchange::wait_or_refuse(const target_choice& choice) {
    auto estimate = estimate_wait();
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
    double answer_ms_sum = 0;
    std::uint32_t target_count = 0;
    double concurrency = 0;
    for (const auto& [id, target] : core_.state.targets) {
        if (target->entry.service != service_ || (is_request_keyed && id != owner) ||
            !is_in_home_region(core_.state, target->entry, *route_)) {
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

void exchange::redispatch_if_waiting() {
    if (!done_ && waiting_) {
        dispatch();
    }
}

void exchange::open_link(target_state& target) {
    chosen_at_ = steady::now();
    target_id_ = target.entry.id;
    target_instance_ = target.entry.started_unix_ms;
    target_address_ = target.entry.address;
    record_send(target, boot_clock::now());
    auto& idle = core_.idle_links[target_id_];
    while (!idle.empty()) {
        auto link = std::move(idle.back());
        idle.pop_back();
        if (can_send_on(*link)) {
            send_on(std::move(link));
            return;
        }
        --target.open_connections;
    }
    ++target.open_connections;
    count(core_.metrics, "target_connections_opened");
    const auto endpoint = parse_endpoint(target_address_);
    const auto connect_deadline =
        std::min(steady::now() + detail::connect_timeout, answer_deadline_);
    connector_ = std::make_unique<connector>(
        core_.context, *endpoint, connect_deadline,
        [this](std::error_code error, std::unique_ptr<stream> connection) {
            if (error == std::errc::connection_refused) {
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
    const auto* target = current_target();
    const choice_request request{&*route_, service_, key_, tried_targets_};
    if (target != nullptr && is_still_eligible(core_.state, *target, request, boot_clock::now())) {
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
            !detail::equals_ignoring_case(field.name, "expect")) {
            append_field(text, field.name, field.value);
        }
    }
    const auto left =
        std::chrono::duration_cast<milliseconds>(answer_deadline_ - steady::now()).count();
    append_field(text, names.deadline, std::to_string(std::max<std::int64_t>(left, 1)));
    append_field(text, names.expected_target, target_id_);
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
    answer_ = {};
    answer_body_.clear();
    body_sent_ = 0;
    body_end_sent_ = false;
    sent_at_ = steady::now();
    registry_age_ = milliseconds(-milliseconds_until(core_.state.registry_known_at, core_.now()));
    tried_targets_.push_back(target_id_);
    ++attempts_;
    verdict_ = traffic_verdict::may_have_run;
    target_link::callbacks handlers;
    handlers.head = [this](const message_head& head) { on_answer_head(head); };
    handlers.body = [this](std::string_view data) { on_answer_body(data); };
    handlers.done = [this] { on_answer_end(); };
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

target_state* exchange::current_target() const {
    const auto found = core_.state.targets.find(target_id_);
    return found != core_.state.targets.end() &&
                   found->second->entry.started_unix_ms == target_instance_
               ? found->second.get()
               : nullptr;
}

void exchange::detach_from_target() {
    connector_.reset();
    if (target_id_.empty()) {
        return;
    }
    auto* target = current_target();
    if (target != nullptr) {
        --target->running;
    }
    if (link_) {
        link_->end_request();
        // The target would read the next request as the rest of an incomplete body.
        const bool is_body_sent =
            body_complete_ && body_sent_ >= body_.size() && (!head_.chunked || body_end_sent_);
        if (link_->is_reusable() && is_body_sent && target != nullptr) {
            core_.idle_links[target_id_].push_back(std::move(link_));
        } else {
            if (target != nullptr) {
                --target->open_connections;
            }
            // The link may be on the call stack, so it is destroyed later.
            core_.defer([kept = std::shared_ptr<target_link>(std::move(link_))] {});
        }
    } else if (target != nullptr) {
        --target->open_connections;
    }
    link_.reset();
    target_id_.clear();
    core_.wake_waiting();
}

void exchange::on_answer_head(const message_head& head) {
    answer_ = head;
    if (auto* target = current_target(); target != nullptr) {
        const auto load = core_.platform.decode_load(field_of(head, core_.platform.headers.load));
        if (load) {
            record_load(*target, *load, boot_clock::now());
        }
        record_notice(*target);
    }
}

void exchange::record_notice(const target_state& target) {
    if (!core_.platform.decode_notice) {
        return;
    }
    const auto notice = core_.platform.decode_notice(answer_);
    const bool is_known = core_.state.notices.contains(target.entry.id);
    if (!notice.request_limit && !notice.leaving && notice.problem.empty() && !is_known) {
        return;
    }
    const auto now = boot_clock::now();
    const auto sent_at = now - std::chrono::duration_cast<milliseconds>(steady::now() - sent_at_);
    auto& known = notice_of(core_.state, target);
    const auto said_at = known.limit_said_at;
    const bool begins_to_leave =
        notice.leaving && !std::exchange(known.leaving, known.leaving || notice.leaving);
    const bool has_changed = record_limit(known, notice, sent_at, now) || begins_to_leave;
    if (!notice.problem.empty()) {
        count(core_.metrics, "odd_notices");
    }
    if (has_changed || !notice.problem.empty()) {
        core_.log.write("target_notice", {{"request", id_},
                                          {"target", target.entry.id},
                                          {"limit", std::to_string(known.request_limit)},
                                          {"leaving", std::int64_t{known.leaving}},
                                          {"share", std::to_string(known.share.value_or(-1))},
                                          {"last_said_ms", said_at == boot_time{}
                                                               ? std::int64_t{-1}
                                                               : -milliseconds_until(said_at, now)},
                                          {"problem", std::string_view(notice.problem)}});
    }
}

void exchange::on_answer_body(std::string_view data) {
    answer_body_.append(data);
    const bool is_signed = has_field(answer_, core_.platform.headers.signature);
    if (!is_streaming_ && answer_body_.size() > detail::max_whole_answer_bytes) {
        if (!is_signed) {
            on_connection_lost(make_error_code(errc::malformed_message));
            return;
        }
        is_streaming_ = true;
        sink_.send_part(answer_head(answer_, answer_.content_length));
    }
    if (is_streaming_) {
        sink_.send_part(std::move(answer_body_));
        answer_body_.clear();
        if (sink_.unsent_bytes() > detail::max_unsent_answer_bytes) {
            link_->set_reading_enabled(false);
        }
    }
}

void exchange::resume_answer() {
    if (is_streaming_ && link_) {
        link_->set_reading_enabled(true);
    }
}

void exchange::on_answer_end() {
    const auto& names = core_.platform.headers;
    const bool was_not_run =
        has_field(answer_, names.not_run) || answer_.status == detail::status_misdirected;
    const bool success =
        answer_.status >= detail::status_ok && answer_.status < detail::status_multiple_choices;
    if (was_not_run && !is_streaming_) {
        verdict_ = earlier_sends_verdict_;
        on_refusal();
        return;
    }
    if (success && !has_field(answer_, names.signature)) {
        // Not written by the target, so the request may or may not have run, as after a lost
        // connection.
        on_connection_lost(make_error_code(errc::malformed_message));
        return;
    }
    verdict_ = traffic_verdict::ran;
    const auto& suspects = core_.announced_crashes.suspects;
    if (success && !suspects.empty() && fingerprint() && suspects.contains(*fingerprint_)) {
        core_.crashes.answered_suspects.insert(*fingerprint_);
    }
    if (auto* target = current_target(); target != nullptr) {
        // Latencies from another region include the transfer, and failures are often quick, so
        // neither shows the duration of the work.
        const bool queued =
            !success || target->load.waiting > 0 || target->load.slots == 0 ||
            region_of(core_.state.regions, target->entry.failure_domain) != core_.state.own_region;
        record_answer(*target, std::chrono::duration_cast<milliseconds>(steady::now() - sent_at_),
                      queued);
    }
    answer_from_target();
}

bool exchange::try_acquire_attempt(bool reached_target) {
    const auto left =
        std::chrono::duration_cast<milliseconds>(answer_deadline_ - steady::now()).count();
    if (left < detail::min_remaining_ms || !is_body_replayable_ || core_.stopping) {
        return false;
    }
    if (!reached_target) {
        return ++connect_failures_ < detail::max_connects;
    }
    return attempts_ < detail::max_sends &&
           try_acquire_retry(core_.retry_budgets[service_], core_.settings.bounds,
                             core_.state.router_count, boot_clock::now());
}

void exchange::on_refusal() {
    const auto failed_target_id = target_id_;
    const auto status = answer_.status;
    const bool is_misdirected = status == detail::status_misdirected;
    const auto load = core_.platform.decode_load(field_of(answer_, core_.platform.headers.load));
    // A target with a fault that affects only some requests refuses those although it has room.
    const bool refused_with_room = load && load->running < load->slots && load->waiting == 0;
    detach_from_target();
    count(core_.metrics, is_misdirected ? "target_misdirected" : "target_refused");
    core_.log.write("target_refused", {{"request", id_},
                                       {"target", failed_target_id},
                                       {"status", std::int64_t{status}},
                                       {"age_ms", age_ms()},
                                       {"sends", std::int64_t{attempts_}}});
    const bool is_request_keyed = is_keyed();
    if (is_request_keyed && !is_misdirected && !refused_with_room) {
        // Only the owner can run the request, and it has no room.
        give_up("owner-full", estimate_wait());
        return;
    }
    if (!try_acquire_attempt(true)) {
        give_up("refused-by-target");
        return;
    }
    if (is_request_keyed) {
        tried_targets_.clear();
    }
    if (is_request_keyed && is_misdirected) {
        // Waits until the key map changes or for the next redispatch: the target does not own the
        // key.
        waiting_ = true;
        waiting_position_ = core_.waiting.insert(core_.waiting.end(), this);
        return;
    }
    dispatch();
}

void exchange::on_connection_lost(std::error_code error) {
    const auto failed_target_id = target_id_;
    const bool has_sent = link_ != nullptr && link_->has_sent();
    if (auto* target = current_target(); target != nullptr) {
        record_failure(*target, has_sent, boot_clock::now());
    }
    if (const auto request_fingerprint = has_sent ? fingerprint() : std::nullopt) {
        record_lost_connection(core_.crashes, instance_name(failed_target_id, target_instance_),
                               *request_fingerprint, boot_clock::now());
    }
    detach_from_target();
    count(core_.metrics, has_sent ? "target_connection_lost" : "target_unreachable");
    core_.log.write("target_lost", {{"request", id_},
                                    {"target", failed_target_id},
                                    {"error", std::string_view(error.message())},
                                    {"sent", std::int64_t{has_sent}},
                                    {"age_ms", age_ms()}});
    if (is_streaming_) {
        finish("answer-broke-off", answer_.status);
        sink_.abort();
        return;
    }
    if (has_sent) {
        earlier_sends_verdict_ = traffic_verdict::may_have_run;
    }
    verdict_ = earlier_sends_verdict_;
    const bool can_retry =
        !has_sent || (route_->kind == request_kind::idempotent && attempts_ < route_->max_attempts);
    if (can_retry && try_acquire_attempt(has_sent)) {
        if (!has_sent) {
            tried_targets_.push_back(failed_target_id);
        }
        if (is_keyed()) {
            tried_targets_.clear();
        }
        dispatch();
        return;
    }
    give_up(has_sent ? "target-lost" : "target-unreachable");
}

void exchange::expire() {
    if (done_) {
        return;
    }
    deadline_position_.reset();
    if (is_streaming_) {
        finish("timeout-in-answer", answer_.status);
        sink_.abort();
        return;
    }
    refuse(verdict_ == traffic_verdict::not_run ? detail::status_unavailable
                                                : detail::status_gateway_timeout,
           "timeout");
}

void exchange::end_with_process() {
    if (done_) {
        return;
    }
    if (is_streaming_) {
        finish("stopping", answer_.status);
        sink_.abort();
        return;
    }
    give_up("stopping");
}

void exchange::cancel() {
    if (done_) {
        return;
    }
    count(core_.metrics, "callers_left");
    finish("caller-left", 0);
}

std::string exchange::answer_head(const message_head& head,
                                  std::optional<std::uint64_t> length) const {
    std::string text = "HTTP/1.1 " + std::to_string(head.status) + " ";
    text.append(reason_phrase(head.status)).append("\r\n");
    for (const auto& field : head.fields) {
        if (!is_hop_by_hop(head, field.name)) {
            append_field(text, field.name, field.value);
        }
    }
    if (length) {
        append_field(text, "Content-Length", std::to_string(*length));
    }
    if (!keep_alive_ || !length) {
        append_field(text, "Connection", "close");
    }
    return text + "\r\n";
}

void exchange::answer_from_target() {
    const auto status = answer_.status;
    record_latency(core_.metrics, to_string(route_->kind),
                   static_cast<std::uint64_t>(std::chrono::duration_cast<std::chrono::microseconds>(
                                                  steady::now() - arrived_)
                                                  .count()));
    keep_alive_ = keep_alive_ && !core_.stopping;
    if (is_streaming_) {
        if (!answer_.content_length) {
            keep_alive_ = false;
        }
        finish("answered", status);
        sink_.end();
        return;
    }
    const bool without_body = head_.method == "HEAD";
    auto text = answer_head(
        answer_, without_body ? answer_.content_length.value_or(0) : answer_body_.size());
    text.append(answer_body_);
    finish("answered", status);
    sink_.send_whole(std::move(text));
}

void exchange::give_up(std::string_view reason, const wait_estimate& estimate) {
    refuse(verdict_ == traffic_verdict::not_run ? detail::status_unavailable
                                                : detail::status_bad_gateway,
           reason, estimate);
}

void exchange::refuse(unsigned status, std::string_view reason, const wait_estimate& estimate) {
    message_head head;
    head.status = status;
    keep_alive_ = keep_alive_ && !core_.stopping;
    head.fields.push_back({core_.platform.headers.request_id, id_});
    head.fields.push_back({"Mimosavalve-Reason", std::string(reason)});
    head.fields.push_back({"Mimosavalve-Verdict", std::string(to_string(verdict_))});
    if (status == detail::status_unavailable) {
        const auto requested_ms =
            detail::parse_number(field_of(head_, core_.platform.headers.deadline));
        const auto left = milliseconds(requested_ms.value_or(detail::default_timeout.count())) -
                          milliseconds(age_ms());
        const auto wait =
            retry_after(estimate, std::max(left, milliseconds(0)), detail::random_fraction());
        constexpr double ms_per_s = 1000;
        head.fields.push_back({core_.platform.headers.retry_after,
                               std::to_string(static_cast<double>(wait.count()) / ms_per_s)});
    }
    count(core_.metrics, "refused_" + std::string(reason));
    finish(reason, status);
    sink_.send_whole(answer_head(head, 0));
}

void exchange::finish(std::string_view outcome, unsigned status) {
    done_ = true;
    const auto target =
        target_id_.empty() && !tried_targets_.empty() ? tried_targets_.back() : target_id_;
    stop_waiting();
    detach_from_target();
    if (deadline_position_) {
        core_.deadlines.erase(*deadline_position_);
        deadline_position_.reset();
    }
    count(core_.metrics, "requests_finished");
    core_.log.write("request",
                    {{"request", id_},
                     {"route", route_ ? std::string_view(route_->name) : "none"},
                     {"config", static_cast<std::int64_t>(core_.state.config.version)},
                     {"target", target},
                     {"outcome", outcome},
                     {"status", std::int64_t{status}},
                     {"verdict", to_string(verdict_)},
                     {"sends", std::int64_t{attempts_}},
                     {"age_ms", age_ms()},
                     {"sent_ms", attempts_ > 0 ? detail::ms_between(arrived_, sent_at_) : -1},
                     {"connect_ms", attempts_ > 0 ? detail::ms_between(chosen_at_, sent_at_) : -1},
                     {"registry_age_ms", std::int64_t{registry_age_.count()}}});
}

}  // namespace mimosavalve::gateway
