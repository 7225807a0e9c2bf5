#pragma once

#include <string_view>

#include "command/token_reader.hpp"
#include "mimosavalve/command/command.hpp"

namespace mimosavalve::command {

/// Rest of a query after its first word.
query read_query(token_reader& in, std::string_view first_word);

}  // namespace mimosavalve::command
