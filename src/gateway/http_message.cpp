#include "mimosavalve/gateway/http_message.hpp"

#include <algorithm>
#include <boost/asio/buffer.hpp>
#include <boost/beast/core/string.hpp>
#include <boost/beast/http/basic_parser.hpp>
#include <boost/beast/http/error.hpp>
#include <boost/beast/http/rfc7230.hpp>
#include <boost/beast/http/status.hpp>
#include <cctype>
#include <charconv>

namespace mimosavalve::gateway {

namespace detail {

namespace http = boost::beast::http;
using boost::beast::iequals;

std::string_view view_of(boost::beast::string_view text) {
    return {text.data(), text.size()};
}

boost::beast::string_view beast_view(std::string_view text) {
    return {text.data(), text.size()};
}

constexpr int http_1_1 = 11;
constexpr unsigned min_status = 100;
constexpr unsigned min_final_status = 200;
constexpr unsigned max_status = 599;

/// What the Transfer-Encoding fields of a message say about its length.
enum class coding_kind { chunked, unsupported, malformed };

/// Judges the values of all Transfer-Encoding fields, joined by commas. Only a sole "chunked" is
/// supported. A message with other codings before it could be read, but its body would be passed on
/// without its coding.
coding_kind coding_kind_of(std::string_view codings) {
    static constexpr std::string_view known[] = {"identity", "gzip",     "x-gzip",
                                                 "deflate",  "compress", "x-compress"};
    if (iequals(beast_view(codings), "chunked")) {
        return coding_kind::chunked;
    }
    bool has_unknown = false;
    std::string_view last;
    std::size_t chunked_count = 0;
    for (std::size_t begin = 0; begin <= codings.size();) {
        const auto end = std::min(codings.find(',', begin), codings.size());
        last = codings.substr(begin, end - begin);
        const auto text = last.find_first_not_of(" \t");
        last = text == std::string_view::npos
                   ? std::string_view()
                   : last.substr(text, last.find_last_not_of(" \t") + 1 - text);
        const bool is_name =
            !last.empty() && std::all_of(last.begin(), last.end(), [](char character) {
                return std::isalnum(static_cast<unsigned char>(character)) != 0 || character == '-';
            });
        if (!is_name) {
            return coding_kind::malformed;
        }
        const bool is_chunked = iequals(beast_view(last), "chunked");
        chunked_count += is_chunked ? 1 : 0;
        has_unknown = has_unknown ||
                      (!is_chunked &&
                       std::none_of(std::begin(known), std::end(known), [&](std::string_view name) {
                           return iequals(beast_view(last), beast_view(name));
                       }));
        begin = end + 1;
    }
    const bool ends_chunked = iequals(beast_view(last), "chunked") && chunked_count == 1;
    return has_unknown || ends_chunked ? coding_kind::unsupported : coding_kind::malformed;
}

template <bool IsRequest>
class collecting_parser final : public http::basic_parser<IsRequest> {
public:
    collecting_parser(message_events events, const message_limits& limits)
        : events_(std::move(events)), max_body_bytes_(limits.max_body_bytes) {
        this->eager(true);
        this->header_limit(limits.max_header_bytes);
        this->body_limit(limits.max_body_bytes);
    }

    /// Whether this is an interim response (1xx), which the answer follows.
    [[nodiscard]] bool is_interim() const { return is_interim_; }
    [[nodiscard]] const message_events& events() const { return events_; }
    /// Whether the head was complete and valid.
    [[nodiscard]] bool has_head() const { return has_head_; }
    /// Whether the head leaves the length of the message open.
    [[nodiscard]] bool has_failed() const { return has_failed_; }
    /// Whether the head has a transfer coding that is not supported.
    [[nodiscard]] bool has_unsupported_coding() const { return has_unsupported_coding_; }

private:
    using error_code = boost::beast::error_code;
    using text_view = boost::beast::string_view;

