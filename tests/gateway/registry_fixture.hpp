#pragma once

#include <fcntl.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <deque>
#include <functional>
#include <map>
#include <string>
#include <vector>

#include "gateway/fleet_control.hpp"
#include "mimosavalve/core/error.hpp"

namespace mimosavalve::gateway::testing {

/// Store whose registry has a target "t1". Its calls take as long as the test says.
class registry_store {
public:
    explicit registry_store(boost::asio::io_context& context) : context_(context) {}

    /// Writes an item, or removes it if `value` is empty.
    void put(const std::string& key, const std::string& value) {
        ++revision_;
        store_item change{key, value, revision_, revision_, 0};
        if (key.starts_with("targets/")) {
            change.value += " " + std::to_string(++last_sequence_);
        }
        if (value.empty()) {
            items_.erase(key);
            change.revision = 0;
        } else {
            items_[key] = change;
        }
        changes_.push_back(change);
    }

    /// Copies the items for `restore_copy`.
    void take_copy() { copy_ = {items_, changes_, revision_ & store_number_mask}; }
    /// Comes back from the copy: what was written since is gone, and its revisions are given out
    /// again in a new era.
    void restore_copy() {
        ++era_;
        items_ = copy_.items;
        changes_ = copy_.changes;
        revision_ = (era_ << store_era_shift) | copy_.number;
        for (auto& [key, item] : items_) {
            item.revision = (era_ << store_era_shift) | (item.revision & store_number_mask);
            item.created = item.revision;
        }
        for (auto& change : changes_) {
            change.created = (era_ << store_era_shift) | (change.created & store_number_mask);
            change.revision = change.revision == 0 ? 0 : change.created;
        }
    }

    void install(router_core& core) {
        core.platform.keys = {"operators/config", "evacuated/", "operators/", "targets/", "own/"};
        core.platform.decode_target = [](std::string_view id, std::string_view text) {
            target_entry entry;
            entry.id = id;
            entry.service = "orders";
            entry.address = "127.0.0.1:1";
            entry.started_unix_ms = 1;
            entry.leaving = text.starts_with("leaving");
            entry.sequence = std::stoull(std::string(text.substr(text.find(' '))));
            return std::optional(entry);
        };
        core.platform.store.list = [this](const std::string& prefix, const std::string& after,
                                          call_deadline deadline,
                                          metadata_store::items_handler done) {
            list(prefix, after, deadline, std::move(done));
        };
        core.platform.store.watch = [this](const std::string& prefix, std::uint64_t revision,
                                           milliseconds wait, call_deadline deadline,
                                           metadata_store::items_handler done) {
            count_call(prefix);
            if (must_lose(prefix)) {
                lose(deadline, std::move(done));
            } else {
                watch(prefix, revision, std::min(std::chrono::steady_clock::now() + wait, deadline),
                      std::move(done));
            }
        };
    }

    milliseconds page_time{1};
    std::size_t page_items = 500;
    int lost_registry_calls = 0;  ///< Number of next calls about the registry without an answer.
    int registry_calls = 0;

private:
    static constexpr std::uint64_t store_number_mask = (std::uint64_t{1} << store_era_shift) - 1;

    void count_call(const std::string& prefix) { registry_calls += prefix == "targets/" ? 1 : 0; }
    bool must_lose(const std::string& prefix) {
        return prefix == "targets/" && lost_registry_calls > 0 && lost_registry_calls-- > 0;
    }
    void lose(call_deadline deadline, metadata_store::items_handler done) {
        const auto left =
            std::chrono::duration_cast<milliseconds>(deadline - std::chrono::steady_clock::now());
        run_after(context_, left, life_,
                  [done = std::move(done)] { done(make_error_code(errc::store_unavailable), {}); });
    }
    void list(const std::string& prefix, const std::string& after, call_deadline deadline,
              metadata_store::items_handler done) {
        count_call(prefix);
        if (must_lose(prefix) || std::chrono::steady_clock::now() + page_time > deadline) {
            lose(deadline, std::move(done));
            return;
        }
        store_items page;
        page.revision = revision_;
        auto next = after.empty() ? items_.lower_bound(prefix) : items_.upper_bound(after);
        for (; next != items_.end() && next->first.starts_with(prefix); ++next) {
            if (page.items.size() == page_items) {
                page.has_more = true;
                break;
            }
            page.items.push_back(next->second);
        }
        run_after(context_, page_time, life_,
                  [done = std::move(done), page = std::move(page)] { done({}, page); });
    }
    void watch(const std::string& prefix, std::uint64_t revision, call_deadline until,
               metadata_store::items_handler done) {
        if (store_era_of(revision) != era_) {
            run_after(context_, milliseconds(1), life_,
                      [done = std::move(done)] { done(make_error_code(errc::history_lost), {}); });
            return;
        }
        store_items found;
        found.revision = revision_;
        for (const auto& change : changes_) {
            if (change.created > revision && change.key.starts_with(prefix)) {
                found.items.push_back(change);
            }
        }
        if (!found.items.empty() || std::chrono::steady_clock::now() >= until) {
            done({}, found);
            return;
        }
        run_after(context_, milliseconds(5), life_,
                  [this, prefix, revision, until, done = std::move(done)]() mutable {
                      watch(prefix, revision, until, std::move(done));
                  });
    }

    boost::asio::io_context& context_;
    std::map<std::string, store_item> items_;
    std::vector<store_item> changes_;
    std::uint64_t revision_ = 10;
    std::uint64_t era_ = 0;
    std::uint64_t last_sequence_ = 0;
    struct copied_items {
        std::map<std::string, store_item> items;
        std::vector<store_item> changes;
        std::uint64_t number = 0;  ///< Revision without the era.
    };
    copied_items copy_;
    lifetime life_;
};

/// Router core with that store.
struct registry_fixture {
    registry_fixture() : log(open("/dev/null", O_WRONLY | O_CLOEXEC)), core(context, {}, log) {
        core.defer = [this](std::function<void()> step) {
            boost::asio::post(context, std::move(step));
        };
        core.wake_waiting = [] {};
        core.deadlines_changed = [] {};
        store.put("targets/t1", "ready");
        store.install(core);
    }

    void run_for(milliseconds time) {
        context.run_for(time);
        context.restart();
    }
    bool run_until(const std::function<bool()>& done, milliseconds timeout) {
        const auto end = std::chrono::steady_clock::now() + timeout;
        while (!done() && std::chrono::steady_clock::now() < end) {
            run_for(milliseconds(5));
        }
        return done();
    }
    /// Whether requests may be sent to the target.
    [[nodiscard]] bool is_used(const std::string& id) const {
        const auto found = core.state.targets.find(id);
        return found != core.state.targets.end() &&
               can_send_to(core.state, *found->second, boot_clock::now());
    }

    boost::asio::io_context context;
    observe::decision_log log;
    router_core core;
    registry_store store{context};
};

}  // namespace mimosavalve::gateway::testing
