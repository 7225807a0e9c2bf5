#pragma once

#include <chrono>
#include <optional>
#include <string>
#include <string_view>

namespace mimosavalve::standins {

/// Faults that last until they are changed.
struct target_faults {
    double slow_factor = 1;                    ///< Multiplies service times.
    std::string crash_on;                      ///< Part of a path; empty: none.
    bool refuse = false;                       ///< Every request is refused as overloaded.
    std::chrono::milliseconds answer_late{0};  ///< Wait between the end of the work and the answer.
    bool wrong_request_id = false;             ///< Answers echo the id of another request.
};

/// One order to misbehave. Absent fields leave the fault as it is.
struct fault_order {
    std::optional<double> slow_factor;
    std::optional<std::string> crash_on;
    std::optional<bool> refuse;
    std::optional<std::chrono::milliseconds> answer_late;
    std::optional<bool> wrong_request_id;
    std::chrono::milliseconds freeze{0};           ///< The whole process stops that long.
    std::chrono::milliseconds refuse_connects{0};  ///< The port is closed that long.
    bool turn_cold = false;
    bool silent = false;  ///< All other open connections go silent for good.
};

/// Reads the JSON body of `POST /faults`. On failure `problem` names the field.
std::optional<fault_order> parse_fault_order(std::string_view json, std::string& problem);

void apply(const fault_order& order, target_faults& faults);

}  // namespace mimosavalve::standins
