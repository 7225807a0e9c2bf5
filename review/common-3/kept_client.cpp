#include "kept_client.hpp"

#include <array>
#include <chrono>
#include <utility>

namespace mimosavalve::review {

namespace {

using gateway::milliseconds;

constexpr auto connect_timeout = milliseconds(1000);
constexpr auto reopen_pause = milliseconds(100);
constexpr std::size_t read_bytes = 4096;

}  // namespace

std::int64_t now_ms() {
    static const auto start = std::chrono::steady_clock::now();
    return std::chrono::duration_cast<milliseconds>(std::chrono::steady_clock::now() - start)
        .count();
}

kept_client::kept_client(boost::asio::io_context& context, options chosen,
                         std::vector<client_request>& requests)
    : context_(context), options_(std::move(chosen)), requests_(requests) {
    open();
}

void kept_client::open() {
    is_ending_ = false;
    connection_.reset();
    input_.clear();
    sent_on_connection_ = 0;
    opening_ = std::make_unique<gateway::connector>(
        context_, options_.address, std::chrono::steady_clock::now() + connect_timeout,
        [this](std::error_code error, std::unique_ptr<gateway::stream> connection) {
            if (error) {
                reopen_later();
                return;
            }
            connection_ = std::move(connection);
            connection_->set_callbacks(
                {[this] { read(); }, {}, [this](std::error_code /*error*/) { end_request(true); }});
            connection_->set_reading_enabled(true);
            send_next();
        });
}

void kept_client::reopen_later() {
    gateway::run_after(context_, reopen_pause, lifetime_, [this] {
        if (!stopped_) {
            open();
        }
    });
}

void kept_client::send_next() {
    if (stopped_ || !connection_ || waiting_) {
        return;
    }
    client_request sent;
    sent.id = options_.name + "-" + std::to_string(next_number_++);
    sent.path = options_.path;
    sent.method = options_.method;
    sent.on_kept_connection = sent_on_connection_++ > 0;
    sent.sent_ms = now_ms();
    std::string text = options_.method + " " + options_.path + " HTTP/1.1\r\n";
    gateway::append_field(text, "Host", "desk.example");
    gateway::append_field(text, "Request-Id", sent.id);
    gateway::append_field(text, "Deadline-Ms", std::to_string(options_.deadline_ms));
    gateway::append_field(text, "Shard-Key", std::to_string(options_.key));
    const std::string body = options_.method == "POST" ? "order" : "";
    gateway::append_field(text, "Content-Length", std::to_string(body.size()));
    current_ = requests_.size();
    requests_.push_back(std::move(sent));
    waiting_ = true;
    gateway::message_events events;
    events.head = [this](gateway::message_head head) { answer_ = std::move(head); };
    parser_ = std::make_unique<gateway::message_parser>(gateway::message_kind::answer,
                                                        gateway::message_limits{}, events);
    connection_->write(text + "\r\n" + body);
}

void kept_client::read() {
    std::array<char, read_bytes> chunk{};
    const auto got = connection_->read(chunk);
    if (got.would_block) {
        return;
    }
    if (got.closed || got.error) {
        end_request(true);
        return;
    }
    input_.append(chunk.data(), got.bytes);
    if (!waiting_) {
        return;
    }
    const auto fed = parser_->feed(input_);
    input_.erase(0, fed.consumed);
    if (fed.error != gateway::parse_error::none) {
        end_request(true);
    } else if (parser_->is_done()) {
        end_request(false);
    }
}

void kept_client::end_request(bool closed) {
    // The end of the connection is reported once more after a last answer.
    if (is_ending_) {
        return;
    }
    if (std::exchange(waiting_, false)) {
        auto& request = requests_[current_];
        request.ended_ms = now_ms();
        request.closed = closed;
        if (!closed) {
            request.status = answer_.status;
            request.has_signature = gateway::has_field(answer_, "Server-Signature");
        }
    }
    if (closed || !answer_.keep_alive) {
        is_ending_ = true;
        // The connection may be on the call stack.
        gateway::run_after(context_, milliseconds(0), lifetime_, [this] { connection_.reset(); });
        reopen_later();
        return;
    }
    gateway::run_after(context_, milliseconds(options_.pause_ms), lifetime_,
                       [this] { send_next(); });
}

}  // namespace mimosavalve::review
