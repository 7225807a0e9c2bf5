#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "mimosavalve/core/types.hpp"

namespace mimosavalve::observe {

enum class event_kind {
    grant,       ///< Slots were granted to a target, or were revoked.
    activation,  ///< A new owner of slots may start to serve them.
    move,        ///< Slots were assigned to another target.
    leader,      ///< A process became or ceased to be the leader of a shard.
    loss,        ///< A target was declared lost.
    ejection,    ///< A router stopped sending unkeyed requests to a target for a while.
    comeback,    ///< A target joined, or is used again after a loss.
    limit,       ///< A concurrency window or a rate limit was changed.
    quarantine,  ///< Requests with the fingerprint of a crashing request are held back.
    refusal,     ///< A request was refused.
    command,     ///< An operator command was accepted.
};

/// Name of a kind, which equals the name of its enumerator.
std::string_view to_string(event_kind kind);

/// Kind with the given name; std::nullopt when there is none.
std::optional<event_kind> event_kind_of(std::string_view name);

/// Record of an action or a decision of a process.
///
/// Subjects are paths: "target/ID", "account/NAME", "request/ID", "key/ACCOUNT/ID",
/// "slots/SERVICE/REGION/FIRST-LAST", "shard/REGION/N", "route/NAME", "domain/NAME". An event that
/// concerns two subjects is recorded twice, once for each of them.
struct event_record {
    instance_id process;
    std::uint64_t number = 0;   ///< Position among the records of the process, from 1.
    std::uint64_t unix_ms = 0;  ///< Time by the wall clock of the process.
    event_kind kind = event_kind::refusal;
    std::string subject;
    std::string cause;  ///< Readable reason: the version, lease, fence or evidence.
    shard_id shard;     ///< The region is empty when the event concerns no shard.
    version at;         ///< Version of the shard on which the process acted.
    std::uint64_t config_version = 0;
    /// Home regions of the account that the event concerns; empty when that account is not bound to
    /// regions.
    std::vector<std::string> bound_regions;

    bool operator==(const event_record&) const = default;
};

/// Selects the records that satisfy all members.
struct event_query {
    std::vector<std::string> subjects;  ///< A record matches any of them; empty: all records.
    std::uint64_t since_unix_ms = 0;
    std::uint64_t until_unix_ms = 0;  ///< 0: no upper bound.
    std::string asking_region;        ///< Region of the host that sends the query.

    bool operator==(const event_query&) const = default;
};

/// Whether a record about `subject` matches a query for `queried`: both are equal, `subject` lies
/// below `queried`, or `queried` is "slot/SERVICE/REGION/N" and `subject` is a range of slots that
/// contains it.
bool subject_matches(std::string_view subject, std::string_view queried);

/// Whether a record matches a query. A record of an account that is bound to home regions matches
/// only queries from hosts in these regions.
bool matches(const event_record& record, const event_query& query);

}  // namespace mimosavalve::observe
