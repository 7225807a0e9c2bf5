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
    std::string method;   ///< Empty in answers.
    std::string target;   ///< Path and query as received; empty in answers.
    unsigned status = 0;  ///< 0 in requests.
    std::vector<header_field> fields;
    bool keep_alive = true;
    bool chunked = false;
    std::optional<std::uint64_t> content_length;
};

/// Value of the first field of that name, compared without case; empty when there is none.
std::string_view field_of(const message_head& head, std::string_view name);
bool has_field(const message_head& head, std::string_view name);

/// Whether a field concerns one connection only (RFC 9110, 7.6.1) and is not forwarded.
bool is_hop_by_hop(const message_head& head, std::string_view name);

std::string_view path_of(const message_head& head);

/// What a parser calls while it reads a message. `head` comes once, then `body` any number of
/// times without chunk framing, then `done`.
struct message_events {
    std::function<void(message_head)> head;
    std::function<void(std::string_view)> body;
    std::function<void()> done;
};

enum class message_kind { request, answer };

struct message_bounds {
    std::uint32_t header_bytes = 16384;
    std::uint64_t body_bytes = 64ULL << 20U;
};

enum class parse_error {
    none,
    malformed,
    header_too_large,
    body_too_large,
};

/// Incremental parser of one HTTP/1.1 message. Feed it received bytes; bytes after the end of the
/// message are left for the next one.
class message_parser {
public:
    message_parser(message_kind kind, const message_bounds& bounds, message_events events);
    ~message_parser();
    message_parser(message_parser&&) noexcept;
    message_parser& operator=(message_parser&&) noexcept;

    struct result {
        std::size_t used = 0;
        parse_error error = parse_error::none;
    };

    /// Bytes that were not used have to be given again together with those that follow them.
    result feed(std::string_view bytes);

    /// The sender has closed the connection. False when the message was not complete; an answer
    /// without a length ends here.
    bool finish();

    [[nodiscard]] bool started() const;
    [[nodiscard]] bool has_head() const;
    [[nodiscard]] bool is_done() const;

    /// For answers to HEAD: no body follows whatever the fields say.
    void expect_no_body();

private:
    struct implementation;
    std::unique_ptr<implementation> implementation_;
};

std::string_view reason_phrase(unsigned status);

/// Adds "Name: value" and the end of line. Control characters in the value become spaces.
void append_field(std::string& out, std::string_view name, std::string_view value);

}  // namespace mimosavalve::gateway
