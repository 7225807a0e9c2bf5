#include "mimosavalve/gateway/stream.hpp"

#include <linux/sockios.h>
#include <netinet/in.h>
#include <sys/ioctl.h>

#include <array>
#include <boost/asio/buffer.hpp>
#include <boost/asio/error.hpp>
#include <charconv>

namespace mimosavalve::gateway {

namespace detail {

// Idle time after which the kernel sends probes, the interval between probes, and their number. A
// silent peer is detected within 4 s, about the time within which the platform expects a host to
// work again after it has lost connections (contact time, 3 s).
constexpr int keepalive_idle_s = 2;
constexpr int keepalive_interval_s = 1;
constexpr int keepalive_probes = 2;
constexpr unsigned user_timeout_ms = 4000;

std::error_code to_std_error(const boost::system::error_code& error) {
    return {error.value(), std::system_category()};
}

void set_options(tcp::socket& socket) {
    boost::system::error_code ignored;
    socket.non_blocking(true, ignored);
    socket.set_option(tcp::no_delay(true), ignored);
    socket.set_option(boost::asio::socket_base::keep_alive(true), ignored);
    const int handle = socket.native_handle();
    setsockopt(handle, IPPROTO_TCP, TCP_KEEPIDLE, &keepalive_idle_s, sizeof keepalive_idle_s);
    setsockopt(handle, IPPROTO_TCP, TCP_KEEPINTVL, &keepalive_interval_s,
               sizeof keepalive_interval_s);
    setsockopt(handle, IPPROTO_TCP, TCP_KEEPCNT, &keepalive_probes, sizeof keepalive_probes);
    setsockopt(handle, IPPROTO_TCP, TCP_USER_TIMEOUT, &user_timeout_ms, sizeof user_timeout_ms);
}

}  // namespace detail

stream::stream(tcp::socket socket) : socket_(std::move(socket)) {
    detail::set_options(socket_);
}

void stream::set_reading_enabled(bool enabled) {
    reading_enabled_ = enabled;
    if (enabled) {
        arm_read();
    }
}

void stream::arm_read() {
    if (read_armed_ || !socket_.is_open()) {
        return;
    }
    read_armed_ = true;
    socket_.async_wait(tcp::socket::wait_read,
                       [this, alive = std::weak_ptr<bool>(alive_)](auto error) {
                           const auto alive_token = alive.lock();
                           if (!alive_token) {
                               return;
                           }
                           read_armed_ = false;
                           if (error || !socket_.is_open() || !reading_enabled_) {
                               return;
                           }
                           // A copy, since the handler may replace the callbacks.
                           const auto readable = callbacks_.readable;
                           if (readable) {
                               readable();
                           }
                           // More owners than this copy: the callback did not destroy the stream.
                           if (alive_token.use_count() > 1 && reading_enabled_) {
                               arm_read();
                           }
                       });
}

read_result stream::read(std::span<char> into) {
    boost::system::error_code error;
    read_result result;
    result.bytes = socket_.read_some(boost::asio::buffer(into.data(), into.size()), error);
    if (error == boost::asio::error::would_block || error == boost::asio::error::try_again) {
        result.would_block = true;
    } else if (error == boost::asio::error::eof) {
        result.closed = true;
    } else if (error) {
        result.error = detail::to_std_error(error);
    }
    return result;
}

bool stream::has_peer_closed() {
    if (!socket_.is_open()) {
        return true;
    }
    std::array<char, 1> first{};
    boost::system::error_code error;
    const auto count = socket_.receive(boost::asio::buffer(first), MSG_PEEK, error);
    if (count > 0) {
        const auto info = kernel_info();
        return info && (info->tcpi_state == TCP_CLOSE_WAIT || info->tcpi_state == TCP_CLOSE);
    }
    return error != boost::asio::error::would_block && error != boost::asio::error::try_again;
}

std::optional<tcp_info> stream::kernel_info() {
    tcp_info info{};
    socklen_t size = sizeof info;
    if (getsockopt(socket_.native_handle(), IPPROTO_TCP, TCP_INFO, &info, &size) != 0 ||
        size < offsetof(tcp_info, tcpi_last_data_recv) + sizeof info.tcpi_last_data_recv) {
        return std::nullopt;
    }
    return info;
}

bool stream::has_delivered_all() {
    if (!socket_.is_open() || queued_bytes() > 0) {
        return false;
    }
    const auto info = kernel_info();
    if (!info) {
        return true;  // The kernel does not tell; it has taken every byte.
    }
    int unacknowledged = 0;
    return info->tcpi_state != TCP_CLOSE &&
           ioctl(socket_.native_handle(), SIOCOUTQ, &unacknowledged) == 0 && unacknowledged == 0;
}

std::optional<std::chrono::milliseconds> stream::time_since_receipt() {
    const auto info = kernel_info();
    return info ? std::optional(std::chrono::milliseconds(info->tcpi_last_data_recv))
                : std::nullopt;
}

void stream::write(std::string_view data) {
    if (!socket_.is_open()) {
        return;
    }
    if (queued_bytes() > 0 || write_armed_) {
        output_.append(data);
        return;
    }
    boost::system::error_code error;
    const auto count = socket_.write_some(boost::asio::buffer(data.data(), data.size()), error);
    sent_ += count;
    if (error && error != boost::asio::error::would_block &&
        error != boost::asio::error::try_again) {
        fail(detail::to_std_error(error));
        return;
    }
    if (count < data.size()) {
        output_.assign(data.substr(count));
        output_offset_ = 0;
        arm_write();
    }
}

void stream::arm_write() {
    if (write_armed_ || !socket_.is_open()) {
        return;
    }
    write_armed_ = true;
    socket_.async_wait(tcp::socket::wait_write,
                       [this, alive = std::weak_ptr<bool>(alive_)](auto error) {
                           if (alive.expired()) {
                               return;
                           }
                           write_armed_ = false;
                           if (!error && socket_.is_open()) {
                               flush();
                           }
                       });
}

void stream::flush() {
    boost::system::error_code error;
    const auto rest = std::string_view(output_).substr(output_offset_);
    const auto count = socket_.write_some(boost::asio::buffer(rest.data(), rest.size()), error);
    sent_ += count;
    output_offset_ += count;
    if (error && error != boost::asio::error::would_block &&
        error != boost::asio::error::try_again) {
        fail(detail::to_std_error(error));
        return;
    }
    if (queued_bytes() > 0) {
        arm_write();
        return;
    }
    output_.clear();
    output_.shrink_to_fit();
    output_offset_ = 0;
    if (finishing_) {
        finish_writing();
    }
    const auto drained = callbacks_.drained;
    if (drained) {
        drained();
    }
}

void stream::fail(std::error_code error) {
    boost::system::error_code ignored;
    socket_.close(ignored);
    // Not reported within the current call, so that its caller is never re-entered.
    boost::asio::post(socket_.get_executor(), [this, error, alive = std::weak_ptr<bool>(alive_)] {
        if (alive.expired()) {
            return;
        }
        const auto failed = callbacks_.failed;
        if (failed) {
            failed(error);
        }
    });
}

void stream::finish_writing() {
    finishing_ = true;
    if (queued_bytes() == 0 && socket_.is_open()) {
        boost::system::error_code ignored;
        socket_.shutdown(tcp::socket::shutdown_send, ignored);
    }
}

void stream::close() {
    boost::system::error_code ignored;
    socket_.close(ignored);
}

void stream::reset() {
    boost::system::error_code ignored;
    socket_.set_option(boost::asio::socket_base::linger(true, 0), ignored);
    socket_.close(ignored);
}

connector::connector(boost::asio::io_context& context, const tcp::endpoint& to,
                     std::chrono::steady_clock::time_point deadline, handler done)
    : socket_(context), timer_(context, deadline), done_(std::move(done)) {
    socket_.async_connect(to, [this, alive = std::weak_ptr<bool>(alive_)](auto error) {
        if (!alive.expired()) {
            finish(detail::to_std_error(error));
        }
    });
    timer_.async_wait([this, alive = std::weak_ptr<bool>(alive_)](auto error) {
        if (!alive.expired() && !error) {
            finish(std::make_error_code(std::errc::timed_out));
        }
    });
}

void connector::finish(std::error_code error) {
    if (!done_) {
        return;
    }
    const auto done = std::move(done_);
    done_ = nullptr;
    timer_.cancel();
    if (error) {
        boost::system::error_code ignored;
        socket_.close(ignored);
        done(error, nullptr);
    } else {
        done(error, std::make_unique<stream>(std::move(socket_)));
    }
}

std::optional<tcp::endpoint> parse_endpoint(std::string_view text) {
    const auto colon = text.rfind(':');
    if (colon == std::string_view::npos) {
        return std::nullopt;
    }
    const auto digits = text.substr(colon + 1);
    std::uint16_t port = 0;
    const auto [end, failed] = std::from_chars(digits.data(), digits.data() + digits.size(), port);
    boost::system::error_code error;
    const auto address =
        boost::asio::ip::make_address_v4(std::string(text.substr(0, colon)), error);
    if (error || failed != std::errc{} || end != digits.data() + digits.size() || port == 0) {
        return std::nullopt;
    }
    return tcp::endpoint(address, port);
}

}  // namespace mimosavalve::gateway
