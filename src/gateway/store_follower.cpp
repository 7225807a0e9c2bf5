#include "store_follower.hpp"

#include "control_timing.hpp"
#include "mimosavalve/core/error.hpp"
#include "store_listing.hpp"

namespace mimosavalve::gateway {

namespace detail {

// A watch counts as one call regardless of its duration; keep-alive probes detect an unresponsive
// connection before it ends.
constexpr milliseconds watch_time{20000};
constexpr milliseconds watch_timeout_margin{2000};

}  // namespace detail

store_follower::store_follower(router_core& core, fleet_state& fleet, std::string name,
                               callbacks handlers)
    : core_(core), fleet_(fleet), name_(std::move(name)), handlers_(std::move(handlers)) {}

void store_follower::start(std::string prefix) {
    prefix_ = std::move(prefix);
    list();
}

void store_follower::list() {
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
                 revision_ = items.revision;
                 handlers_.listed(items);
                 watch();
             }));
}

void store_follower::watch() {
    core_.platform.store.watch(
        prefix_, revision_, detail::watch_time,
        detail::deadline_in(detail::watch_time + detail::watch_timeout_margin),
        life_.guard([this](std::error_code error, const store_items& items) {
            if (error) {
                record_store_call(core_, fleet_, error == errc::history_lost, "watch " + name_);
                list_later();
                return;
            }
            record_store_call(core_, fleet_, true, "watch " + name_);
            revision_ = std::max(items.revision, revision_);
            if (!items.items.empty()) {
                handlers_.changed(items);
            }
            watch();
        }));
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
                     revision_ = items.revision;
                     handlers_.listed(items);
                 }
             }));
}

}  // namespace mimosavalve::gateway
