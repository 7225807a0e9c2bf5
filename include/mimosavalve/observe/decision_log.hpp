#pragma once

#include <cstdint>
#include <initializer_list>
#include <string>
#include <string_view>
#include <variant>

namespace mimosavalve::observe {

/// Named input or outcome of a decision.
struct log_value {
    std::string_view name;
    std::variant<std::string_view, std::int64_t, double> value;
};

/// Limit on the number of written lines. Lines beyond it are dropped and counted; the count is
/// written with a later line.
struct log_rate_limit {
    double lines_per_second = 100;  ///< Maximum average rate; about 20 KB/s.
    double max_burst_lines = 400;   ///< Lines that may be written at once.
};

/// Writes one JSON object per line to a file descriptor without blocking: a line that a full pipe
/// does not accept is dropped and counted. Not thread-safe.
class decision_log {
public:
    /// Does not take ownership of `descriptor`, and sets it to non-blocking mode.
    explicit decision_log(int descriptor, log_rate_limit rate_limit = {});

    /// Writes a decision: `event` is its name, `values` are its inputs and its outcome.
    void write(std::string_view event, std::initializer_list<log_value> values);
    /// Writes a line regardless of the rate limit; a full pipe still drops it. For rare events
    /// such as starts and stops.
    void write_always(std::string_view event, std::initializer_list<log_value> values);

    /// Total number of dropped lines.
    [[nodiscard]] std::uint64_t dropped() const { return dropped_total_; }

private:
    void write_line(std::string_view event, std::initializer_list<log_value> values);

    int descriptor_;
    log_rate_limit rate_limit_;
    double available_lines_;
    std::int64_t refilled_unix_ms_ = 0;
    std::uint64_t dropped_since_last_line_ = 0;
    std::uint64_t dropped_total_ = 0;
};

}  // namespace mimosavalve::observe
