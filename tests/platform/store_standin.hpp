#pragma once

#include <boost/asio/io_context.hpp>
#include <cstdint>
#include <deque>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "gateway/internal_server.hpp"
#include "gateway/lifetime.hpp"

namespace mimosavalve::platform::testing {

/// How the store treats one host.
enum class store_access { served, refused, unanswered };

/// Stands in for the platform's store. It listens on one address for each host, so that it can
/// refuse some hosts and serve the others.
class store_standin {
public:
    explicit store_standin(boost::asio::io_context& context) : context_(context) {}

    /// Returns the address, with the port that was chosen if that of `address` is 0.
    gateway::tcp::endpoint listen(const std::string& host, const gateway::tcp::endpoint& address);
    void set_access(const std::string& host, store_access access);

    void put(const std::string& key, const std::string& value);
    void remove(const std::string& key);
    [[nodiscard]] const std::string* value_of(const std::string& key) const;

    /// Discards the history of changes and ends all running watches with status 410.
    void discard_history();

    /// Copies items, history and leases for `restore_copy`.
    void take_copy() { copy_ = contents_; }
    /// Comes back from the copy and begins a new era: everything written since then is gone, and
    /// revisions and lease ids are given out again.
    void restore_copy();

    /// Size of the answers to the calls of a host.
    [[nodiscard]] std::size_t answered_bytes(const std::string& host) const {
        const auto found = answered_bytes_.find(host);
        return found == answered_bytes_.end() ? 0 : found->second;
    }

    gateway::milliseconds answer_delay{0};  ///< Time between carrying out a call and answering it.
    std::size_t max_page_items = 500;       ///< Maximum number of items of one page.
    /// Whether each page and each answer to a watch with changes also has an item outside the
    /// prefix that was asked for, and one without a key.
    bool adds_foreign_items = false;
    std::uint32_t unanswered_writes = 0;  ///< Number of next writes to carry out without an answer.

private:
    struct stored_item {
        std::string value;
        std::uint64_t revision = 0;
        std::uint64_t created_revision = 0;
        std::uint64_t lease = 0;
    };
    struct stored_change {
        std::string key;
        stored_item item;  ///< For a deletion, only the revision is set.
        bool deleted = false;
    };
    struct watcher {
        std::string host;
        std::string prefix;
        std::uint64_t after_revision = 0;
        gateway::internal_server::respond respond;
    };
    /// Lease ids are as wide as the platform's: they do not fit below the era of a revision.
    static constexpr std::uint64_t first_lease = (1ULL << 52U) + 1;

    struct lease_state {
        std::uint64_t ttl_ms = 0;
        std::uint64_t renewal = 0;  ///< Number of the last renewal of any lease.
    };
    struct stored_contents {
        std::map<std::string, stored_item> items;
        std::deque<stored_change> history;
        std::uint64_t revision = 1;
        std::uint64_t history_start_revision = 1;  ///< `history` holds the changes after it.
        std::uint64_t next_lease = first_lease;
        std::map<std::uint64_t, lease_state> leases;
    };

    void serve(const std::string& host, const gateway::message_head& head, const std::string& body,
               const gateway::internal_server::respond& respond);
    [[nodiscard]] gateway::internal_answer read(
        const std::map<std::string, std::string>& query) const;
    [[nodiscard]] gateway::internal_answer list(
        const std::map<std::string, std::string>& query) const;
    void watch(const std::string& host, const std::map<std::string, std::string>& query,
               const gateway::internal_server::respond& respond);
    gateway::internal_answer write(const std::string& body);
    gateway::internal_answer open_lease(const std::string& body);
    gateway::internal_answer renew_lease(std::uint64_t id);
    void end_lease(std::uint64_t id);
    void schedule_lease_expiry(std::uint64_t id);
    void apply(const std::string& key, const std::string& value, std::uint64_t lease,
               std::uint64_t revision);
    void erase(const std::string& key, std::uint64_t revision);
    void notify_watchers();
    [[nodiscard]] std::string events_after(const std::string& prefix,
                                           std::uint64_t after_revision) const;

    boost::asio::io_context& context_;
    std::map<std::string, std::unique_ptr<gateway::internal_server>> servers_;
    std::map<std::string, store_access> access_;
    std::map<std::string, std::size_t> answered_bytes_;  ///< By host.
    stored_contents contents_;
    stored_contents copy_;
    std::uint64_t era_ = 0;
    std::uint64_t last_renewal_ = 0;
    std::list<watcher> watchers_;
    gateway::lifetime lifetime_;
};

}  // namespace mimosavalve::platform::testing
