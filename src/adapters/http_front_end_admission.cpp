#include <algorithm>

#include "http_front_end_exchange.hpp"

namespace mimosavalve::adapters::front_end {

namespace asio = boost::asio;

using traffic::refusal_reason;

namespace detail {

constexpr std::uint32_t max_cost = 16;
// Judging compares all targets of a service, so it is not done with each answer.
constexpr std::uint32_t judge_period = 4;

std::string_view as_text(asio::const_buffer part) {
    return {static_cast<const char*>(part.data()), part.size()};
}

}  // namespace detail

/// The less busy of two random targets keeps the load even without comparing all of them. Ejected
/// targets and the one that failed this request are passed over while there is another.
const traffic::unkeyed_target* exchange::choose(
    std::span<const traffic::unkeyed_target> candidates) {
    const auto now = std::chrono::steady_clock::now();
    const auto usable = [&](const traffic::unkeyed_target& candidate) {
        auto& gate = gate_to(*candidate.target, *candidate.shard);
        return candidate.target->id != avoided_ &&
               traffic::can_accept_request(gate.latency, gate.target->running, now);
    };
    const auto pick = [&] {
        const auto first = home_.random() % candidates.size();
        for (std::size_t step = 0; step < candidates.size(); ++step) {
            const auto& candidate = candidates[(first + step) % candidates.size()];
            if (usable(candidate)) {
                return &candidate;
            }
        }
        return &candidates[first];
    };
    const auto running = [&](const traffic::unkeyed_target& candidate) {
        return home_.pool.entry(*candidate.target).running;
    };
    const auto* first = pick();
    const auto* second = pick();
    return running(*second) < running(*first) ? second : first;
}

target_gate& exchange::gate_to(const ownership::target& target, const router::shard_view& shard) {
    const auto sharers =
        table_->snapshot->live_routers * std::max(1U, home_.shared.settings.threads);
    return gate_of(home_.gates, home_.pool.entry(target), target, shard.state->shard, sharers);
}

/// The rate of the calling account, and requests that crashed targets before. Checked once.
bool exchange::pass_limits() {
    if (limits_passed_) {
        return true;
    }
    limits_passed_ = true;
    const auto& snapshot = *table_->snapshot;
    const auto now = std::chrono::steady_clock::now();
    const auto account = table_->accounts.find(head_.calling_account);
    const bool limited =
        account != table_->accounts.end() && account->second->requests_per_second > 0;
    if (limited && !traffic::try_acquire_token(home_.shared.limit_of(account->second->name),
                                               account->second->requests_per_second,
                                               snapshot.live_routers, now)) {
        refuse(refusal_reason::account_limit, traffic_verdict::not_run);
        return false;
    }
    const bool any_held = !snapshot.quarantined.empty() || home_.shared.held_back > 0;
    if (!any_held) {
        return true;
    }
    const bool spread =
        std::binary_search(snapshot.quarantined.begin(), snapshot.quarantined.end(), fingerprint());
    if (spread || home_.shared.is_held_back(fingerprint(), now)) {
        refuse(refusal_reason::quarantined, traffic_verdict::not_run);
        return false;
    }
    return true;
}

std::uint64_t exchange::fingerprint() {
    if (!fingerprint_) {
        fingerprint_ = traffic::fingerprint_of(head_, detail::as_text(first_piece_));
    }
    return *fingerprint_;
}

/// Takes a place at the target, waiting for one within the deadline. False when the request has
/// ended.
bool exchange::admit(target_gate& gate, const config::route_config& route) {
    const auto now = std::chrono::steady_clock::now();
    if (try_enter(gate, home_.chance(), now)) {
        return true;
    }
    // A request that will not get its turn in time only lengthens the queue for the others.
    const bool hopeless =
        now + traffic::expected_wait(gate.window, gate.queue.size) >= watch_.deadline;
    gate_waiter waiter;
    waiter.request.account = head_.calling_account;
    waiter.request.priority = route.priority;
    waiter.request.cost = static_cast<std::uint32_t>(
        std::min<std::uint64_t>(detail::max_cost, 1 + body_.content_length() / piece_size));
    waiter.request.deadline = watch_.deadline;
    waiter.request.user_data = &waiter;
    waiter.watch = &watch_;
    if (hopeless || !traffic::push(gate.queue, waiter.request)) {
        refuse(refusal_reason::overloaded, traffic_verdict::not_run);
        return false;
    }
    while (!waiter.granted && !watch_.stopped()) {
        worker::pause(watch_, watch_.deadline, yield_);
    }
    if (!waiter.granted) {
        traffic::remove(gate.queue, waiter.request);
        refuse(refusal_reason::overloaded, traffic_verdict::not_run);
    }
    return waiter.granted;
}

/// A target that comes back with another instance lost what it had running, and is cold.
void exchange::note_instance(target_gate& gate) {
    const auto seen = gate.target->evidence.instance;
    if (seen == gate.instance) {
        return;
    }
    if (gate.instance != 0) {
        home_.shared.confirm_loss(gate.target->id);
        traffic::restart_ramp(gate.ramp, traffic::max_ramp_limit(gate.slots, gate.connections));
    }
    gate.instance = seen;
}

void exchange::note_success(const traffic::send_to& decision, target_gate& gate) {
    const auto now = std::chrono::steady_clock::now();
    const auto latency = std::chrono::duration_cast<std::chrono::microseconds>(now - watch_.sent);
    note_instance(gate);
    traffic::record_success(gate.window, latency, now);
    const auto end = traffic::max_ramp_limit(gate.slots, gate.connections);
    traffic::record_success(gate.ramp, latency, gate.slots, end, gate.sharers);
    if (decision.keyed) {
        return;
    }
    traffic::record_latency(gate.latency, latency);
    if (gate.latency.is_on_probation || gate.latency.samples % detail::judge_period == 0) {
        judge_target(decision, gate, now);
    }
}

void exchange::judge_target(const traffic::send_to& decision, target_gate& gate, steady_time now) {
    const auto& candidates = decision.route->service->candidates;
    std::vector<const traffic::target_latency*> all;
    all.reserve(candidates.size());
    for (const auto& candidate : candidates) {
        all.push_back(&gate_to(*candidate.target, *candidate.shard).latency);
    }
    traffic::eject_if_outlier(gate.latency, all, now);
}

void exchange::note_refusal(target_gate& gate) {
    traffic::record_refusal(gate.window, std::chrono::steady_clock::now());
    traffic::record_refusal(gate.ramp);
}

}  // namespace mimosavalve::adapters::front_end
