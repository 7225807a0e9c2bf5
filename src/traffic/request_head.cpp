#include "mimosavalve/traffic/request_head.hpp"

#include <algorithm>
#include <charconv>

namespace mimosavalve::traffic {

namespace detail {

constexpr std::size_t max_request_id_length = 64;
constexpr std::size_t max_idempotency_key_length = 128;
constexpr std::size_t escape_size = 3;

constexpr bool is_alphanumeric(char character) {
    return (character >= 'a' && character <= 'z') || (character >= 'A' && character <= 'Z') ||
           (character >= '0' && character <= '9');
}

constexpr bool is_unreserved(char character) {
    return is_alphanumeric(character) || character == '-' || character == '.' || character == '_' ||
           character == '~';
}

constexpr bool is_path_character(char character) {
    return is_unreserved(character) ||
           std::string_view("!$&'()*+,;=:@").find(character) != std::string_view::npos;
}

constexpr int upper_hex_value(char character) {
    if (character >= '0' && character <= '9') {
        return character - '0';
    }
    if (character >= 'A' && character <= 'F') {
        return character - 'A' + 10;
    }
    return -1;
}

/// Whether `text` starts with a percent escape that is necessary: it encodes a character that is
/// not unreserved.
bool is_needed_escape(std::string_view text) {
    if (text.size() < escape_size) {
        return false;
    }
    const int high = upper_hex_value(text[1]);
    const int low = upper_hex_value(text[2]);
    return high >= 0 && low >= 0 && !is_unreserved(static_cast<char>(high * 16 + low));
}

bool is_normal_segment(std::string_view segment) {
    if (segment.empty() || segment == "." || segment == "..") {
        return false;
    }
    for (std::size_t index = 0; index < segment.size();) {
        if (segment[index] != '%') {
            if (!is_path_character(segment[index])) {
                return false;
            }
            ++index;
            continue;
        }
        if (!is_needed_escape(segment.substr(index))) {
            return false;
        }
        index += escape_size;
    }
    return true;
}

/// Removes the first segment and its slash from `rest` and returns the segment.
std::string_view split_segment(std::string_view& rest) {
    const auto slash = rest.find('/');
    const auto segment = rest.substr(0, slash);
    rest = slash == std::string_view::npos ? std::string_view{} : rest.substr(slash + 1);
    return segment;
}

bool has_normal_segments(std::string_view path) {
    if (path.ends_with('/')) {
        return false;
    }
    while (!path.empty()) {
        if (!is_normal_segment(split_segment(path))) {
            return false;
        }
    }
    return true;
}

}  // namespace detail

bool split_path(std::string_view path, request_head& head) {
    path = path.substr(0, path.find('?'));
    if (!path.starts_with('/')) {
        return false;
    }
    path.remove_prefix(1);
    if (!detail::has_normal_segments(path)) {
        return false;
    }
    head.route = detail::split_segment(path);
    head.account = detail::split_segment(path);
    head.id = path;
    return !head.route.empty() && !head.account.empty();
}

bool is_valid_request_id(std::string_view id) {
    return !id.empty() && id.size() <= detail::max_request_id_length &&
           std::all_of(id.begin(), id.end(), [](char character) {
               return detail::is_alphanumeric(character) || character == '-' || character == '_' ||
                      character == '.';
           });
}

bool is_valid_idempotency_key(std::string_view key) {
    return !key.empty() && key.size() <= detail::max_idempotency_key_length &&
           std::all_of(key.begin(), key.end(),
                       [](char character) { return character > ' ' && character < '\x7f'; });
}

std::optional<std::uint64_t> parse_number(std::string_view text) {
    std::uint64_t value = 0;
    const auto* end = text.data() + text.size();
    const auto result = std::from_chars(text.data(), end, value);
    if (text.empty() || result.ec != std::errc{} || result.ptr != end) {
        return std::nullopt;
    }
    return value;
}

}  // namespace mimosavalve::traffic
