#pragma once

#include <cstdint>
#include <functional>
#include <string>
#include <system_error>
#include <vector>

#include "mimosavalve/core/types.hpp"
#include "mimosavalve/ownership/slot.hpp"

namespace mimosavalve::ports {

/// Slots that a target is given or loses, with the fence of the assignment.
struct slot_grant {
    std::string service;
    ownership::slot_number first_slot = 0;
    std::uint32_t count = 0;
    version fence;

    bool operator==(const slot_grant&) const = default;
};

/// Answer of a target to a probe. Load and condition lag or mislead; clock and instance do not.
struct probe_result {
    std::uint64_t clock_ms = 0;  ///< The target's monotonic clock when it answered.
    std::uint64_t instance = 0;  ///< Changes when the target restarts.
    std::uint32_t load = 0;      ///< Requests running, as last reported.
    bool leaving = false;
};

/// Orders and probes to targets. Callbacks run on the calling thread, never inside the call.
struct target_control {
    using done_handler = std::function<void(std::error_code)>;
    using probe_handler = std::function<void(std::error_code, probe_result)>;

    /// The target takes the slots unless it knows a newer fence (`errc::target_refused`). The order
    /// is void at the target after `deadline`.
    std::function<void(const std::string& address, std::vector<slot_grant>, steady_time deadline,
                       done_handler)>
        grant;

    /// The target stops starting requests for the slots below the fence and answers when the
    /// running ones have ended.
    std::function<void(const std::string& address, std::vector<slot_grant>, steady_time deadline,
                       done_handler)>
        revoke;

    /// Opens a new connection, so that a silent old one does not count against the target.
    std::function<void(const std::string& address, steady_time deadline, probe_handler)> probe;
};

}  // namespace mimosavalve::ports
