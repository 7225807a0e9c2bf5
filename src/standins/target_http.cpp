#include "target_http.hpp"

#include <array>
#include <charconv>
#include <cinttypes>
#include <cstdio>
#include <limits>
#include <string_view>

#include "mimosavalve/standins/target_rules.hpp"

namespace mimosavalve::standins {

namespace detail {

std::string_view header_text(const boost::beast::http::request_header<>& header,
                             std::string_view name) {
    const auto found = header.find(boost::beast::string_view(name.data(), name.size()));
    if (found == header.end()) {
        return {};
    }
    return {found->value().data(), found->value().size()};
}

template <typename Number>
bool read_number(const boost::beast::http::request_header<>& header, std::string_view name,
                 std::optional<Number>& value, std::string& problem) {
    const auto text = header_text(header, name);
    if (text.empty()) {
        return true;
    }
    Number number = 0;
    const auto* end = text.data() + text.size();
    const auto result = std::from_chars(text.data(), end, number);
    if (result.ec != std::errc() || result.ptr != end) {
        problem = std::string(name) + ": a whole number from 0 to " +
                  std::to_string(std::numeric_limits<Number>::max());
        return false;
    }
    value = number;
    return true;
}

bool read_fence(const boost::beast::http::request_header<>& header, std::optional<version>& fence,
                std::string& problem) {
    const auto text = header_text(header, "Mimosavalve-Fence");
    if (text.empty()) {
        return true;
    }
    fence = parse_fence(text);
    if (!fence) {
        problem = "Mimosavalve-Fence: \"epoch.sequence\"";
    }
    return fence.has_value();
}

}  // namespace detail

std::string path_of(const boost::beast::http::request_header<>& header) {
    const std::string_view target(header.target().data(), header.target().size());
    return std::string(target.substr(0, target.find('?')));
}

bool read_request_info(const boost::beast::http::request_header<>& header, request_info& info,
                       std::string& problem) {
    const auto method = header.method_string();
    info.method.assign(method.data(), method.size());
    info.path = path_of(header);
    info.request_id = detail::header_text(header, "Request-Id");
    info.account = detail::header_text(header, "Client-Account");
    info.service = detail::header_text(header, "Mimosavalve-Service");
    info.idempotency_key = detail::header_text(header, "Idempotency-Key");
    return detail::read_number(header, "Mimosavalve-Slot", info.slot, problem) &&
           detail::read_number(header, "Start-By", info.start_by_ms, problem) &&
           detail::read_fence(header, info.fence, problem);
}

std::string digest_text(std::uint64_t xxh64, std::uint64_t size) {
    std::array<char, 17> hexadecimal{};
    std::snprintf(hexadecimal.data(), hexadecimal.size(), "%016" PRIx64, xxh64);
    return std::string("{\"xxh64\":\"") + hexadecimal.data() +
           "\",\"size\":" + std::to_string(size) + "}";
}

}  // namespace mimosavalve::standins
