#pragma once

#include <chrono>
#include <functional>
#include <string>
#include <string_view>
#include <vector>

#include "mimosavalve/command/result.hpp"

namespace mimosavalve::command {

enum class output_format {
    table,
    json,
};

enum class exchange_status {
    answered,
    not_sent,   ///< No byte of the request left this process.
    no_answer,  ///< The request may have arrived; there is no whole answer.
};

/// One request to a router and what became of it.
struct exchange {
    exchange_status status = exchange_status::not_sent;
    outcome how = outcome::may_have_run;  ///< As answered.
    std::string body;                     ///< As answered; without an answer, the error.
};

/// Sends a command to a router; `router` is "ip:port".
using exchange_function =
    std::function<exchange(const std::string& router, const std::string& text, output_format format,
                           std::chrono::milliseconds timeout)>;

struct client_settings {
    std::vector<std::string> routers;  ///< "ip:port"; at least one.
    output_format format = output_format::table;
    std::chrono::milliseconds timeout{10'000};  ///< For one answer.
};

/// What is to be printed, and how the command ended.
struct client_result {
    outcome how = outcome::done;
    std::string output;
};

/// Runs one command. A query goes on to the next router when there is no answer or the router
/// can't answer yet. A change gets an identity when it has none, so that it can be sent again to
/// the next router after an answer is missing; a refusal after that does not prove that it did not
/// run, because the first router may still be at work.
client_result run_command(const client_settings& settings, std::string_view text,
                          const exchange_function& send);

/// A name that no other command has: "mvctl-" and 16 random hexadecimal digits.
std::string new_identity();

}  // namespace mimosavalve::command