    void on_request_impl(http::verb /*verb*/, text_view method, text_view target, int version,
                         error_code& error) override {
        head_.version = version;
        head_.method.assign(method.data(), method.size());
        head_.request_target.assign(target.data(), target.size());
        error = {};
    }
    void on_response_impl(int status, text_view /*reason*/, int version,
                          error_code& error) override {
        head_.version = version;
        head_.status = static_cast<unsigned>(status);
        error = {};
        if (head_.status < min_status || head_.status > max_status) {
            error = http::make_error_code(http::error::bad_status);
        }
    }
    void on_field_impl(http::field /*name*/, text_view name, text_view value,
                       error_code& error) override {
        error = {};
        head_.fields.push_back({std::string(name), std::string(value)});
        if (iequals(name, "transfer-encoding")) {
            codings_.append(head_.chunked ? "," : "").append(value.data(), value.size());
            head_.chunked = true;
        } else if (iequals(name, "content-length")) {
            std::uint64_t length = 0;
            const auto* const end = value.data() + value.size();
            const auto parsed = std::from_chars(value.data(), end, length);
            if (parsed.ec != std::errc{} || parsed.ptr != end ||
                head_.content_length.value_or(length) != length) {
                error = http::make_error_code(http::error::bad_content_length);
            }
            head_.content_length = length;
        }
        // A message with both lengths can hide a second request in its body (request smuggling).
        if (head_.chunked && head_.content_length) {
            error = http::make_error_code(http::error::bad_content_length);
        }
    }
    void on_header_impl(error_code& error) override {
        error = {};
        if (head_.chunked) {
            const auto kind = coding_kind_of(codings_);
            has_unsupported_coding_ = kind == coding_kind::unsupported;
            // A sender of HTTP/1.0 knows no chunks (RFC 9112, 6.1). The comparison with the base
            // class guards against heads that the two would read differently.
            if (kind != coding_kind::chunked || head_.version < http_1_1 || !this->chunked()) {
                // Beast goes on after an error here, so the error is kept.
                has_failed_ = true;
                error = http::make_error_code(http::error::bad_transfer_encoding);
                return;
            }
        }
        has_head_ = true;
        head_.keep_alive = this->keep_alive();
        is_interim_ = !IsRequest && head_.status < min_final_status;
        if (events_.head && !is_interim_) {
            events_.head(std::move(head_));
        }
    }
    void on_body_init_impl(boost::optional<std::uint64_t> const& /*length*/,
                           error_code& error) override {
        error = {};
    }
    std::size_t on_body_impl(text_view body, error_code& error) override {
        error = {};
        // Beast does not limit the body of an answer with a length.
        body_bytes_ += body.size();
        if (body_bytes_ > max_body_bytes_) {
            error = http::make_error_code(http::error::body_limit);
            return 0;
        }
        if (events_.body && has_head_ && !body.empty()) {
            events_.body(view_of(body));
        }
        return body.size();
    }
    void on_chunk_header_impl(std::uint64_t /*size*/, text_view /*extensions*/,
                              error_code& error) override {
        error = {};
    }
    std::size_t on_chunk_body_impl(std::uint64_t /*left*/, text_view body,
                                   error_code& error) override {
        return on_body_impl(body, error);
    }
    void on_finish_impl(error_code& error) override {
        error = {};
        if (events_.done && has_head_ && !is_interim_) {
            events_.done();
        }
    }

    message_events events_;
    message_head head_;
    std::string codings_;  ///< Values of the Transfer-Encoding fields, joined by commas.
    bool has_failed_ = false;
    bool has_unsupported_coding_ = false;
    bool has_head_ = false;
    bool is_interim_ = false;
    std::uint64_t max_body_bytes_;
    std::uint64_t body_bytes_ = 0;
};

parse_error error_of(const boost::beast::error_code& error) {
    if (!error || error == http::error::need_more) {
        return parse_error::none;
    }
    if (error == http::error::header_limit) {
        return parse_error::header_too_large;
    }
    if (error == http::error::body_limit) {
        return parse_error::body_too_large;
    }
    return parse_error::malformed;
}

template <typename Parser>
message_parser::result feed_parser(Parser& parser, std::string_view bytes,
                                   std::size_t max_unparsed_bytes) {
    message_parser::result result;
    // Each call of `put` parses at most one element of a chunked body.
    while (!parser.is_done() && result.consumed < bytes.size()) {
        boost::beast::error_code error;
        const auto rest = bytes.substr(result.consumed);
        const auto used = parser.put(boost::asio::const_buffer(rest.data(), rest.size()), error);
        result.consumed += used;
        result.error = parser.has_unsupported_coding() ? parse_error::unknown_coding
                       : parser.has_failed()           ? parse_error::malformed
                                                       : error_of(error);
        if (result.error != parse_error::none || error || used == 0) {
            break;
        }
    }
    // The parser limits a head, but not the line that begins a chunk.
    if (result.error == parse_error::none && !parser.is_done() &&
        bytes.size() - result.consumed > max_unparsed_bytes) {
        result.error = parse_error::header_too_large;
    }
    return result;
}

}  // namespace detail

struct message_parser::implementation {
    std::unique_ptr<detail::collecting_parser<true>> request;
    std::unique_ptr<detail::collecting_parser<false>> answer;
    message_limits limits;
    bool expects_no_body = false;

