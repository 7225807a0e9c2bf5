#pragma once

#include <chrono>
#include <string>

#include "mimosavalve/command/operator_client.hpp"

namespace mimosavalve::adapters {

/// Sends a command by HTTP `POST /command` on a connection of its own and waits for the answer.
command::exchange send_command(const std::string& router, const std::string& text,
                               command::output_format format, std::chrono::milliseconds timeout);

}  // namespace mimosavalve::adapters
