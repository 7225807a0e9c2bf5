#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <system_error>
#include <vector>

#include "mimosavalve/gateway/call_client.hpp"
#include "mimosavalve/gateway/gateway_settings.hpp"
#include "mimosavalve/gateway/http_message.hpp"
#include "mimosavalve/gateway/key_map.hpp"
#include "mimosavalve/gateway/route_config.hpp"
#include "mimosavalve/gateway/target_notice.hpp"
#include "mimosavalve/gateway/target_registry.hpp"

namespace mimosavalve::gateway {

/// Header names that routers, callers and targets agree on.
struct header_names {
    std::string request_id;
    std::string deadline;   ///< Milliseconds that the sender still waits.
    std::string signature;  ///< Marks an answer as written by a target.
    /// Id of the target that the request is for; any other target refuses it.
    std::string expected_target;
    std::string target_id;  ///< Id of the answering target.
    std::string load;
    std::string not_run;         ///< Marks an answer to a request that was not run.
    std::string remaining_cold;  ///< Remaining cold time of the answering target, in ms.
    std::string key;
    std::string retry_after;
};

/// Load that a target reported with an answer.
struct target_load {
    std::uint32_t running = 0;
    std::uint32_t waiting = 0;
    std::uint32_t slots = 0;
    double slowdown = 1;  ///< Current duration of its work divided by the normal one.
};

/// Number of low bits of a revision or lease id that hold the store's own number; the bits above
/// hold the era. A trillion changes, and 16 million eras, are more than a store sees in its life.
inline constexpr unsigned store_era_shift = 40;

/// Era of a revision or of a lease id. A store that comes back from an older copy begins a new era,
/// in which it gives out revisions and lease ids again. With the era in front, a number that was
/// given out later is always greater, and no number stands for two different changes. 0, which
/// stands for no revision and no lease, has no era.
constexpr std::uint64_t store_era_of(std::uint64_t revision) {
    return revision >> store_era_shift;
}

struct store_item {
    std::string key;
    std::string value;
    std::uint64_t revision = 0;  ///< 0: the item does not exist.
    std::uint64_t created = 0;   ///< Revision at which it was created.
    std::uint64_t lease = 0;
};

struct store_items {
    std::vector<store_item> items;
    std::uint64_t revision = 0;     ///< Revision of the store.
    bool has_more = false;          ///< There are more items than this page holds.
    std::uint32_t skipped = 0;      ///< Items outside the prefix, or without a key, left out here.
    milliseconds transfer_time{0};  ///< From the first bytes of the answer to its end.
};

/// Atomic write: all writes and removals take effect, or none.
struct store_batch {
    struct condition {
        std::string key;
        std::uint64_t revision = 0;  ///< 0: the item must not exist.
    };
    struct write {
        std::string key;
        std::string value;
        std::uint64_t lease = 0;
    };
    std::vector<condition> conditions;
    std::vector<write> writes;
    std::vector<std::string> removals;
};

/// Time after the deadline of a read within which an answer that is arriving may arrive: a large
/// configuration takes long while all routers of a region read it over one link.
inline constexpr milliseconds store_transfer_time{4000};

/// The platform's store. After `errc::store_unavailable` (no answer) a write may have taken effect,
/// or may still take effect seconds later. After `errc::store_refused` nothing was done.
///
/// Revisions and lease ids contain the era of the store (`store_era_of`). Those of an earlier era
/// are not valid any more: a condition does not hold, a lease has ended, and the changes since then
/// are not known.
struct metadata_store {
    using item_handler = std::function<void(std::error_code, store_item, std::uint64_t revision)>;
    using items_handler = std::function<void(std::error_code, store_items)>;
    using number_handler = std::function<void(std::error_code, std::uint64_t)>;

    std::function<void(std::string key, call_deadline, item_handler)> read;
    /// Lists one page of items, starting after the key `after` unless that is empty.
    std::function<void(std::string prefix, std::string after, call_deadline, items_handler)> list;
    /// Answers with the changes after `revision` as soon as there are any, or with none shortly
    /// before the deadline. A deleted item has revision 0, and its `created` is the revision of the
    /// deletion. After `errc::history_lost` the items have to be listed again.
    std::function<void(std::string prefix, std::uint64_t revision, milliseconds wait, call_deadline,
                       items_handler)>
        watch;
    /// Fails with `errc::store_conflict` if a condition does not hold, and with
    /// `errc::store_lease_expired` if a lease has ended. The number is the new revision.
    std::function<void(store_batch, call_deadline, number_handler)> write;
    /// The number is the id of the lease.
    std::function<void(milliseconds ttl, call_deadline, number_handler)> grant_lease;
    /// The number is the lease's time to live, in ms.
    std::function<void(std::uint64_t lease, call_deadline, number_handler)> renew_lease;
    /// The number is 0.
    std::function<void(std::uint64_t lease, call_deadline, number_handler)> revoke_lease;
};

/// Commands to targets about the keys that they hold.
struct key_commands {
    /// `handover`: bytes that the previous owner returns to a release, as they were received. The
    /// next owner gets them with its grant if they are text in UTF-8.
    using done_handler = std::function<void(std::error_code, std::string handover)>;

    /// Lets a target serve keys for the time `hold`. Fails with `errc::target_refused` if the
    /// target has received a higher fence. Without an answer the grant may still take effect later.
    std::function<void(const std::string& address, const key_segment& keys, milliseconds hold,
                       std::string handover, call_deadline, done_handler)>
        grant;
    /// Makes a target accept no new work on the keys; answers when running work on them has ended.
    /// Never refused.
    std::function<void(const std::string& address, const key_segment& keys, call_deadline,
                       done_handler)>
        release;
};

/// Keys of the store that routers read or write.
struct store_keys {
    std::string config;       ///< Key of the operators' configuration.
    std::string evacuations;  ///< Prefix; the rest of a key is a failure domain.
    std::string operators;    ///< Prefix of all keys that operators write.
    std::string targets;      ///< Prefix; the rest of a key is a target's id.
    std::string fleet;        ///< Prefix of the keys that the fleet's routers write.
};

/// Clients of one process, separate so that slow calls do not delay others.
struct platform_clients {
    call_client* store = nullptr;
    call_client* grants = nullptr;
    call_client* releases = nullptr;
};

/// Everything that is specific to the platform. It makes no decisions.
struct platform_port {
    header_names headers;
    store_keys keys;
    std::string ready_path;
    metadata_store store;
    key_commands commands;

    /// Returns nothing and sets `problem` if the text is not a valid configuration.
    std::function<std::optional<operator_config>(std::string_view text, std::string& problem)>
        decode_config;
    /// Returns nothing if the text does not describe a usable target.
    std::function<std::optional<target_entry>(std::string_view id, std::string_view text)>
        decode_target;
    std::function<std::optional<target_load>(std::string_view)> decode_load;
    /// Decodes what a target says about itself in the head of an answer. Null: nothing.
    std::function<answer_notice(const message_head&)> decode_notice;
};

}  // namespace mimosavalve::gateway
