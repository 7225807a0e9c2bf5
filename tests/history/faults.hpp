#pragma once

#include <string>
#include <vector>

#include "history/simulation.hpp"

namespace mimosavalve::test {

enum class fault_kind {
    message_loss,
    message_delay,
    domain_cut,
    host_cut,
    peers_cut,
    host_pause,
    host_restart,
    leader_pause,
    leader_restart,
    leader_store_cut,
    store_outage,
    store_answers_lost,
    target_restart,
    target_freeze,
    target_leave,
    target_drain,
    config_change,
};

constexpr int fault_kind_count = static_cast<int>(fault_kind::config_change) + 1;

/// A fault that begins and ends at fixed times of a history.
struct fault {
    fault_kind kind = fault_kind::message_loss;
    milliseconds begin{0};
    milliseconds length{0};
    std::size_t index = 0;  ///< Index of the host, target or failure domain, modulo their number.
};

/// Returns a line of text that describes the fault in the output of a failed history.
std::string to_string(const fault& entry);

/// Schedules the begin and the end of a fault.
void schedule(simulation& fleet, const fault& entry);

/// Ends all faults that may still be active, and starts hosts and targets that are down.
void end_all_faults(simulation& fleet);

}  // namespace mimosavalve::test
