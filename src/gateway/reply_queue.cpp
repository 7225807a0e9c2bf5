#include "reply_queue.hpp"

#include <algorithm>
#include <utility>

namespace mimosavalve::gateway {

namespace detail {

// Size of the replies in transit to one region from which further ones to it wait. The leader's own
// calls to the store wait behind them: 0.1 s on a link of 10 Mbit/s. State that changes meanwhile
// is sent once.
constexpr std::size_t max_bytes_in_transit = 128U << 10U;
// Time after which a reply no longer counts as in transit, although its router has not called
// again: it has left the leader's link, and a slow router must not hold up the replies to others.
constexpr milliseconds max_counted_transit{250};

}  // namespace detail

bool reply_queue::add(waiting_call call) {
    const auto earlier = calls_.find(call.request.host);
    const bool replaces = earlier != calls_.end();
    if (replaces) {
        const auto& dropped = earlier->second;
        by_region_[dropped.call.region].erase({dropped.call.due, dropped.number});
        calls_.erase(earlier);
    }
    call.due = std::max(call.due, call.earliest);
    const auto number = ++last_number_;
    by_region_[call.region].emplace(position{call.due, number}, call.request.host);
    auto host = call.request.host;
    calls_.emplace(std::move(host), placed_call{std::move(call), number});
    return replaces;
}

void reply_queue::make_due(boot_time now) {
    by_region_.clear();
    for (auto& [host, placed] : calls_) {
        auto& call = placed.call;
        call.due = std::max(std::min(call.due, now), call.earliest);
        by_region_[call.region].emplace(position{call.due, placed.number}, host);
    }
}

std::optional<waiting_call> reply_queue::take_due(boot_time now) {
    remove_expired(now);
    std::map<position, std::string>* first = nullptr;
    for (auto& [region, calls] : by_region_) {
        if (calls.empty() || calls.begin()->first.due > now ||
            transit_bytes_[region] >= detail::max_bytes_in_transit) {
            continue;
        }
        if (first == nullptr || calls.begin()->first < first->begin()->first) {
            first = &calls;
        }
    }
    if (first == nullptr) {
        return std::nullopt;
    }
    auto taken = calls_.extract(first->begin()->second);
    first->erase(first->begin());
    return std::move(taken.mapped().call);
}

std::vector<waiting_call> reply_queue::take_all() {
    std::vector<waiting_call> taken;
    for (auto& [host, placed] : calls_) {
        taken.push_back(std::move(placed.call));
    }
    calls_.clear();
    by_region_.clear();
    return taken;
}

void reply_queue::record_sent(const std::string& host, const std::string& region, std::size_t bytes,
                              boot_time now) {
    record_call(host);
    const auto number = ++last_number_;
    in_transit_[host] = {region, bytes, number};
    transit_bytes_[region] += bytes;
    transit_ends_.push_back({now + detail::max_counted_transit, host, number});
}

void reply_queue::record_call(const std::string& host) {
    const auto sent = in_transit_.find(host);
    if (sent != in_transit_.end()) {
        transit_bytes_[sent->second.region] -= sent->second.bytes;
        in_transit_.erase(sent);
    }
}

void reply_queue::restart() {
    in_transit_.clear();
    transit_bytes_.clear();
    transit_ends_.clear();
}

void reply_queue::remove_expired(boot_time now) {
    while (!transit_ends_.empty() && transit_ends_.front().at <= now) {
        const auto ended = std::move(transit_ends_.front());
        transit_ends_.pop_front();
        const auto sent = in_transit_.find(ended.host);
        if (sent != in_transit_.end() && sent->second.number == ended.number) {
            record_call(ended.host);
        }
    }
}

}  // namespace mimosavalve::gateway
