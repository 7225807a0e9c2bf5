#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace mimosavalve::command {

/// How a command ended. The values are the exit codes of `mvctl`.
enum class outcome {
    done = 0,
    refused = 1,
    bad_command = 2,
    unreachable = 3,   ///< Nothing ran: the router or the store could not be reached.
    may_have_run = 4,  ///< The effect is not known; repeat with the same identity.
};

/// "done", "refused", "bad-command", "unreachable" or "may-have-run".
std::string_view to_string(outcome how);

/// Reverse of `to_string`; an unknown name is `may_have_run`.
outcome outcome_of(std::string_view name);

/// Status of the HTTP answer that carries the result.
unsigned http_status_of(outcome how);

using cell = std::variant<std::string, std::uint64_t, double, bool>;

struct table {
    std::vector<std::string> columns;
    std::vector<std::vector<cell>> rows;  ///< Each as long as `columns`.
};

/// Answer to a command.
struct command_result {
    outcome how = outcome::done;
    std::string message;        ///< For people; may be empty when there is a table.
    std::uint64_t version = 0;  ///< Configuration version of the answer, or 0.
    std::string id;             ///< Identity of a change, or empty.
    table content;
};

/// Message and aligned columns.
std::string to_table(const command_result& result);

/// One JSON object: outcome, message, version, id and rows.
std::string to_json(const command_result& result);

}  // namespace mimosavalve::command
