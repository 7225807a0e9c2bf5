#pragma once

#include <cstdint>
#include <string>

namespace mimosavalve::platform::testing {

/// Faults of the targets that a case switches on.
struct target_faults {
    /// Answers to releases have one wrong byte, above 0x7f, in the handover.
    bool spoils_handover = false;
    std::uint32_t spoiled_handovers = 0;
    /// At this target, one run in this many fails with status 503 and without "Not-Executed"; 0:
    /// none.
    std::string failing_target;
    std::uint32_t fails_one_run_in = 0;
    std::uint32_t failed_runs = 0;
};

target_faults& faults();

}  // namespace mimosavalve::platform::testing
