#pragma once

#include <cstdint>
#include <istream>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "mimosavalve/core/types.hpp"
#include "mimosavalve/load/attempt_record.hpp"
#include "mimosavalve/ownership/slot.hpp"

namespace mimosavalve::check {

/// What the first line of a target's history says.
struct target_description {
    std::string service;
    std::string region;
    std::string failure_domain;

    bool operator==(const target_description&) const = default;
};

/// One request on one target, from its start to its end. Times are nanoseconds of the machine's
/// monotonic clock.
struct target_run {
    std::int64_t start_ns = 0;
    std::int64_t end_ns = 0;
    std::string target;
    std::uint64_t instance = 0;
    std::string service;
    std::optional<ownership::slot_number> slot;  ///< Absent: the service has no owners of keys.
    std::string path;
    std::string account;  ///< Calling account.
    std::optional<version> fence;
    std::string request_id;
    std::string idempotency_key;
};

/// Time in which a target's process did not run.
struct target_pause {
    std::string target;
    std::uint64_t instance = 0;
    std::int64_t from_ns = 0;
    std::int64_t until_ns = 0;
};

/// Everything that targets and callers recorded.
struct history {
    std::map<std::string, target_description> targets;
    std::vector<target_run> runs;  ///< Sorted by start after `finish_history`.
    std::vector<target_pause> pauses;
    std::vector<load::attempt_record> attempts;  ///< Sorted by end after `finish_history`.
};

/// Requests that started and have not ended yet, and what else a reader remembers of a target.
struct open_runs {
    struct run_key {
        std::string target;
        std::uint64_t instance = 0;
        std::string request_id;
        auto operator<=>(const run_key&) const = default;
    };
    struct instance_key {
        std::string target;
        std::uint64_t instance = 0;
        auto operator<=>(const instance_key&) const = default;
    };

    std::map<run_key, std::vector<std::size_t>> by_request;  ///< Indices into `history::runs`.
    std::map<instance_key, std::int64_t> last_seen;          ///< Time of the last line.
};

/// Adds one file of either kind. A last line without its end was cut by a kill and is left out;
/// every other broken line adds a problem that names `file` and line.
void read_history(std::istream& in, const std::string& file, history& into, open_runs& open,
                  std::vector<std::string>& problems);

/// Ends the runs that have no end: their target was killed, and surely ran until its last line.
/// Sorts everything. A run on a target without a description adds a problem.
void finish_history(history& into, const open_runs& open, std::vector<std::string>& problems);

/// Account and rest of "/<route>/<account>/<id...>". Both are empty for other paths.
struct path_key {
    std::string account;
    std::string id;
};
path_key path_key_of(std::string_view path);

}  // namespace mimosavalve::check
