#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "mimosavalve/config/settings_fault.hpp"

namespace mimosavalve::config {

enum class log_level {
    debug,
    info,
    warning,
    error,
};

enum class log_format {
    text,
    json,
};

struct log_settings {
    log_level level = log_level::info;
    log_format format = log_format::text;

    bool operator==(const log_settings&) const = default;
};

/// Intervals of the control protocol. All routers of a fleet must use the same values.
struct timing_settings {
    std::chrono::milliseconds heartbeat{100};     ///< Between renewals of serving leases.
    std::chrono::milliseconds lease_window{600};  ///< Length of a voter's confirmation.
    std::chrono::milliseconds start_window{250};  ///< How far ahead `Start-By` may be.
    std::chrono::milliseconds store_lease{1000};  ///< TTL of a shard's leadership.

    bool operator==(const timing_settings&) const = default;
};

/// Settings of one `mimosavalved` process. Addresses are "ip:port"; port 0 lets the system choose.
struct process_settings {
    std::string host;
    std::string region;
    std::string failure_domain;
    std::string callers;          ///< Listens for requests.
    std::string peers;            ///< Listens for other daemons.
    std::string admin;            ///< Listens for operators.
    std::string advertised_peer;  ///< Where other daemons reach `peers`; default: `peers`.
    std::string store;
    std::string host_list;
    std::uint32_t traffic_threads = 1;
    log_settings log;
    timing_settings timing;
    std::string initial_config;  ///< Path of the fleet configuration for an empty store, or empty.

    bool operator==(const process_settings&) const = default;
};

/// Reads settings from YAML. Nothing is returned when there is any fault; all faults are added.
/// A relative `initial_config` is taken from the folder of `file`.
std::optional<process_settings> read_process_settings(std::string_view yaml, std::string_view file,
                                                      std::vector<settings_fault>& faults);

/// The same from a file.
std::optional<process_settings> load_process_settings(const std::string& path,
                                                      std::vector<settings_fault>& faults);

}  // namespace mimosavalve::config
