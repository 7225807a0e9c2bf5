#include "store_follower.hpp"

#include "control_timing.hpp"
#include "mimosavalve/core/error.hpp"
#include "store_listing.hpp"

namespace mimosavalve::gateway {

namespace detail {

// A watch counts as one call regardless of its duration; keep-alive probes detect an unresponsive
// connection before it ends.
constexpr milliseconds default_watch_time{20000};
constexpr milliseconds watch_timeout_margin{2000};
// Transfer time of an answer from which it is logged.
constexpr milliseconds slow_transfer_time{100};

std::size_t bytes_of(const store_items& items) {
    std::size_t sum = 0;
    for (const auto& item : items.items) {
        sum += item.value.size();
    }
    return sum;
}

}  // namespace detail

store_follower::store_follower(router_core& core, fleet_state& fleet, std::string name,
                               callbacks handlers)
    : core_(core),
      fleet_(fleet),
      name_(std::move(name)),
      handlers_(std::move(handlers)),
      watch_time_(detail::default_watch_time) {}

void store_follower::start(std::string prefix) {
    prefix_ = std::move(prefix);
    set_following(true);
}

void store_follower::set_following(bool on) {
    is_following_ = on;
    if (!on || is_running_) {
        return;
    }
    is_running_ = true;
    if (revision_ == 0) {
        list();
    } else {
        watch();
    }
}

void store_follower::list() {
    is_running_ = is_following_;
    if (!is_following_) {
        return;
    }
    list_all(core_.platform.store, prefix_, detail::store_call_time,
             life_.guard([this](std::error_code error, const store_items& items) {
                 record_store_call(core_, fleet_, !error || error == errc::history_lost,
                                   "list " + name_);
                 if (error == errc::history_lost) {
                     list();
                     return;
                 }
                 if (error) {
                     list_later();
                     return;
                 }
                 pause_ = {};
                 log_transfer("list", items);
                 revision_ = items.revision;
                 handlers_.listed(items);
                 watch();
             }));
}

void store_follower::watch() {
    is_running_ = is_following_;
    if (!is_following_) {
        return;
    }
    core_.platform.store.watch(prefix_, revision_, watch_time_,
                               detail::deadline_in(watch_time_ + detail::watch_timeout_margin),
                               life_.guard([this](std::error_code error, const store_items& items) {
                                   if (error) {
                                       record_store_call(core_, fleet_, error == errc::history_lost,
                                                         "watch " + name_);
                                       list_later();
                                       return;
                                   }
                                   record_store_call(core_, fleet_, true, "watch " + name_);
                                   log_transfer("watch", items);
                                   // Newer items may have become known from elsewhere.
                                   const bool is_news = items.revision >= revision_;
                                   revision_ = std::max(items.revision, revision_);
                                   if (is_news && !items.items.empty()) {
                                       handlers_.changed(items);
                                   }
                                   watch();
                               }));
}

void store_follower::log_transfer(std::string_view call, const store_items& items) const {
    const auto bytes = detail::bytes_of(items);
    count(core_.metrics, "followed_item_bytes", bytes);
    record_skipped_items(core_, call, items);
    if (items.transfer_time >= detail::slow_transfer_time) {
        core_.log.write_always("store_transfer",
                               {{"call", call},
                                {"items", name_},
                                {"bytes", static_cast<std::int64_t>(bytes)},
                                {"transfer_ms", std::int64_t{items.transfer_time.count()}},
                                {"revision", static_cast<std::int64_t>(items.revision)}});
    }
}

void store_follower::list_later() {
    pause_ = detail::next_pause(pause_);
    run_after(core_.context, pause_, life_, [this] { list(); });
}

void store_follower::check() {
    list_all(core_.platform.store, prefix_, detail::store_call_time,
             life_.guard([this](std::error_code error, const store_items& items) {
                 record_store_call(core_, fleet_, !error || error == errc::history_lost,
                                   "check " + name_);
                 if (error == errc::history_lost) {
                     check();
                     return;
                 }
                 if (!error && items.revision >= revision_) {
                     log_transfer("check", items);
                     revision_ = items.revision;
                     handlers_.listed(items);
                 }
             }));
}

}  // namespace mimosavalve::gateway
