#pragma once

#include <array>
#include <atomic>
#include <cstdint>
#include <memory>
#include <mutex>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "mimosavalve/config/fleet_config.hpp"
#include "mimosavalve/core/verdict.hpp"
#include "mimosavalve/observe/histogram.hpp"

namespace mimosavalve::observe {

/// Assigns metric labels to accounts. The first 200 accounts get a label each; all others share the
/// label "other", so that memory and the size of the metrics text stay bounded whatever callers
/// send. Thread-safe.
class account_labels {
public:
    static constexpr std::size_t max_accounts = 200;
    static constexpr std::size_t other_index = max_accounts;

    /// Index of the label of an account; `other_index` when all labels are taken.
    std::size_t index_of(std::string_view account);
    [[nodiscard]] std::string name_of(std::size_t index) const;
    [[nodiscard]] std::size_t size() const;

private:
    mutable std::mutex mutex_;
    std::vector<std::string> names_;
    std::unordered_map<std::string, std::size_t> indices_;
};

/// Counters and latencies of the requests of one class or one account.
struct request_series {
    std::array<std::atomic<std::uint64_t>, 3> verdicts{};  ///< Counts by `traffic_verdict`.
    histogram latency;
};

/// Request metrics of one traffic thread. Only that thread records; any thread may read.
class request_metrics {
public:
    explicit request_metrics(account_labels& labels) : labels_(labels) {}

    /// Records a finished request. `account` must be in the configuration, or empty to record the
    /// request by its class only.
    void record(config::traffic_class route_class, std::string_view account,
                traffic_verdict verdict, std::uint64_t microseconds);

    [[nodiscard]] const request_series& class_series(config::traffic_class route_class) const;
    /// Series of the account label at `index`; null before its first request.
    [[nodiscard]] const request_series* account_series(std::size_t index) const;

    std::atomic<std::uint64_t> retries{0};
    /// Number of probes of targets whose answer to a request is overdue.
    std::atomic<std::uint64_t> silent_probes{0};

private:
    account_labels& labels_;
    /// Label indices by account. Used by the recording thread only.
    std::unordered_map<std::string, std::size_t> label_indices_;
    std::array<request_series, 3> class_series_;
    std::array<std::atomic<request_series*>, account_labels::max_accounts + 1> account_series_{};
    std::vector<std::unique_ptr<request_series>> owned_series_;
};

/// Formats the sums over all threads in the Prometheus text format.
std::string format_metrics(const std::vector<const request_metrics*>& threads,
                           const account_labels& labels);

}  // namespace mimosavalve::observe
