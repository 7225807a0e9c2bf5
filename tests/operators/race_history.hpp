#pragma once

#include <string>
#include <vector>

#include "mimosavalve/command/config_writer.hpp"
#include "operators/simulated_store.hpp"

namespace mimosavalve::testing {

/// One submission of a command, as the operator saw it.
struct race_record {
    command::change_request request;
    command::change_outcome outcome;
    bool finished = false;
};

/// What contradicts the guarantees of section 8 in the writes of the store and the answers that the
/// operators got; empty when there is nothing. Effects are checked against a model of its own, not
/// against the code that made them.
std::vector<std::string> contradictions(const std::vector<simulated_store::write>& writes,
                                        const std::vector<race_record>& records);

}  // namespace mimosavalve::testing
