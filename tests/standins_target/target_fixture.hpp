#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>
#include <chrono>
#include <cstdint>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <nlohmann/json.hpp>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include "mimosavalve/standins/target_server.hpp"

namespace mimosavalve::standins::testing {

namespace http = boost::beast::http;

using request_type = http::request<http::string_body>;
using answer_type = http::response<http::string_body>;

inline target_settings small_target() {
    target_settings settings;
    settings.id = "status-1";
    settings.service = "status";
    settings.region = "bagmati";
    settings.failure_domain = "bagmati-a";
    settings.load_report_lag = std::chrono::milliseconds(0);
    settings.probe_time = std::chrono::milliseconds(0);
    settings.work.distribution = work_distribution::constant;
    settings.work.mean_ms = 1;
    return settings;
}

/// A name that no other test process uses; the file is removed at the end.
class scratch_file {
public:
    scratch_file() {
        static int number = 0;
        const auto process = std::chrono::steady_clock::now().time_since_epoch().count();
        name_ = std::filesystem::temp_directory_path() /
                ("mv-target-" + std::to_string(process) + "-" + std::to_string(++number));
    }
    ~scratch_file() { std::filesystem::remove(name_); }
    scratch_file(const scratch_file&) = delete;
    scratch_file& operator=(const scratch_file&) = delete;

    [[nodiscard]] std::string name() const { return name_.string(); }
    [[nodiscard]] std::string text() const {
        std::ifstream in(name_);
        return {std::istreambuf_iterator<char>(in), std::istreambuf_iterator<char>()};
    }
    [[nodiscard]] bool contains(const std::string& part) const {
        return text().find(part) != std::string::npos;
    }

private:
    std::filesystem::path name_;
};

/// A target on a thread of its own.
class running_target {
public:
    explicit running_target(const target_settings& settings)
        : context_(1), server_(context_, settings) {
        if (const auto error = server_.start()) {
            throw std::system_error(error);
        }
        thread_ = std::thread([this] { context_.run(); });
    }
    ~running_target() {
        context_.stop();
        thread_.join();
    }
    running_target(const running_target&) = delete;
    running_target& operator=(const running_target&) = delete;

    [[nodiscard]] std::uint16_t port() const { return server_.port(); }
    void leave() {
        boost::asio::post(context_, [this] { server_.leave(); });
    }
    /// Whether the server has closed everything by itself.
    [[nodiscard]] bool has_ended() const { return context_.stopped(); }

private:
    boost::asio::io_context context_;
    target_server server_;
    std::thread thread_;
};

/// One blocking connection.
class test_client {
public:
    explicit test_client(std::uint16_t port) : socket_(context_) {
        socket_.connect({boost::asio::ip::address_v4::loopback(), port});
    }

    void send(const request_type& request) { http::write(socket_, request); }
    void send_bytes(const std::string& bytes) {
        boost::system::error_code ignored;
        boost::asio::write(socket_, boost::asio::buffer(bytes), ignored);
    }
    answer_type receive() {
        answer_type answer;
        http::read(socket_, buffer_, answer);
        return answer;
    }
    answer_type exchange(const request_type& request) {
        send(request);
        return receive();
    }
    bool has_bytes() { return socket_.available() > 0; }
    void close() { socket_.close(); }

private:
    boost::asio::io_context context_;
    boost::asio::ip::tcp::socket socket_;
    boost::beast::flat_buffer buffer_;
};

inline request_type make_request(http::verb method, const std::string& path,
                                 const std::string& body = "") {
    request_type request(method, path, 11);
    request.set(http::field::host, "target");
    request.body() = body;
    request.prepare_payload();
    return request;
}

/// A request for slot 3 as a router sends it.
inline request_type keyed_request(const std::string& id, const std::string& fence = "1.5") {
    auto request = make_request(http::verb::get, "/status/ward-1/k1");
    request.set("Request-Id", id);
    request.set("Mimosavalve-Service", "status");
    request.set("Mimosavalve-Slot", "3");
    request.set("Mimosavalve-Fence", fence);
    return request;
}

inline nlohmann::json probe(std::uint16_t port) {
    test_client client(port);
    return nlohmann::json::parse(client.exchange(make_request(http::verb::get, "/probe")).body());
}

inline std::uint64_t clock_of(std::uint16_t port) {
    return probe(port).at("clock_ms").get<std::uint64_t>();
}

inline std::string order_text(const std::string& fence, std::uint64_t deadline) {
    return R"({"grants":[{"service":"status","first_slot":0,"count":10,"fence":")" + fence +
           R"("}],"deadline_clock_ms":)" + std::to_string(deadline) + "}";
}

inline unsigned order(std::uint16_t port, const std::string& path, const std::string& fence) {
    const auto body = order_text(fence, clock_of(port) + 60'000);
    test_client client(port);
    return client.exchange(make_request(http::verb::post, path, body)).result_int();
}

inline unsigned send_fault(std::uint16_t port, const std::string& json) {
    test_client client(port);
    return client.exchange(make_request(http::verb::post, "/faults", json)).result_int();
}

/// Asks again until the condition holds; false after 20 s.
template <typename Condition>
bool eventually(Condition condition) {
    const auto deadline = std::chrono::steady_clock::now() + std::chrono::seconds(20);
    while (std::chrono::steady_clock::now() < deadline) {
        if (condition()) {
            return true;
        }
        std::this_thread::yield();
    }
    return false;
}

}  // namespace mimosavalve::standins::testing
