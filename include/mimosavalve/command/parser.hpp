#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <variant>

#include "mimosavalve/command/command.hpp"

namespace mimosavalve::command {

/// Longest text of a command in bytes. Changes are kept in the store, whose values are bounded.
constexpr std::size_t longest_command = 4096;

/// Where and why a text is not a command.
struct parse_error {
    std::uint32_t column = 1;  ///< Counted from 1, in characters.
    std::string expected;
    std::string found;

    bool operator==(const parse_error&) const = default;
};

/// Reads one command; the grammar is in docs/commands.md.
std::variant<command, parse_error> parse(std::string_view text);

/// The fault, the text and a caret below the place.
std::string to_string(const parse_error& error, std::string_view text);

}  // namespace mimosavalve::command