    void start_answer(message_events events) {
        answer = std::make_unique<detail::collecting_parser<false>>(std::move(events), limits);
        answer->skip(expects_no_body);
    }
    /// Parses an answer, and skips the interim responses before it.
    result feed_answer(std::string_view bytes) {
        result fed;
        while (true) {
            const auto next =
                detail::feed_parser(*answer, bytes.substr(fed.consumed), limits.max_header_bytes);
            fed.consumed += next.consumed;
            fed.error = next.error;
            if (fed.error != parse_error::none || !answer->is_done() || !answer->is_interim()) {
                return fed;
            }
            start_answer(answer->events());
        }
    }
};

message_parser::message_parser(message_kind kind, const message_limits& limits,
                               message_events events)
    : implementation_(std::make_unique<implementation>()) {
    implementation_->limits = limits;
    if (kind == message_kind::request) {
        implementation_->request =
            std::make_unique<detail::collecting_parser<true>>(std::move(events), limits);
    } else {
        implementation_->start_answer(std::move(events));
    }
}

message_parser::~message_parser() = default;
message_parser::message_parser(message_parser&&) noexcept = default;
message_parser& message_parser::operator=(message_parser&&) noexcept = default;

message_parser::result message_parser::feed(std::string_view bytes) {
    return implementation_->request ? detail::feed_parser(*implementation_->request, bytes,
                                                          implementation_->limits.max_header_bytes)
                                    : implementation_->feed_answer(bytes);
}

bool message_parser::finish() {
    const auto end = [](auto& parser) {
        if (!parser.has_head()) {
            return false;
        }
        boost::beast::error_code error;
        parser.put_eof(error);
        return !error && parser.is_done();
    };
    return implementation_->request ? end(*implementation_->request)
                                    : end(*implementation_->answer);
}

bool message_parser::has_started() const {
    return implementation_->request ? implementation_->request->got_some()
                                    : implementation_->answer->got_some();
}

bool message_parser::has_head() const {
    return implementation_->request ? implementation_->request->has_head()
                                    : implementation_->answer->has_head();
}

bool message_parser::is_done() const {
    return implementation_->request ? implementation_->request->is_done()
                                    : implementation_->answer->is_done();
}

void message_parser::expect_no_body() {
    if (implementation_->answer) {
        implementation_->expects_no_body = true;
        implementation_->answer->skip(true);
    }
}

std::string_view field_of(const message_head& head, std::string_view name) {
    for (const auto& field : head.fields) {
        if (detail::iequals(detail::beast_view(field.name), detail::beast_view(name))) {
            return field.value;
        }
    }
    return {};
}

bool has_field(const message_head& head, std::string_view name) {
    return std::any_of(head.fields.begin(), head.fields.end(), [&](const auto& field) {
        return detail::iequals(detail::beast_view(field.name), detail::beast_view(name));
    });
}

bool is_hop_by_hop(const message_head& head, std::string_view name) {
    // Content-Length is included since the sender writes its own.
    static constexpr std::string_view always_hop_by_hop[] = {
        "connection", "keep-alive",        "proxy-connection", "te",
        "trailer",    "transfer-encoding", "upgrade",          "content-length"};
    if (std::any_of(std::begin(always_hop_by_hop), std::end(always_hop_by_hop),
                    [&](std::string_view fixed) {
                        return detail::iequals(detail::beast_view(fixed), detail::beast_view(name));
                    })) {
        return true;
    }
    const auto listed = field_of(head, "connection");
    return !listed.empty() &&
           detail::http::token_list(detail::beast_view(listed)).exists(detail::beast_view(name));
}

std::string_view path_of(const message_head& head) {
    const std::string_view target = head.request_target;
    return target.substr(0, target.find('?'));
}

std::string_view reason_phrase(unsigned status) {
    return detail::view_of(detail::http::obsolete_reason(detail::http::int_to_status(status)));
}

void append_field(std::string& out, std::string_view name, std::string_view value) {
    out.append(name).append(": ");
    for (const char character : value) {
        out.push_back(static_cast<unsigned char>(character) < ' ' && character != '\t' ? ' '
                                                                                       : character);
    }
    out.append("\r\n");
}

}  // namespace mimosavalve::gateway
