#pragma once

#include <chrono>
#include <cstdint>
#include <span>
#include <string>
#include <vector>

#include "mimosavalve/load/settings_reader.hpp"

namespace mimosavalve::standins {

/// Distribution of the time that a request occupies a slot.
enum class work_distribution {
    constant,
    exponential,
    lognormal,
};

struct work_settings {
    work_distribution distribution = work_distribution::lognormal;
    double mean_ms = 4;
    double sigma = 0.5;  ///< Only for `lognormal`: deviation of the logarithm.
    std::uint64_t seed = 1;
};

/// Behaviour of a target until it has served enough requests after a start.
struct cold_settings {
    std::uint32_t requests = 0;  ///< Requests served cold; 0 means that it starts warm.
    double factor = 8;           ///< Multiplies the service time.
    std::uint32_t slots = 1;     ///< Requests at a time while cold.
    double collapse = 0.5;       ///< Each queued request multiplies the cold time by 1 + this.
};

struct target_settings {
    std::string id;
    std::string listen = "127.0.0.1:0";
    std::string port_file;  ///< Receives the chosen port; empty: none.
    std::string service;
    std::string region;
    std::string failure_domain;
    bool checks_fence = true;
    std::uint32_t slots = 4;
    std::uint32_t connections = 130;
    std::uint32_t queue = 64;  ///< Requests that wait for a slot.
    std::chrono::milliseconds probe_time{1};
    std::chrono::milliseconds load_report_lag{500};
    std::chrono::milliseconds leave_time{3000};  ///< Longest service after the order to leave.
    std::uint64_t max_value_bytes = 65536;       ///< Larger bodies are kept as hash and size only.
    std::string history_file;                    ///< Empty: none.
    work_settings work;
    cold_settings cold;
};

/// Reads the settings of one target. The result is usable only when `problems` stays empty.
target_settings read_target_settings(const std::string& file,
                                     std::span<const load::settings_override> overrides,
                                     std::vector<load::settings_problem>& problems);

}  // namespace mimosavalve::standins
