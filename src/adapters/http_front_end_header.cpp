#include "http_front_end_header.hpp"

#include <array>
#include <boost/beast/core/string.hpp>
#include <boost/beast/http/field.hpp>
#include <boost/beast/http/rfc7230.hpp>
#include <boost/beast/http/status.hpp>
#include <charconv>

namespace mimosavalve::adapters::front_end {

namespace beast = boost::beast;
namespace http = boost::beast::http;

namespace detail {

/// Fields that belong to one connection, and those whose meaning the router takes over.
bool is_hop_by_hop(http::field name) {
    switch (name) {
        case http::field::connection:
        case http::field::content_length:
        case http::field::expect:
        case http::field::keep_alive:
        case http::field::proxy_authenticate:
        case http::field::proxy_authorization:
        case http::field::proxy_connection:
        case http::field::te:
        case http::field::trailer:
        case http::field::transfer_encoding:
        case http::field::upgrade:
            return true;
        default:
            return false;
    }
}

/// Fields of the router's own protocol: taken from no one else.
constexpr std::array<std::string_view, 12> own_fields{
    "Request-Id",          "Client-Account",     "Mimosavalve-Fence",  "Mimosavalve-Slot",
    "Mimosavalve-Service", "Start-By",           "Request-Timeout-Ms", "Mimosavalve-Verdict",
    "Mimosavalve-Reason",  "Mimosavalve-Region", "Target-Clock",       "Target-Instance",
};

bool is_own(beast::string_view name) {
    for (const auto own : own_fields) {
        if (own.size() == name.size() && beast::iequals(name, {own.data(), own.size()})) {
            return true;
        }
    }
    return false;
}

void append(std::string& out, beast::string_view text) {
    out.append(text.data(), text.size());
}

/// Copies the fields that pass through, without those that `Connection` names.
template <typename Fields>
void append_fields(std::string& out, const Fields& fields) {
    const auto connection = fields[http::field::connection];
    const bool lists_fields = !connection.empty() && !beast::iequals(connection, "keep-alive") &&
                              !beast::iequals(connection, "close");
    for (const auto& field : fields) {
        const auto name = field.name_string();
        const bool skipped = is_hop_by_hop(field.name()) ||
                             (field.name() == http::field::unknown && is_own(name)) ||
                             (lists_fields && http::token_list(connection).exists(name));
        if (skipped) {
            continue;
        }
        append(out, name);
        out.append(": ");
        append(out, field.value());
        out.append("\r\n");
    }
}

template <typename Parser>
void append_framing(std::string& out, const Parser& parser) {
    if (parser.chunked()) {
        out.append("Transfer-Encoding: chunked\r\n");
        return;
    }
    if (const auto length = parser.content_length()) {
        out.append("Content-Length: ");
        append_number(out, *length);
        out.append("\r\n");
    }
}

void append_status_line(std::string& out, unsigned status, beast::string_view reason) {
    out.append("HTTP/1.1 ");
    append_number(out, status);
    out.append(" ");
    append(out, reason);
    out.append("\r\n");
}

void append_verdict(std::string& out, std::string_view request_id, traffic_verdict verdict) {
    out.append("Request-Id: ").append(request_id);
    out.append("\r\nMimosavalve-Verdict: ").append(to_string(verdict)).append("\r\n");
}

}  // namespace detail

void append_number(std::string& out, std::uint64_t value) {
    std::array<char, 20> digits{};
    const auto end = std::to_chars(digits.data(), digits.data() + digits.size(), value).ptr;
    out.append(digits.data(), end);
}

void write_request_header(std::string& out, const request_parser& request,
                          const forwarded_fields& fields) {
    const auto& message = request.get();
    out.clear();
    detail::append(out, message.method_string());
    out.append(" ");
    detail::append(out, message.target());
    out.append(" HTTP/1.1\r\n");
    detail::append_fields(out, message);
    detail::append_framing(out, request);
    out.append("Request-Id: ").append(fields.request_id);
    out.append("\r\nClient-Account: ").append(fields.calling_account);
    out.append("\r\nMimosavalve-Service: ").append(fields.service);
    if (fields.slot) {
        out.append("\r\nMimosavalve-Fence: ");
        append_number(out, fields.fence.epoch);
        out.append(".");
        append_number(out, fields.fence.sequence);
        out.append("\r\nMimosavalve-Slot: ");
        append_number(out, *fields.slot);
    }
    out.append("\r\nRequest-Timeout-Ms: ");
    append_number(out, fields.timeout_ms);
    if (fields.start_by_ms) {
        out.append("\r\nStart-By: ");
        append_number(out, *fields.start_by_ms);
    }
    out.append("\r\n\r\n");
}

void write_answer_header(std::string& out, const response_parser& answer,
                         std::string_view request_id, traffic_verdict verdict, bool keep_alive) {
    const auto& message = answer.get();
    out.clear();
    detail::append_status_line(out, message.result_int(), message.reason());
    detail::append_fields(out, message);
    detail::append_framing(out, answer);
    detail::append_verdict(out, request_id, verdict);
    out.append(keep_alive ? "\r\n" : "Connection: close\r\n\r\n");
}

void write_own_answer(std::string& out, const own_answer& answer) {
    const auto status = traffic::http_status(answer.reason);
    const auto reason = traffic::to_string(answer.reason);
    out.clear();
    detail::append_status_line(out, status, http::obsolete_reason(http::int_to_status(status)));
    out.append("Content-Type: text/plain\r\nContent-Length: ");
    append_number(out, reason.size() + 1);
    out.append("\r\n");
    detail::append_verdict(out, answer.request_id, answer.verdict);
    out.append("Mimosavalve-Reason: ").append(reason).append("\r\n");
    if (!answer.region.empty()) {
        out.append("Mimosavalve-Region: ").append(answer.region).append("\r\n");
    }
    out.append(answer.keep_alive ? "\r\n" : "Connection: close\r\n\r\n");
    if (answer.with_body) {
        out.append(reason).append("\n");
    }
}

bool expects_continue(const request_parser& request) {
    return beast::iequals(request.get()[http::field::expect], "100-continue");
}

bool says_not_run(const response_parser& answer) {
    return beast::iequals(answer.get()["Not-Run"], "true");
}

}  // namespace mimosavalve::adapters::front_end
