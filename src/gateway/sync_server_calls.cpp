// How the leader shares its event loop between the calls of its followers and everything else.

#include <iterator>

#include "peer_paths.hpp"
#include "sync_server.hpp"

namespace mimosavalve::gateway {

namespace detail {

// The leader answers a call after this time at the latest, also when no state has changed, unless
// replies take too much of its loop.
constexpr milliseconds max_reply_delay{200};
constexpr milliseconds pacing_line_interval{1000};
// A router that has not called for this time no longer shares fleet-wide limits. It is longer than
// a network partition after which a router may continue to send requests without the leader's
// knowledge.
constexpr milliseconds follower_expiry{10000};

}  // namespace detail

void sync_server::serve(const std::string& body, internal_server::respond respond) {
    arrived_.push_back({body, std::move(respond), core_.now()});
    serve_slice();
}

void sync_server::serve_slice() {
    while (!slice_deferred_) {
        if (slice_spent_ >= max_call_slice) {
            slice_deferred_ = true;
            count(core_.metrics, "sync_slices");
            core_.defer(life_.guard([this] {
                slice_deferred_ = false;
                slice_spent_ = {};
                serve_slice();
            }));
            return;
        }
        const auto replies = totals_.replies;
        const auto began = from_.loop_clock();
        if (!serve_next()) {
            return;
        }
        const reply_pacing::cost cost = from_.loop_clock() - began;
        slice_spent_ += cost;
        record_cost(pacing_, cost, totals_.replies > replies, core_.now());
    }
}

bool sync_server::serve_next() {
    // A reply must not be sent while a later call of the same router waits here: that call would
    // count as sent after the reply.
    if (!arrived_.empty()) {
        auto call = std::move(arrived_.front());
        arrived_.pop_front();
        accept(std::move(call));
        return true;
    }
    auto waiting = replies_.take_due(core_.now());
    if (!waiting) {
        return false;
    }
    reply_to(*waiting);
    return true;
}

void sync_server::accept(arrived_call call) {
    constexpr unsigned bad_request = 400;
    constexpr unsigned unavailable = 503;
    auto request = decode_sync_request(call.body);
    if (!request) {
        record_unreadable_message(core_, "sync call", call.body);
        call.respond({bad_request, "text/plain", "", {}});
        return;
    }
    if (!fleet_.leading || request->epoch != fleet_.leader.epoch) {
        call.respond({unavailable, "text/plain", "", {}});
        return;
    }
    const auto now = core_.now();
    record_caller(*request, now);
    if (request->config_version > core_.state.config.version && from_.fetch_config) {
        from_.fetch_config(request->address);
    }
    record_reports(request->host, *request, now);
    const auto& caller = followers_.find(request->host)->second;
    const auto due = is_behind(*request) ? now : call.arrived_at + detail::max_reply_delay;
    const auto earliest = earliest_reply(caller, now);
    // A router that calls again has given up its last call.
    const bool has_replaced = replies_.add({std::move(*request), std::move(call.respond),
                                            call.arrived_at, caller.region, earliest, due});
    if (has_replaced) {
        count(core_.metrics, "sync_calls_dropped");
    }
}

boot_time sync_server::earliest_reply(const follower& caller, boot_time now) {
    const auto interval = reply_interval(pacing_, followers_.size(), now);
    if (interval == milliseconds(0)) {
        return {};
    }
    count(core_.metrics, "sync_replies_paced");
    if (now >= next_pacing_line_) {
        next_pacing_line_ = now + detail::pacing_line_interval;
        core_.log.write_always(
            "replies_paced",
            {{"interval_ms", interval.count()},
             {"reply_ms", std::to_string((pacing_.per_call + pacing_.per_reply).count())},
             {"followers", static_cast<std::int64_t>(followers_.size())}});
    }
    return caller.replied_at + interval;
}

void sync_server::expire_followers(boot_time now) {
    const auto expired = std::erase_if(followers_, [&](const auto& router) {
        return now - router.second.called_at > detail::follower_expiry;
    });
    ranks_valid_ = ranks_valid_ && expired == 0;
}

void sync_server::update_ranks() {
    if (ranks_valid_) {
        return;
    }
    ranks_valid_ = true;
    // The leader has rank 0.
    std::uint32_t rank = 0;
    for (auto& [host, router] : followers_) {
        router.rank = ++rank;
    }
}

}  // namespace mimosavalve::gateway
