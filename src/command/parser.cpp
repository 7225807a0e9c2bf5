#include "mimosavalve/command/parser.hpp"

#include <array>

#include "command/change_parser.hpp"
#include "command/query_parser.hpp"
#include "command/token_reader.hpp"

namespace mimosavalve::command {

namespace detail {

constexpr std::array<std::string_view, 11> first_words{"show",   "status", "explain", "wait",
                                                       "set",    "remove", "drain",   "undrain",
                                                       "return", "rule",   "activate"};

bool is_query(std::size_t first_word) {
    constexpr std::size_t queries = 4;
    return first_word < queries;
}

command read_command(token_reader& in) {
    const auto first = in.one_of(first_words);
    if (!first) {
        return {};
    }
    if (is_query(*first)) {
        auto out = read_query(in, first_words.at(*first));
        in.expect_end();
        return out;
    }
    change_command out;
    out.what = read_change(in, first_words.at(*first));
    read_options(in, out);
    in.expect_end();
    return out;
}

}  // namespace detail

std::variant<command, parse_error> parse(std::string_view text) {
    if (text.size() > longest_command) {
        return parse_error{1, "a command of at most " + std::to_string(longest_command) + " bytes",
                           std::to_string(text.size()) + " bytes"};
    }
    auto tokens = tokenize(text);
    if (const auto* error = std::get_if<parse_error>(&tokens)) {
        return *error;
    }
    token_reader in(std::get<std::vector<token>>(std::move(tokens)));
    auto out = detail::read_command(in);
    if (in.failed()) {
        return *in.error();
    }
    return out;
}

std::string to_string(const parse_error& error, std::string_view text) {
    constexpr std::size_t longest_echo = 200;
    std::string out = "column " + std::to_string(error.column) + ": expected " + error.expected +
                      ", found " + error.found + "\n";
    if (text.size() > longest_echo) {
        return out;
    }
    out += "  ";
    for (const char letter : text) {
        const bool control = static_cast<unsigned char>(letter) < ' ';
        out += control ? ' ' : letter;
    }
    out += "\n  " + std::string(error.column - 1, ' ') + "^\n";
    return out;
}

}  // namespace mimosavalve::command
