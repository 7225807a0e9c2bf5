#include "mimosavalve/adapters/http_front_end.hpp"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>

#include "http_front_end_worker.hpp"
#include "mimosavalve/core/error.hpp"
#include "mimosavalve/traffic/request_head.hpp"

namespace mimosavalve::adapters {

namespace asio = boost::asio;

using front_end::tcp;
using front_end::worker;

namespace detail {

// A descriptor shortage ends only when connections do; asking again at once would spin.
constexpr std::chrono::milliseconds accept_pause{10};

tcp::endpoint parse_listen_address(const std::string& address, std::error_code& error) {
    const auto colon = address.rfind(':');
    const auto digits = colon == std::string::npos ? std::string_view{}
                                                   : std::string_view(address).substr(colon + 1);
    const auto port = traffic::parse_number(digits).value_or(UINT32_MAX);
    boost::system::error_code failure;
    const auto ip = asio::ip::make_address(address.substr(0, colon), failure);
    if (failure || port > UINT16_MAX) {
        error = make_error_code(errc::invalid_settings);
        return {};
    }
    return {ip, static_cast<std::uint16_t>(port)};
}

}  // namespace detail

struct http_front_end::implementation {
    explicit implementation(front_end_settings settings, front_end_hooks hooks) {
        shared.settings = std::move(settings);
        shared.hooks = std::move(hooks);
        for (std::uint32_t count = 0; count < std::max(1U, shared.settings.threads); ++count) {
            workers.push_back(std::make_unique<worker>(shared));
        }
        acceptor.emplace(workers.front()->context());
        accept_timer.emplace(workers.front()->context());
    }

    std::error_code listen();
    void accept();
    void close_acceptor();
    void wait_until_empty(steady_time deadline) const;

    front_end::shared_state shared;
    std::vector<std::unique_ptr<worker>> workers;
    std::optional<tcp::acceptor> acceptor;
    std::optional<asio::steady_timer> accept_timer;
    std::size_t next_worker = 0;
    std::uint16_t port = 0;
    bool running = false;
};

std::error_code http_front_end::implementation::listen() {
    std::error_code error;
    const auto endpoint = detail::parse_listen_address(shared.settings.listen_address, error);
    if (error) {
        return error;
    }
    boost::system::error_code failure;
    acceptor->open(endpoint.protocol(), failure);
    if (!failure) {
        acceptor->set_option(asio::socket_base::reuse_address(true), failure);
    }
    if (!failure) {
        acceptor->bind(endpoint, failure);
    }
    if (!failure) {
        acceptor->listen(asio::socket_base::max_listen_connections, failure);
    }
    if (!failure) {
        port = acceptor->local_endpoint(failure).port();
    }
    return failure;
}

void http_front_end::implementation::accept() {
    auto& next = *workers[next_worker++ % workers.size()];
    acceptor->async_accept(
        next.context(), [this, &next](const boost::system::error_code& error, tcp::socket socket) {
            if (shared.stopping || error == asio::error::operation_aborted) {
                return;
            }
            if (error) {
                accept_timer->expires_after(detail::accept_pause);
                accept_timer->async_wait([this](const boost::system::error_code& cancelled) {
                    if (!cancelled) {
                        accept();
                    }
                });
                return;
            }
            asio::post(next.context(), [&next, socket = std::move(socket)]() mutable {
                next.serve(std::move(socket));
            });
            accept();
        });
}

void http_front_end::implementation::close_acceptor() {
    asio::post(workers.front()->context(), [this] {
        boost::system::error_code ignored;
        acceptor->close(ignored);
        accept_timer->cancel();
    });
}

void http_front_end::implementation::wait_until_empty(steady_time deadline) const {
    auto left = shared.connections.load();
    while (left > 0 && std::chrono::steady_clock::now() < deadline) {
        std::this_thread::sleep_for(std::chrono::milliseconds(1));
        left = shared.connections.load();
    }
}

http_front_end::http_front_end(front_end_settings settings, front_end_hooks hooks)
    : implementation_(std::make_unique<implementation>(std::move(settings), std::move(hooks))) {}

http_front_end::~http_front_end() {
    stop(std::chrono::steady_clock::now());
}

std::error_code http_front_end::start() {
    auto& self = *implementation_;
    if (const auto error = self.listen()) {
        return error;
    }
    self.running = true;
    self.accept();
    for (auto& each : self.workers) {
        each->run_thread();
    }
    return {};
}

std::uint16_t http_front_end::port() const {
    return implementation_->port;
}

void http_front_end::publish(const std::shared_ptr<const router::routing_snapshot>& snapshot) {
    auto& shared = implementation_->shared;
    shared.table.store(traffic::build_routing_table(snapshot));
    shared.table_number.fetch_add(1, std::memory_order_release);
    for (auto& each : implementation_->workers) {
        each->post_refresh();
    }
}

version http_front_end::drained_version(const shard_id& shard) const {
    auto oldest = implementation_->workers.front()->drained_version(shard);
    for (const auto& each : implementation_->workers) {
        oldest = std::min(oldest, each->drained_version(shard));
    }
    return oldest;
}

void http_front_end::begin_stop() {
    auto& self = *implementation_;
    if (!self.running || self.shared.stopping.exchange(true)) {
        return;
    }
    self.close_acceptor();
    for (auto& each : self.workers) {
        each->post_stop();
    }
}

std::size_t http_front_end::open_connections() const {
    return implementation_->shared.connections;
}

void http_front_end::stop(steady_time deadline) {
    auto& self = *implementation_;
    if (!self.running) {
        return;
    }
    begin_stop();
    self.wait_until_empty(deadline);
    for (auto& each : self.workers) {
        each->post_cut();
        each->release();
    }
    {
        const std::lock_guard lock(self.shared.claims->mutex);
        self.shared.claims->open = false;
    }
    for (auto& each : self.workers) {
        each->join();
    }
    self.running = false;
}

std::string http_front_end::exposition() const {
    std::vector<const observe::request_metrics*> threads;
    threads.reserve(implementation_->workers.size());
    for (const auto& each : implementation_->workers) {
        threads.push_back(&each->metrics);
    }
    const auto& shared = implementation_->shared;
    return observe::format_metrics(threads, shared.labels) + "mimosavalve_held_back " +
           std::to_string(shared.held_back) + "\nmimosavalve_connections " +
           std::to_string(shared.connections) + "\n";
}

std::size_t http_front_end::largest_buffered_body() const {
    return implementation_->shared.largest_buffered;
}

}  // namespace mimosavalve::adapters
