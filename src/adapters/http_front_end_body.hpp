#pragma once

#include <array>
#include <boost/asio/buffer.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/spawn.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/buffer_body.hpp>
#include <boost/beast/http/parser.hpp>
#include <cstdint>
#include <memory>
#include <memory_resource>
#include <span>
#include <vector>

namespace mimosavalve::adapters::front_end {

using tcp = boost::asio::ip::tcp;
using header_allocator = std::pmr::polymorphic_allocator<char>;
using request_parser =
    boost::beast::http::request_parser<boost::beast::http::buffer_body, header_allocator>;
using response_parser =
    boost::beast::http::response_parser<boost::beast::http::buffer_body, header_allocator>;

/// Largest part of a body that is held at once.
constexpr std::size_t piece_size = std::size_t{64} * 1024;
/// Largest header of requests and answers.
constexpr std::size_t max_header = std::size_t{16} * 1024;
/// Bytes asked of a socket at once while a header is read.
constexpr std::size_t read_size = std::size_t{16} * 1024;

using piece = std::array<char, piece_size>;

/// Free pieces of one thread, so that bodies cost no allocation.
class piece_store {
public:
    std::unique_ptr<piece> take();
    void give_back(std::unique_ptr<piece> returned);

private:
    std::vector<std::unique_ptr<piece>> free_;
};

/// Reads the body that follows a parsed header, in pieces. A body of known length is read past the
/// parser, a chunked one through it.
template <typename Parser>
class body_reader {
public:
    body_reader(tcp::socket& socket, boost::beast::flat_buffer& buffer, Parser& parser,
                piece_store& pieces);
    ~body_reader();
    body_reader(const body_reader&) = delete;
    body_reader& operator=(const body_reader&) = delete;

    /// Whether the last piece was handed out.
    [[nodiscard]] bool done() const { return done_; }
    [[nodiscard]] bool chunked() const { return chunked_; }
    /// Of a body of known length.
    [[nodiscard]] std::uint64_t content_length() const { return content_length_; }
    /// Bytes handed out.
    [[nodiscard]] std::uint64_t passed() const { return passed_; }
    [[nodiscard]] std::size_t pieces_read() const { return pieces_read_; }

    /// Next part, valid until the next call; may be empty only at the end. An end of the stream
    /// within the body is an error.
    boost::asio::const_buffer next(const boost::asio::yield_context& yield,
                                   boost::system::error_code& error);

    /// Removes the last part handed out from the buffer.
    void consume_handed_out();

private:
    boost::asio::const_buffer next_of_length(const boost::asio::yield_context& yield,
                                             boost::system::error_code& error);
    boost::asio::const_buffer next_chunked(const boost::asio::yield_context& yield,
                                           boost::system::error_code& error);
    void fill_buffer(const boost::asio::yield_context& yield, boost::system::error_code& error);
    char* own_piece();

    tcp::socket& socket_;
    boost::beast::flat_buffer& buffer_;
    Parser& parser_;
    piece_store& pieces_;
    std::unique_ptr<piece> piece_;
    bool chunked_ = false;
    bool done_ = false;
    std::uint64_t content_length_ = 0;
    std::uint64_t passed_ = 0;
    std::size_t pieces_read_ = 0;
    std::size_t handed_out_in_place_ = 0;
};

extern template class body_reader<request_parser>;
extern template class body_reader<response_parser>;

/// Reads until the header is complete. The header bound gives `http::error::header_limit` or
/// `http::error::buffer_overflow`.
template <typename Parser>
void read_header(tcp::socket& socket, boost::beast::flat_buffer& buffer, Parser& parser,
                 const boost::asio::yield_context& yield, boost::system::error_code& error);

extern template void read_header(tcp::socket&, boost::beast::flat_buffer&, request_parser&,
                                 const boost::asio::yield_context&, boost::system::error_code&);
extern template void read_header(tcp::socket&, boost::beast::flat_buffer&, response_parser&,
                                 const boost::asio::yield_context&, boost::system::error_code&);

/// Writes all buffers and gives the bytes handed to the kernel. Tries before it waits, since the
/// socket mostly has room. The buffers are changed.
std::size_t write_all(tcp::socket& socket, std::span<boost::asio::const_buffer> buffers,
                      const boost::asio::yield_context& yield, boost::system::error_code& error);

}  // namespace mimosavalve::adapters::front_end
