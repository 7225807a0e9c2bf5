#pragma once

#include <fcntl.h>

#include <algorithm>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <functional>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "gateway/leader_election.hpp"
#include "mimosavalve/core/error.hpp"

namespace mimosavalve::gateway::testing {

/// Store with leases that can come back older. Its calls are answered at once, and leases end only
/// when the test says so.
class election_store {
public:
    explicit election_store(boost::asio::io_context& context) : context_(context) {}

    void install(router_core& core) {
        core.platform.keys = {"operators/config", "evacuated/", "operators/", "targets/", "own/"};
        auto& store = core.platform.store;
        store.list = [this](const std::string& prefix, const std::string&, call_deadline,
                            metadata_store::items_handler done) {
            store_items found;
            found.revision = revision();
            for (const auto& [key, item] : now_.items) {
                if (key.starts_with(prefix)) {
                    found.items.push_back(item_of(key));
                }
            }
            answer([done = std::move(done), found] { done({}, found); });
        };
        store.read = [this](const std::string& key, call_deadline,
                            metadata_store::item_handler done) {
            const auto item = item_of(key);
            answer([done = std::move(done), item, at = revision()] {
                done(item.revision == 0 ? make_error_code(errc::not_found) : std::error_code(),
                     item, at);
            });
        };
        store.watch = [this](const std::string& prefix, std::uint64_t after, milliseconds,
                             call_deadline, metadata_store::items_handler done) {
            watch(prefix, after, std::move(done));
        };
        store.write = [this](const store_batch& batch, call_deadline,
                             metadata_store::number_handler done) {
            const auto outcome = write(batch);
            answer([done = std::move(done), outcome, at = revision()] { done(outcome, at); });
        };
        store.grant_lease = [this](milliseconds, call_deadline,
                                   metadata_store::number_handler done) {
            const auto lease = ++now_.next_lease;
            now_.leases[lease] = true;
            answer([done = std::move(done), id = with_era(lease)] { done({}, id); });
        };
        store.renew_lease = [this](std::uint64_t lease, call_deadline,
                                   metadata_store::number_handler done) {
            const bool known =
                store_era_of(lease) == era_ && now_.leases.contains(number_of(lease));
            answer([done = std::move(done), known] {
                done(known ? std::error_code() : make_error_code(errc::store_lease_expired), 0);
            });
        };
        store.revoke_lease = [this](std::uint64_t lease, call_deadline,
                                    metadata_store::number_handler done) {
            end_lease(number_of(lease));
            answer([done = std::move(done)] { done({}, 0); });
        };
    }

    void put(const std::string& key, const std::string& value, std::uint64_t lease = 0) {
        ++now_.number;
        now_.items[key] = {key, value, now_.number, now_.number, lease};
        now_.changes.push_back(now_.items[key]);
    }
    /// Ends a lease; its items are removed.
    void end_lease(std::uint64_t lease) {
        now_.leases.erase(lease);
        for (auto next = now_.items.begin(); next != now_.items.end();) {
            if (next->second.lease == lease) {
                ++now_.number;
                now_.changes.push_back({next->first, "", 0, now_.number, 0});
                next = now_.items.erase(next);
            } else {
                ++next;
            }
        }
    }
    void end_all_leases() {
        const auto leases = now_.leases;
        for (const auto& [lease, open] : leases) {
            end_lease(lease);
        }
    }
    void take_copy() { copy_ = now_; }
    /// Comes back with the content of the copy, in a new era.
    void restore_copy() {
        now_ = copy_;
        ++era_;
    }
    [[nodiscard]] std::uint64_t revision() const { return with_era(now_.number); }
    [[nodiscard]] store_item item_of(const std::string& key) const {
        const auto found = now_.items.find(key);
        if (found == now_.items.end()) {
            return {};
        }
        auto item = found->second;
        item.revision = with_era(item.revision);
        item.created = with_era(item.created);
        item.lease = item.lease == 0 ? 0 : with_era(item.lease);
        return item;
    }

private:
    struct content {
        std::map<std::string, store_item> items;  ///< Revisions and leases without the era.
        std::vector<store_item> changes;
        std::map<std::uint64_t, bool> leases;
        std::uint64_t number = 10;
        std::uint64_t next_lease = 0;
    };

    [[nodiscard]] std::uint64_t with_era(std::uint64_t number) const {
        return (era_ << store_era_shift) + number;
    }
    static std::uint64_t number_of(std::uint64_t revision) {
        return revision - (store_era_of(revision) << store_era_shift);
    }
    void answer(std::function<void()> step) { boost::asio::post(context_, std::move(step)); }
    std::error_code write(const store_batch& batch) {
        for (const auto& condition : batch.conditions) {
            if (item_of(condition.key).revision != condition.revision) {
                return make_error_code(errc::store_conflict);
            }
        }
        for (const auto& item : batch.writes) {
            const bool has_lease =
                store_era_of(item.lease) == era_ && now_.leases.contains(number_of(item.lease));
            if (item.lease != 0 && !has_lease) {
                return make_error_code(errc::store_lease_expired);
            }
        }
        for (const auto& item : batch.writes) {
            const auto created = item_of(item.key).created;
            put(item.key, item.value, number_of(item.lease));
            if (created != 0) {
                now_.items[item.key].created = number_of(created);
            }
        }
        return {};
    }
    void watch(const std::string& prefix, std::uint64_t after, metadata_store::items_handler done) {
        if (store_era_of(after) != era_) {
            answer([done = std::move(done)] { done(make_error_code(errc::history_lost), {}); });
            return;
        }
        store_items found;
        found.revision = revision();
        for (const auto& change : now_.changes) {
            if (with_era(change.created) > after && change.key.starts_with(prefix)) {
                found.items.push_back(change.revision == 0 ? change : item_of(change.key));
            }
        }
        if (!found.items.empty()) {
            answer([done = std::move(done), found] { done({}, found); });
            return;
        }
        run_after(context_, milliseconds(5), life_,
                  [this, prefix, after, done = std::move(done)]() mutable {
                      watch(prefix, after, std::move(done));
                  });
    }

    boost::asio::io_context& context_;
    std::uint64_t era_ = 0;
    content now_;
    content copy_;
    lifetime life_;
};

/// One router's part in the election.
struct election_router {
    election_router(boost::asio::io_context& context, election_store& store,
                    const std::string& host, std::uint64_t instance)
        : log(open("/dev/null", O_WRONLY | O_CLOEXEC)), core(context, {}, log) {
        core.settings.host = host;
        fleet.instance = instance;
        store.install(core);
    }

    observe::decision_log log;
    router_core core;
    fleet_state fleet;
    int terms = 0;
    int continued = 0;
    int ended = 0;
    /// End of the term as the routers confirm it, if later than that of the lease.
    boot_time confirmed_until;
    leader_election election{
        core,
        fleet,
        {[] {}, [this] { ++terms; }, [this] { ++continued; }, [this] { ++ended; },
         [](std::error_code) {},
         [this] { return std::max(election.lease_until(), confirmed_until); }}};
};

}  // namespace mimosavalve::gateway::testing
