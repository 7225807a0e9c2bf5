#pragma once

#include <chrono>
#include <cstdint>
#include <span>
#include <string>
#include <vector>

#include "mimosavalve/load/settings_reader.hpp"

namespace mimosavalve::load {

enum class load_mode {
    open_loop,    ///< Requests arrive at a rate, whatever the answers do.
    closed_loop,  ///< Each connection sends its next request after the answer.
};

enum class request_kind {
    read,     ///< GET of a key.
    order,    ///< POST of a small body.
    payment,  ///< POST with an idempotency key.
    upload,   ///< POST of a large body.
};

struct router_address {
    std::string address;  ///< "ip:port"
    std::string region;   ///< Empty: used by callers of every region.
};

struct load_account {
    std::string name;
    std::string region;  ///< Region of its callers; empty: any.
};

struct mix_entry {
    std::string name;  ///< Class of the summary.
    request_kind kind = request_kind::read;
    std::string route;
    double weight = 1;
    std::uint64_t body_bytes = 0;
};

struct key_settings {
    std::uint64_t count = 10000;
    double exponent = 1;                 ///< Of the Zipf distribution; 0: all keys alike.
    std::chrono::seconds hot_change{0};  ///< The ranking of the keys changes this often; 0: never.
};

struct load_settings {
    std::vector<router_address> routers;
    load_mode mode = load_mode::open_loop;
    double rate = 100;  ///< Requests/s of the open loop.
    std::chrono::milliseconds duration{10000};
    std::uint64_t count = 0;         ///< Requests; 0: as many as the duration allows.
    std::uint32_t connections = 32;  ///< Requests in flight at most.
    std::chrono::milliseconds timeout{2000};
    std::uint32_t repeats = 3;
    std::chrono::milliseconds repeat_wait{20};
    std::uint64_t seed = 1;
    std::string run;           ///< Prefix of request ids; empty: drawn at each start.
    std::string history_file;  ///< Empty: none.
    key_settings keys;
    std::vector<load_account> accounts;
    std::vector<mix_entry> mix;
};

/// Reads the settings. `routers` ("ip:port" or "ip:port@region") replace those of the file when
/// there are any. The result is usable only when `problems` stays empty.
load_settings read_load_settings(const std::string& file,
                                 std::span<const settings_override> overrides,
                                 std::span<const std::string> routers,
                                 std::vector<settings_problem>& problems);

}  // namespace mimosavalve::load
