#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <system_error>
#include <vector>

namespace mimosavalve::gateway {

struct header_field {
    std::string name;
    std::string value;
};

/// Start line and fields of an HTTP/1.1 message.
struct message_head {
    std::string method;          ///< Empty in answers.
    std::string request_target;  ///< Path and query as received; empty in answers.
    unsigned status = 0;         ///< 0 in requests.
    std::vector<header_field> fields;
    bool keep_alive = true;
    bool chunked = false;
    std::optional<std::uint64_t> content_length;
    int version = 11;  ///< 10 for HTTP/1.0.
};

/// Value of the first field with this name, ignoring case; empty if there is none.
std::string_view field_of(const message_head& head, std::string_view name);
bool has_field(const message_head& head, std::string_view name);

/// Whether a field applies to one connection only (RFC 9110, 7.6.1) and must not be forwarded.
bool is_hop_by_hop(const message_head& head, std::string_view name);

std::string_view path_of(const message_head& head);

/// Callbacks of a parser: `head` once, then `body` any number of times without chunk framing, then
/// `done` once.
struct message_events {
    std::function<void(message_head)> head;
    std::function<void(std::string_view)> body;
    std::function<void()> done;
};

enum class message_kind { request, answer };

struct message_limits {
    std::uint32_t max_header_bytes = 16384;
    std::uint64_t max_body_bytes = 64ULL << 20U;
};

enum class parse_error {
    none,
    malformed,
    header_too_large,
    body_too_large,
    unknown_coding,  ///< A transfer coding that is not known, or not supported.
};

/// Incremental parser of one HTTP/1.1 message. It does not consume bytes after the end of the
/// message. Interim responses (1xx) before an answer are skipped; a status outside 100 to 599 is an
/// error.
class message_parser {
public:
    message_parser(message_kind kind, const message_limits& limits, message_events events);
    ~message_parser();
    message_parser(message_parser&&) noexcept;
    message_parser& operator=(message_parser&&) noexcept;

    struct result {
        std::size_t consumed = 0;
        parse_error error = parse_error::none;
    };

    /// Parses received bytes. The caller passes bytes that were not consumed again, followed by
    /// those received after them. At most `message_limits::max_header_bytes` of an unfinished
    /// message are not consumed; more are an error.
    result feed(std::string_view bytes);

    /// Ends the message because the sender has closed the connection. Returns false if the message
    /// is incomplete; an answer without a length is complete at this point.
    bool finish();

    [[nodiscard]] bool has_started() const;
    [[nodiscard]] bool has_head() const;
    [[nodiscard]] bool is_done() const;

    /// For answers to HEAD: expects no body, whatever the fields say.
    void expect_no_body();

private:
    struct implementation;
    std::unique_ptr<implementation> implementation_;
};

std::string_view reason_phrase(unsigned status);

/// Appends "Name: value" and the end of line. Control characters in the value become spaces.
void append_field(std::string& out, std::string_view name, std::string_view value);

}  // namespace mimosavalve::gateway
