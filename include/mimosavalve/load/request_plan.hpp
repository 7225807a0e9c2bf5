#pragma once

#include <chrono>
#include <cstdint>
#include <random>
#include <span>
#include <string>

#include "mimosavalve/load/load_settings.hpp"

namespace mimosavalve::load {

/// One request to send, the same for all its attempts.
struct planned_request {
    std::string id;
    const mix_entry* entry = nullptr;
    const load_account* account = nullptr;
    std::string path;
    std::string idempotency_key;  ///< Empty unless the request is a payment.
    std::int64_t idempotency_unix_ms = 0;
    std::string body_prefix;      ///< Starts with the path, so that answers can be checked.
    std::uint64_t body_size = 0;  ///< 0: no body.
};

/// Draws requests from a fixed seed. Must not outlive the settings.
class request_planner {
public:
    request_planner(const load_settings& settings, std::string run);

    /// `elapsed` since the start of the run chooses which keys are hot.
    planned_request next(std::chrono::nanoseconds elapsed);
    /// Time from one arrival to the next in the open loop.
    std::chrono::nanoseconds next_gap();
    /// Router for an attempt; differs from `previous` when there is another in the region.
    const router_address& choose_router(const load_account& account, const std::string& previous);

private:
    std::uint64_t draw_key(std::chrono::nanoseconds elapsed);

    const load_settings& settings_;
    std::string run_;
    std::mt19937_64 random_;
    std::discrete_distribution<std::uint64_t> ranks_;
    std::discrete_distribution<std::size_t> entries_;
    std::uint64_t number_ = 0;
};

/// Bytes of a body, made while they are sent.
class body_source {
public:
    body_source(std::string prefix, std::uint64_t size);

    /// Fills the buffer as far as the body goes and returns the number of bytes.
    std::size_t read(std::span<char> buffer);

private:
    std::string prefix_;
    std::uint64_t size_;
    std::uint64_t position_ = 0;
};

}  // namespace mimosavalve::load
