#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "mimosavalve/core/types.hpp"

namespace mimosavalve::observe {

enum class event_kind {
    grant,       ///< A target was given slots.
    activation,  ///< A new owner of slots may serve them.
    move,        ///< Slots were given to another target.
    leader,      ///< A process began or ended to lead a shard.
    loss,        ///< A target was declared lost.
    ejection,    ///< A router sends no unkeyed work to a target for a while.
    comeback,    ///< A target is used again.
    limit,       ///< A window or rate was changed.
    quarantine,  ///< A fingerprint of a crashing request is held back.
    refusal,     ///< A request was refused.
    command,     ///< A command of an operator was accepted.
};

/// "grant", "activation", ...
std::string_view to_string(event_kind kind);

/// Reverse of `to_string`.
std::optional<event_kind> event_kind_of(std::string_view name);

/// Something that a process did or decided.
///
/// Subjects are paths: "target/ID", "account/NAME", "request/ID", "key/ACCOUNT/ID",
/// "slots/SERVICE/REGION/FIRST-LAST", "shard/REGION/N", "route/NAME", "domain/NAME". An event that
/// concerns two subjects is recorded once for each.
struct event_record {
    instance_id process;
    std::uint64_t number = 0;   ///< Counts the records of the process from 1.
    std::uint64_t unix_ms = 0;  ///< Wall clock of the process.
    event_kind kind = event_kind::refusal;
    std::string subject;
    std::string cause;  ///< For people: the version, lease, fence or evidence behind it.
    shard_id shard;     ///< Empty region: it concerns no shard.
    version at;         ///< Version of the shard that the process acted on.
    std::uint64_t config_version = 0;
    /// Home regions of the account that it is about; empty: the account is not bound.
    std::vector<std::string> bound_regions;

    bool operator==(const event_record&) const = default;
};

/// Selects records; all parts have to fit.
struct event_query {
    std::vector<std::string> subjects;  ///< Any of them; empty: all records.
    std::uint64_t since_unix_ms = 0;
    std::uint64_t until_unix_ms = 0;  ///< 0: no end.
    std::string asking_region;        ///< Region of the host that asks.

    bool operator==(const event_query&) const = default;
};

/// Whether a record about `subject` answers a question about `asked`: they are equal, `subject`
/// lies below `asked`, or `asked` is "slot/SERVICE/REGION/N" and `subject` a run that holds it.
bool subject_matches(std::string_view subject, std::string_view asked);

/// Whether a record answers a query. A record of an account that is bound to home regions is only
/// given to hosts in these regions.
bool matches(const event_record& record, const event_query& query);

}  // namespace mimosavalve::observe
