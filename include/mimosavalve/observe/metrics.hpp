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

/// Labels of accounts. The first 200 have their own; the others share "other", so that memory and
/// exposition stay bounded whatever callers send. Safe from all threads.
class account_labels {
public:
    static constexpr std::size_t max_accounts = 200;
    static constexpr std::size_t other = max_accounts;

    /// Index of an account's label; `other` when all are taken.
    std::size_t index_of(std::string_view account);
    [[nodiscard]] std::string name_of(std::size_t index) const;
    [[nodiscard]] std::size_t size() const;

private:
    mutable std::mutex mutex_;
    std::vector<std::string> names_;
    std::unordered_map<std::string, std::size_t> indices_;
};

/// Requests of one class or one account.
struct request_series {
    std::array<std::atomic<std::uint64_t>, 3> verdicts{};  ///< By `traffic_verdict`.
    histogram latency;
};

/// Counters of one traffic thread. That thread records; any thread may read.
class request_metrics {
public:
    explicit request_metrics(account_labels& labels) : labels_(labels) {}

    /// `account` must be known to the configuration, or empty to count by class only.
    void record(config::traffic_class route_class, std::string_view account,
                traffic_verdict verdict, std::uint64_t microseconds);

    [[nodiscard]] const request_series& of_class(config::traffic_class route_class) const;
    /// Null before the first request of the account.
    [[nodiscard]] const request_series* of_account(std::size_t index) const;

    std::atomic<std::uint64_t> retries{0};
    std::atomic<std::uint64_t> silent_probes{0};

private:
    account_labels& labels_;
    std::unordered_map<std::string, std::size_t> known_labels_;  ///< Of the recording thread.
    std::array<request_series, 3> classes_;
    std::array<std::atomic<request_series*>, account_labels::max_accounts + 1> accounts_{};
    std::vector<std::unique_ptr<request_series>> owned_;
};

/// Text exposition of the sum over all threads.
std::string expose(const std::vector<const request_metrics*>& threads,
                   const account_labels& labels);

}  // namespace mimosavalve::observe
