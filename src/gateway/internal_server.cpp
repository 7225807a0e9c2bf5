#include "internal_server.hpp"

#include <array>
#include <boost/asio/post.hpp>

namespace mimosavalve::gateway {

namespace detail {

constexpr std::size_t server_read_bytes = 16384;
constexpr std::size_t max_sessions = 512;
constexpr std::uint64_t max_request_body_bytes = 1U << 20U;
// Maximum number of bytes kept of what a peer sends before it has the answer to its request.
constexpr std::size_t max_unread_bytes = 64U << 10U;
// Pause after a failed accept, since without free file descriptors an immediate retry would fail
// again and only use processor time.
constexpr std::chrono::milliseconds accept_retry_delay{50};
// Connections that are accepted before other events are handled.
constexpr std::size_t max_accepts_per_turn = 64;

}  // namespace detail

listener::listener(boost::asio::io_context& context, const tcp::endpoint& address,
                   handler on_accepted)
    : acceptor_(context, address, true),
      retry_timer_(context),
      on_accepted_(std::move(on_accepted)) {
    acceptor_.non_blocking(true);
    accept();
}

void listener::accept() {
    acceptor_.async_wait(
        tcp::acceptor::wait_read, [this, alive = std::weak_ptr<bool>(alive_)](auto error) {
            if (!alive.expired() && error != boost::asio::error::operation_aborted) {
                accept_waiting();
            }
        });
}

void listener::accept_waiting() {
    for (std::size_t count = 0; count < detail::max_accepts_per_turn; ++count) {
        boost::system::error_code error;
        tcp::socket socket(acceptor_.get_executor());
        acceptor_.accept(socket, error);
        if (error == boost::asio::error::would_block || error == boost::asio::error::try_again) {
            break;
        }
        if (error) {
            retry_timer_.expires_after(detail::accept_retry_delay);
            retry_timer_.async_wait([this, alive = std::weak_ptr<bool>(alive_)](auto failed) {
                if (!failed && !alive.expired()) {
                    accept();
                }
            });
            return;
        }
        on_accepted_(std::make_unique<stream>(std::move(socket)));
    }
    accept();
}

struct internal_server::session {
    std::uint64_t number = 0;
    std::unique_ptr<stream> connection;
    std::unique_ptr<message_parser> parser;
    std::string input;
    message_head head;
    std::string body;
    bool answering = false;
};

internal_server::internal_server(boost::asio::io_context& context, const tcp::endpoint& address,
                                 handler handle, std::function<void()> on_malformed)
    : context_(context), handle_(std::move(handle)), on_malformed_(std::move(on_malformed)) {
    listener_ = std::make_unique<listener>(
        context, address,
        [this](std::unique_ptr<stream> connection) { add_session(std::move(connection)); });
}

internal_server::~internal_server() = default;

void internal_server::add_session(std::unique_ptr<stream> connection) {
    if (sessions_.size() >= detail::max_sessions) {
        return;
    }
    auto added = std::make_unique<session>();
    added->number = next_number_++;
    added->connection = std::move(connection);
    auto& placed = *sessions_.emplace(added->number, std::move(added)).first->second;
    const auto number = placed.number;
    placed.connection->set_callbacks({[this, &placed] { read(placed); },
                                      {},
                                      [this, number](std::error_code) { close(number); }});
    placed.connection->set_reading_enabled(true);
}

void internal_server::read(session& from) {
    std::array<char, detail::server_read_bytes> chunk{};
    const auto got = from.connection->read(chunk);
    if (got.would_block) {
        return;
    }
    if (got.closed || got.error) {
        close(from.number);
        return;
    }
    from.input.append(chunk.data(), got.bytes);
    if (from.answering) {
        if (from.input.size() > detail::max_unread_bytes) {
            close(from.number);
        }
        return;
    }
    if (!from.parser) {
        message_events events;
        events.head = [&from](message_head head) { from.head = std::move(head); };
        events.body = [&from](std::string_view part) { from.body.append(part); };
        message_limits bounds;
        bounds.max_body_bytes = detail::max_request_body_bytes;
        from.parser = std::make_unique<message_parser>(message_kind::request, bounds, events);
    }
    const auto fed = from.parser->feed(from.input);
    from.input.erase(0, fed.consumed);
    if (fed.error != parse_error::none) {
        if (on_malformed_) {
            on_malformed_();
        }
        close(from.number);
        return;
    }
    if (!from.parser->is_done()) {
        return;
    }
    from.parser.reset();
    from.answering = true;
    auto head = std::move(from.head);
    auto body = std::move(from.body);
    from.head = {};
    from.body.clear();
    handle_(head, std::move(body),
            [this, number = from.number,
             alive = std::weak_ptr<bool>(alive_)](const internal_answer& content) {
                if (!alive.expired()) {
                    answer(number, content);
                }
            });
}

void internal_server::answer(std::uint64_t number, const internal_answer& content) {
    const auto found = sessions_.find(number);
    if (found == sessions_.end()) {
        return;
    }
    auto& to = *found->second;
    to.answering = false;
    std::string text = "HTTP/1.1 " + std::to_string(content.status) + " ";
    text.append(reason_phrase(content.status)).append("\r\n");
    append_field(text, "Content-Type", content.content_type);
    append_field(text, "Content-Length", std::to_string(content.body.size()));
    for (const auto& field : content.fields) {
        append_field(text, field.name, field.value);
    }
    to.connection->write(text + "\r\n" + content.body);
}

void internal_server::close(std::uint64_t number) {
    const auto found = sessions_.find(number);
    if (found != sessions_.end()) {
        boost::asio::post(context_, [kept = std::shared_ptr<session>(std::move(found->second))] {});
        sessions_.erase(found);
    }
}

}  // namespace mimosavalve::gateway
