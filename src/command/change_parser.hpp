#pragma once

#include <string_view>

#include "command/token_reader.hpp"
#include "mimosavalve/command/command.hpp"

namespace mimosavalve::command {

/// Rest of a change after its first word, up to the options.
change read_change(token_reader& in, std::string_view first_word);

/// The options after a change, in any order, each at most once.
void read_options(token_reader& in, change_command& out);

}  // namespace mimosavalve::command
