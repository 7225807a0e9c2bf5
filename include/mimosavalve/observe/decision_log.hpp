#pragma once

#include <cstdint>
#include <initializer_list>
#include <string>
#include <string_view>
#include <variant>

namespace mimosavalve::observe {

/// One named input of a decision.
struct log_value {
    std::string_view name;
    std::variant<std::string_view, std::int64_t, double> value;
};

/// How much the log takes; what exceeds it is counted and the count is written later.
struct log_bounds {
    double lines_per_second = 100;  ///< Average; about 20 KB/s.
    double burst = 400;             ///< Lines that may come at once.
};

/// Writes one JSON object a line to a descriptor and never blocks: what a full pipe does not take
/// is dropped and counted. Not thread-safe.
class decision_log {
public:
    explicit decision_log(int descriptor, log_bounds bounds = {});

    /// `event` names the decision; `values` are its inputs and its outcome.
    void write(std::string_view event, std::initializer_list<log_value> values);
    /// For starts, stops and other rare lines, which are never left out for their number.
    void write_always(std::string_view event, std::initializer_list<log_value> values);

    [[nodiscard]] std::uint64_t dropped() const { return dropped_total_; }

private:
    void emit(std::string_view event, std::initializer_list<log_value> values);

    int descriptor_;
    log_bounds bounds_;
    double available_;
    std::int64_t refilled_ms_ = 0;
    std::uint64_t dropped_ = 0;  ///< Since the last written line.
    std::uint64_t dropped_total_ = 0;
};

}  // namespace mimosavalve::observe
