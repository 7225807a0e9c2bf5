#pragma once

#include <chrono>
#include <string>

#include "mimosavalve/command/operator_client.hpp"

namespace mimosavalve::command {

/// Sends a command by HTTP `POST /command` on a connection of its own and waits for the answer.
exchange http_exchange(const std::string& router, const std::string& text, output_format format,
                       std::chrono::milliseconds timeout);

}  // namespace mimosavalve::command
