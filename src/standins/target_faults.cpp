#include "mimosavalve/standins/target_faults.hpp"

#include <cstdint>
#include <nlohmann/json.hpp>

namespace mimosavalve::standins {

namespace detail {

constexpr std::uint64_t longest_fault_ms = 3'600'000;

bool read_ms(const nlohmann::json& value, std::chrono::milliseconds& out) {
    if (!value.is_number_unsigned() || value.get<std::uint64_t>() > longest_fault_ms) {
        return false;
    }
    out = std::chrono::milliseconds(value.get<std::uint64_t>());
    return true;
}

bool read_bool(const nlohmann::json& value, bool& out) {
    if (!value.is_boolean()) {
        return false;
    }
    out = value.get<bool>();
    return true;
}

bool read_factor(const nlohmann::json& value, std::optional<double>& out) {
    constexpr double most = 10'000;
    if (!value.is_number() || value.get<double>() < 0 || value.get<double>() > most) {
        return false;
    }
    out = value.get<double>();
    return true;
}

bool read_crash(const nlohmann::json& value, std::optional<std::string>& out) {
    if (!value.is_string()) {
        return false;
    }
    out = value.get<std::string>();
    return true;
}

bool read_field(const std::string& name, const nlohmann::json& value, fault_order& order) {
    if (name == "slow_factor") {
        return read_factor(value, order.slow_factor);
    }
    if (name == "crash_on") {
        return read_crash(value, order.crash_on);
    }
    if (name == "refuse") {
        return read_bool(value, order.refuse.emplace());
    }
    if (name == "wrong_request_id") {
        return read_bool(value, order.wrong_request_id.emplace());
    }
    if (name == "answer_late_ms") {
        return read_ms(value, order.answer_late.emplace());
    }
    if (name == "freeze_ms") {
        return read_ms(value, order.freeze);
    }
    if (name == "refuse_ms") {
        return read_ms(value, order.refuse_connects);
    }
    if (name == "turn_cold") {
        return read_bool(value, order.turn_cold);
    }
    return name == "silent" && read_bool(value, order.silent);
}

}  // namespace detail

std::optional<fault_order> parse_fault_order(std::string_view json, std::string& problem) {
    const auto document = nlohmann::json::parse(json, nullptr, false);
    if (!document.is_object()) {
        problem = "body: a JSON object";
        return std::nullopt;
    }
    fault_order order;
    for (const auto& [name, value] : document.items()) {
        if (!detail::read_field(name, value, order)) {
            problem = name +
                      ": allowed are freeze_ms, refuse_ms, answer_late_ms (0 to 3600000), "
                      "slow_factor (0 to 10000), crash_on (text), and turn_cold, silent, refuse, "
                      "wrong_request_id (true or false)";
            return std::nullopt;
        }
    }
    return order;
}

void apply(const fault_order& order, target_faults& faults) {
    faults.slow_factor = order.slow_factor.value_or(faults.slow_factor);
    faults.crash_on = order.crash_on.value_or(faults.crash_on);
    faults.refuse = order.refuse.value_or(faults.refuse);
    faults.answer_late = order.answer_late.value_or(faults.answer_late);
    faults.wrong_request_id = order.wrong_request_id.value_or(faults.wrong_request_id);
}

}  // namespace mimosavalve::standins
