#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <string>

#include "mimosavalve/observe/histogram.hpp"

namespace mimosavalve::gateway {

/// Counters and histograms of request outcomes and of events of the control plane.
struct gateway_metrics {
    std::map<std::string, std::uint64_t, std::less<>> counters;
    /// Latencies by kind of request.
    std::map<std::string, observe::histogram, std::less<>> latencies;
};

void count(gateway_metrics& metrics, std::string_view name, std::uint64_t by = 1);
void record_latency(gateway_metrics& metrics, std::string_view kind, std::uint64_t microseconds);
void record_latency(gateway_metrics& metrics, std::string_view kind,
                    std::chrono::steady_clock::duration latency);

/// Formats all metrics as text, one value a line.
std::string format_metrics(const gateway_metrics& metrics);

}  // namespace mimosavalve::gateway
