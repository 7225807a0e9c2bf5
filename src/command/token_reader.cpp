#include "command/token_reader.hpp"

#include <algorithm>
#include <cmath>

#include "mimosavalve/command/scope.hpp"
#include "mimosavalve/config/names.hpp"

namespace mimosavalve::command {

namespace detail {

struct unit {
    std::string_view suffix;
    std::uint64_t factor;
};

constexpr std::array<unit, 4> time_units{{{"ms", 1}, {"s", 1000}, {"m", 60'000}, {"h", 3'600'000}}};
constexpr std::array<unit, 4> size_units{
    {{"", 1}, {"KiB", 1U << 10U}, {"MiB", 1U << 20U}, {"GiB", 1U << 30U}}};

// A number with one of the units, if it is at most `most`.
bool read_with_unit(std::string_view text, std::span<const unit> units, std::uint64_t most,
                    std::uint64_t& out) {
    std::uint64_t number = 0;
    const auto* end = text.data() + text.size();
    const auto [rest, failure] = std::from_chars(text.data(), end, number);
    if (failure != std::errc{}) {
        return false;
    }
    const std::string_view suffix(rest, static_cast<std::size_t>(end - rest));
    const auto found = std::find_if(units.begin(), units.end(),
                                    [&](const unit& each) { return each.suffix == suffix; });
    if (found == units.end() || number > most / found->factor) {
        return false;
    }
    out = number * found->factor;
    return true;
}

std::string listed(std::span<const std::string_view> words) {
    std::string text;
    for (std::size_t index = 0; index < words.size(); ++index) {
        const auto* separator = index == 0 ? "" : index + 1 == words.size() ? " or " : ", ";
        text += separator + ("'" + std::string(words[index]) + "'");
    }
    return text;
}

std::string shown(const token& each) {
    switch (each.kind) {
        case token_kind::end:
            return "the end of the command";
        case token_kind::option:
            return "'--" + each.text + "'";
        default:
            return "'" + each.text + "'";
    }
}

}  // namespace detail

void token_reader::fail(std::string_view expected) {
    if (!failed()) {
        error_ = parse_error{next().column, std::string(expected), detail::shown(next())};
    }
}

token token_reader::take() {
    if (failed() || at_end()) {
        return {token_kind::end, "", next().column};
    }
    return tokens_[position_++];
}

bool token_reader::has_text() const {
    return !failed() && (next().kind == token_kind::word || next().kind == token_kind::quoted);
}

bool token_reader::accept(std::string_view keyword) {
    if (failed() || next().kind != token_kind::word || next().text != keyword) {
        return false;
    }
    ++position_;
    return true;
}

void token_reader::expect(std::string_view keyword) {
    if (!accept(keyword)) {
        fail("'" + std::string(keyword) + "'");
    }
}

void token_reader::expect_end() {
    if (!at_end()) {
        fail("the end of the command");
    }
}

std::optional<std::size_t> token_reader::one_of(std::span<const std::string_view> keywords) {
    for (std::size_t index = 0; index < keywords.size(); ++index) {
        if (accept(keywords[index])) {
            return index;
        }
    }
    fail(detail::listed(keywords));
    return std::nullopt;
}

std::string token_reader::name(std::string_view what) {
    if (!has_text() || !config::is_name(next().text)) {
        fail(std::string(what) + " (" + std::string(config::name_rule) + ")");
    }
    return take().text;
}

std::vector<std::string> token_reader::names(std::string_view what) {
    std::vector<std::string> out;
    std::string_view rest = has_text() ? std::string_view(next().text) : std::string_view();
    bool valid = !rest.empty();
    while (valid) {
        const auto comma = rest.find(',');
        out.emplace_back(rest.substr(0, comma));
        valid = config::is_name(out.back());
        if (comma == std::string_view::npos) {
            break;
        }
        rest.remove_prefix(comma + 1);
    }
    if (!valid) {
        fail(std::string(what) + ", separated by ','");
    }
    take();
    return out;
}

std::string token_reader::scope() {
    if (!has_text() || !is_scope(next().text)) {
        fail(
            "a scope such as route/NAME, service/NAME, account/NAME, target/NAME, domain/NAME "
            "or account/NAME/home");
    }
    return take().text;
}

std::uint64_t token_reader::integer(std::string_view what, std::uint64_t least,
                                    std::uint64_t most) {
    constexpr std::array<detail::unit, 1> plain{{{"", 1}}};
    std::uint64_t value = 0;
    if (!has_text() || !detail::read_with_unit(next().text, plain, most, value) || value < least) {
        fail(std::string(what) + " from " + std::to_string(least) + " to " + std::to_string(most));
    }
    take();
    return value;
}

bool token_reader::yes_or_no() {
    constexpr std::array<std::string_view, 2> words{"yes", "no"};
    return one_of(words) == std::size_t{0};
}

bool token_reader::at_duration() const {
    return has_text() && !next().text.empty() && next().text.back() >= 'a' &&
           next().text.back() <= 'z';
}

std::chrono::milliseconds token_reader::duration(std::string_view what,
                                                 std::chrono::milliseconds most) {
    std::uint64_t value = 0;
    const auto limit = static_cast<std::uint64_t>(most.count());
    if (!has_text() || !detail::read_with_unit(next().text, detail::time_units, limit, value) ||
        value == 0) {
        fail(std::string(what) + " such as 500ms, 3s, 10m or 2h, at most " +
             std::to_string(most.count()) + "ms");
    }
    take();
    return std::chrono::milliseconds(value);
}

std::uint64_t token_reader::size(std::uint64_t most) {
    std::uint64_t value = 0;
    if (!has_text() || !detail::read_with_unit(next().text, detail::size_units, most, value)) {
        fail("a size in bytes such as 4096, 512KiB or 64MiB, at most " + std::to_string(most));
    }
    take();
    return value;
}

double token_reader::rate(double most) {
    if (accept("none")) {
        return 0;
    }
    double value = 0;
    bool valid = has_text();
    if (valid) {
        const auto& word = next().text;
        const auto* end = word.data() + word.size();
        const auto [rest, failure] = std::from_chars(word.data(), end, value);
        valid = failure == std::errc{} && rest == end && std::isfinite(value) && value > 0 &&
                value <= most;
    }
    if (!valid) {
        fail("requests per second above 0 and at most 1e9, or 'none'");
    }
    take();
    return value;
}

std::string token_reader::text(std::string_view what) {
    if (!has_text() || next().text.empty()) {
        fail(what);
    }
    return take().text;
}

}  // namespace mimosavalve::command
