#pragma once

#include <array>
#include <charconv>
#include <chrono>
#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "command/tokenizer.hpp"

namespace mimosavalve::command {

/// Takes values from a list of tokens. The first fault is kept; after it, nothing more is taken and
/// each function returns an empty value, so that the parser needs no check after each step.
class token_reader {
public:
    explicit token_reader(std::vector<token> tokens) : tokens_(std::move(tokens)) {}

    [[nodiscard]] bool failed() const { return error_.has_value(); }
    [[nodiscard]] const std::optional<parse_error>& error() const { return error_; }
    [[nodiscard]] bool at_end() const { return next().kind == token_kind::end; }
    [[nodiscard]] bool at_option() const { return next().kind == token_kind::option; }

    /// Marks the next token as the place of the fault.
    void fail(std::string_view expected);

    /// Takes the word when it is next.
    bool accept(std::string_view keyword);
    void expect(std::string_view keyword);
    void expect_end();

    /// Takes one of the words; its position, or nothing after a fault.
    std::optional<std::size_t> one_of(std::span<const std::string_view> keywords);

    std::string name(std::string_view what);
    std::vector<std::string> names(std::string_view what);
    std::string scope();
    std::uint64_t integer(std::string_view what, std::uint64_t least, std::uint64_t most);
    bool yes_or_no();

    /// "500ms", "3s", "10m" or "2h".
    std::chrono::milliseconds duration(std::string_view what, std::chrono::milliseconds most);

    /// Whether the next word is written as a duration.
    [[nodiscard]] bool at_duration() const;

    /// Bytes: "4096", "512KiB", "64MiB" or "1GiB".
    std::uint64_t size(std::uint64_t most);

    /// Requests per second, or "none", which is 0.
    double rate(double most);

    /// Any text that is not empty.
    std::string text(std::string_view what);

    /// Takes the next token as it is.
    token take();

private:
    [[nodiscard]] const token& next() const { return tokens_[position_]; }
    [[nodiscard]] bool has_text() const;

    std::vector<token> tokens_;
    std::size_t position_ = 0;
    std::optional<parse_error> error_;
};

}  // namespace mimosavalve::command
