#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "mimosavalve/command/parser.hpp"

namespace mimosavalve::command {

enum class token_kind {
    word,
    quoted,  ///< Text in double quotes; never a keyword.
    option,  ///< Starts with "--"; the text is without the dashes.
    end,
};

struct token {
    token_kind kind = token_kind::end;
    std::string text;
    std::uint32_t column = 1;  ///< Counted from 1, in characters.

    bool operator==(const token&) const = default;
};

/// Tokens of a text; the last one is always `token_kind::end`.
std::variant<std::vector<token>, parse_error> tokenize(std::string_view text);

}  // namespace mimosavalve::command
