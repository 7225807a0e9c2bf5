#pragma once

#include <chrono>
#include <cstdint>
#include <fstream>
#include <optional>
#include <string>
#include <string_view>
#include <system_error>

#include "mimosavalve/core/types.hpp"
#include "mimosavalve/ownership/slot.hpp"
#include "mimosavalve/standins/target_settings.hpp"

namespace mimosavalve::standins {

/// What the headers of a request say.
struct request_info {
    std::string request_id;
    std::string account;
    std::string service;
    std::optional<ownership::slot_number> slot;  ///< Absent: the service has no keys.
    std::optional<version> fence;
    std::optional<std::uint64_t> start_by_ms;  ///< By the target's own clock.
    std::string idempotency_key;
    std::string method;
    std::string path;  ///< Without the query.
};

/// Appends what a target does to a file of JSON lines. Each line is written out at once, so that a
/// kill loses nothing. Times are nanoseconds of the machine's monotonic clock.
class target_history {
public:
    /// Writes the first line, which describes the target. Does nothing without a file name.
    std::error_code open(const target_settings& settings, std::uint64_t instance);

    /// `event` is "start", "end" or "cancel".
    void record(std::string_view event, const request_info& request,
                std::chrono::steady_clock::time_point at);
    /// The process did not run between the two times.
    void record_pause(std::chrono::steady_clock::time_point from,
                      std::chrono::steady_clock::time_point until);

private:
    std::ofstream file_;
    std::string target_;
    std::uint64_t instance_ = 0;
};

}  // namespace mimosavalve::standins
