#include "http_front_end_body.hpp"

#include <algorithm>
#include <boost/asio/error.hpp>
#include <boost/beast/http/error.hpp>

namespace mimosavalve::adapters::front_end {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;

namespace detail {

constexpr std::size_t max_free_pieces = 64;

std::size_t room_of(const beast::flat_buffer& buffer) {
    return std::min(read_size, buffer.max_size() - buffer.size());
}

/// Drops the first `count` bytes of a sequence of buffers.
std::span<asio::const_buffer> advance(std::span<asio::const_buffer> buffers, std::size_t count) {
    while (!buffers.empty() && count >= buffers.front().size()) {
        count -= buffers.front().size();
        buffers = buffers.subspan(1);
    }
    if (!buffers.empty()) {
        buffers.front() += count;
    }
    return buffers;
}

}  // namespace detail

std::unique_ptr<piece> piece_store::take() {
    if (free_.empty()) {
        // Left uninitialised: 64 KB of zeros would cost more than a short body.
        return std::unique_ptr<piece>(new piece);
    }
    auto taken = std::move(free_.back());
    free_.pop_back();
    return taken;
}

void piece_store::give_back(std::unique_ptr<piece> returned) {
    if (returned != nullptr && free_.size() < detail::max_free_pieces) {
        free_.push_back(std::move(returned));
    }
}

template <typename Parser>
body_reader<Parser>::body_reader(tcp::socket& socket, beast::flat_buffer& buffer, Parser& parser,
                                 piece_store& pieces)
    : socket_(socket),
      buffer_(buffer),
      parser_(parser),
      pieces_(pieces),
      chunked_(parser.chunked()) {
    if (!chunked_) {
        content_length_ = parser.content_length().value_or(0);
        // An answer to HEAD has a length but no body.
        done_ = content_length_ == 0 || parser.is_done();
    }
    if (chunked_ && parser.is_done()) {
        done_ = true;
    }
}

template <typename Parser>
body_reader<Parser>::~body_reader() {
    pieces_.give_back(std::move(piece_));
}

template <typename Parser>
char* body_reader<Parser>::own_piece() {
    if (piece_ == nullptr) {
        piece_ = pieces_.take();
    }
    return piece_->data();
}

template <typename Parser>
void body_reader<Parser>::consume_handed_out() {
    buffer_.consume(handed_out_in_place_);
    handed_out_in_place_ = 0;
}

template <typename Parser>
asio::const_buffer body_reader<Parser>::next(const asio::yield_context& yield,
                                             boost::system::error_code& error) {
    error.clear();
    consume_handed_out();
    const auto part = chunked_ ? next_chunked(yield, error) : next_of_length(yield, error);
    if (!error) {
        passed_ += part.size();
        ++pieces_read_;
    }
    return part;
}

template <typename Parser>
asio::const_buffer body_reader<Parser>::next_of_length(const asio::yield_context& yield,
                                                       boost::system::error_code& error) {
    const auto left = content_length_ - passed_;
    if (buffer_.size() > 0) {
        handed_out_in_place_ = static_cast<std::size_t>(
            std::min<std::uint64_t>(left, std::min(buffer_.size(), piece_size)));
        done_ = handed_out_in_place_ == left;
        return {buffer_.data().data(), handed_out_in_place_};
    }
    const auto wanted = static_cast<std::size_t>(std::min<std::uint64_t>(left, piece_size));
    auto* data = own_piece();
    const auto count = socket_.async_read_some(asio::buffer(data, wanted), yield[error]);
    done_ = !error && count == left;
    return {data, count};
}

template <typename Parser>
void body_reader<Parser>::fill_buffer(const asio::yield_context& yield,
                                      boost::system::error_code& error) {
    const auto room = detail::room_of(buffer_);
    if (room == 0) {
        error = http::error::buffer_overflow;
        return;
    }
    buffer_.commit(socket_.async_read_some(buffer_.prepare(room), yield[error]));
}

template <typename Parser>
asio::const_buffer body_reader<Parser>::next_chunked(const asio::yield_context& yield,
                                                     boost::system::error_code& error) {
    auto* data = own_piece();
    auto& body = parser_.get().body();
    body.data = data;
    body.size = piece_size;
    body.more = true;
    parser_.eager(true);
    bool needs_more = buffer_.size() == 0;
    for (;;) {
        const auto produced = piece_size - body.size;
        if (needs_more) {
            if (produced > 0) {
                return {data, produced};
            }
            fill_buffer(yield, error);
            if (error) {
                return {};
            }
        }
        buffer_.consume(parser_.put(buffer_.data(), error));
        done_ = parser_.is_done();
        const bool full = error == http::error::need_buffer;
        needs_more = error == http::error::need_more || (!error && buffer_.size() == 0);
        if (done_ || full) {
            error.clear();
            return {data, piece_size - body.size};
        }
        if (error && !needs_more) {
            return {};
        }
        error.clear();
    }
}

template <typename Parser>
void read_header(tcp::socket& socket, beast::flat_buffer& buffer, Parser& parser,
                 const asio::yield_context& yield, boost::system::error_code& error) {
    bool needs_more = buffer.size() == 0;
    error.clear();
    while (!parser.is_header_done()) {
        if (needs_more) {
            const auto room = detail::room_of(buffer);
            if (room == 0) {
                error = http::error::buffer_overflow;
                return;
            }
            buffer.commit(socket.async_read_some(buffer.prepare(room), yield[error]));
            if (error) {
                return;
            }
        }
        buffer.consume(parser.put(buffer.data(), error));
        needs_more = error == http::error::need_more;
        if (error && !needs_more) {
            return;
        }
        error.clear();
    }
}

std::size_t write_all(tcp::socket& socket, std::span<asio::const_buffer> buffers,
                      const asio::yield_context& yield, boost::system::error_code& error) {
    std::size_t written = 0;
    error.clear();
    buffers = detail::advance(buffers, 0);
    while (!buffers.empty()) {
        const auto count = socket.write_some(buffers, error);
        written += count;
        if (error == asio::error::would_block) {
            socket.async_wait(tcp::socket::wait_write, yield[error]);
        }
        if (error) {
            return written;
        }
        buffers = detail::advance(buffers, count);
    }
    return written;
}

template class body_reader<request_parser>;
template class body_reader<response_parser>;
template void read_header(tcp::socket&, beast::flat_buffer&, request_parser&,
                          const asio::yield_context&, boost::system::error_code&);
template void read_header(tcp::socket&, beast::flat_buffer&, response_parser&,
                          const asio::yield_context&, boost::system::error_code&);

}  // namespace mimosavalve::adapters::front_end
