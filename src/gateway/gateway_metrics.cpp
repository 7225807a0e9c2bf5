#include "mimosavalve/gateway/gateway_metrics.hpp"

namespace mimosavalve::gateway {

void count(gateway_metrics& metrics, std::string_view name, std::uint64_t by) {
    const auto found = metrics.counters.find(name);
    if (found != metrics.counters.end()) {
        found->second += by;
    } else {
        metrics.counters.emplace(name, by);
    }
}

void record_latency(gateway_metrics& metrics, std::string_view kind, std::uint64_t microseconds) {
    auto found = metrics.latencies.find(kind);
    if (found == metrics.latencies.end()) {
        found = metrics.latencies.try_emplace(std::string(kind)).first;
    }
    found->second.record(microseconds);
}

void record_latency(gateway_metrics& metrics, std::string_view kind,
                    std::chrono::steady_clock::duration latency) {
    const auto microseconds = std::chrono::duration_cast<std::chrono::microseconds>(latency);
    record_latency(metrics, kind, static_cast<std::uint64_t>(microseconds.count()));
}

std::string format_metrics(const gateway_metrics& metrics) {
    std::string out;
    for (const auto& [name, value] : metrics.counters) {
        out += "mimosavalve_" + name + " " + std::to_string(value) + "\n";
    }
    constexpr double quantiles[] = {0.5, 0.9, 0.99};
    for (const auto& [kind, latency] : metrics.latencies) {
        const auto label = "{kind=\"" + kind + "\"";
        for (const double quantile : quantiles) {
            out += "mimosavalve_latency_us" + label + ",quantile=\"" +
                   std::to_string(quantile).substr(0, 4) + "\"} " +
                   std::to_string(latency.quantile(quantile)) + "\n";
        }
        out += "mimosavalve_latency_us_sum" + label + "} " +
               std::to_string(latency.sum_microseconds()) + "\n";
        out +=
            "mimosavalve_latency_us_count" + label + "} " + std::to_string(latency.total()) + "\n";
    }
    return out;
}

}  // namespace mimosavalve::gateway
