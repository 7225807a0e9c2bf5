#pragma once

#include <cstdint>
#include <map>
#include <string>

#include "mimosavalve/observe/histogram.hpp"

namespace mimosavalve::gateway {

/// Outcomes of requests and events of the control side, as counters and histograms.
struct gateway_metrics {
    std::map<std::string, std::uint64_t, std::less<>> counters;
    std::map<std::string, observe::histogram, std::less<>> latencies;  ///< By kind of request.
};

void count(gateway_metrics& metrics, std::string_view name, std::uint64_t by = 1);
void record_latency(gateway_metrics& metrics, std::string_view kind, std::uint64_t microseconds);

/// Text exposition.
std::string expose(const gateway_metrics& metrics);

}  // namespace mimosavalve::gateway
