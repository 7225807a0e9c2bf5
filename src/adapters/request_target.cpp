#include "mimosavalve/adapters/request_target.hpp"

#include <charconv>
#include <system_error>

namespace mimosavalve::adapters {

namespace {

bool is_plain(char character) {
    return (character >= 'a' && character <= 'z') || (character >= 'A' && character <= 'Z') ||
           (character >= '0' && character <= '9') ||
           std::string_view("-._~/").find(character) != std::string_view::npos;
}

}  // namespace

request_target split_target(std::string_view target) {
    const auto mark = target.find('?');
    if (mark == std::string_view::npos) {
        return {target, {}};
    }
    return {target.substr(0, mark), target.substr(mark + 1)};
}

std::optional<std::uint64_t> query_number(std::string_view query, std::string_view name) {
    while (!query.empty()) {
        const auto end = query.find('&');
        const auto part = query.substr(0, end);
        const auto equals = part.find('=');
        if (equals != std::string_view::npos && part.substr(0, equals) == name) {
            return parse_number(part.substr(equals + 1));
        }
        query = end == std::string_view::npos ? std::string_view{} : query.substr(end + 1);
    }
    return std::nullopt;
}

std::optional<std::uint64_t> parse_number(std::string_view text) {
    std::uint64_t number = 0;
    const auto* const end = text.data() + text.size();
    const auto parsed = std::from_chars(text.data(), end, number);
    if (parsed.ec != std::errc{} || parsed.ptr != end) {
        return std::nullopt;
    }
    return number;
}

std::string percent_encode(std::string_view text) {
    constexpr std::string_view digits = "0123456789ABCDEF";
    std::string encoded;
    encoded.reserve(text.size());
    for (const char character : text) {
        if (is_plain(character)) {
            encoded += character;
            continue;
        }
        const auto byte = static_cast<unsigned char>(character);
        encoded += '%';
        encoded += digits[byte >> 4U];
        encoded += digits[byte & 15U];
    }
    return encoded;
}

std::optional<std::string> percent_decode(std::string_view text) {
    std::string decoded;
    decoded.reserve(text.size());
    while (!text.empty()) {
        if (text.front() != '%') {
            decoded += text.front();
            text.remove_prefix(1);
            continue;
        }
        const auto digits = text.substr(1, 2);
        unsigned byte = 0;
        const auto* const end = digits.data() + digits.size();
        const auto parsed = std::from_chars(digits.data(), end, byte, 16);
        if (digits.size() != 2 || parsed.ec != std::errc{} || parsed.ptr != end) {
            return std::nullopt;
        }
        decoded += static_cast<char>(byte);
        text.remove_prefix(3);
    }
    return decoded;
}

}  // namespace mimosavalve::adapters
