#pragma once

#include <cstdint>

namespace mimosavalve::platform::testing {

/// Faults of the targets that a case switches on.
struct target_faults {
    /// Answers to releases have one wrong byte, above 0x7f, in the handover.
    bool spoils_handover = false;
    std::uint32_t spoiled_handovers = 0;
    /// One run in this many fails with status 503 and without "Not-Executed"; 0: none.
    std::uint32_t fails_one_run_in = 0;
};

target_faults& faults();

}  // namespace mimosavalve::platform::testing
