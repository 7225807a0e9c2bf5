#include "mimosavalve/config/settings_fault.hpp"

#include <string_view>

namespace mimosavalve::config {

namespace detail {

std::string_view description_of(fault_kind kind) {
    switch (kind) {
        case fault_kind::unreadable_file:
            return "the file cannot be read";
        case fault_kind::syntax:
            return "not valid YAML";
        case fault_kind::unknown_field:
            return "unknown field";
        case fault_kind::repeated_field:
            return "the field is given twice";
        case fault_kind::missing_field:
            return "missing field";
        case fault_kind::wrong_type:
            return "wrong type";
        case fault_kind::impossible_value:
            return "impossible value";
    }
    return "fault";
}

}  // namespace detail

std::string to_string(const settings_fault& fault) {
    std::string text = fault.file;
    if (fault.line > 0) {
        text += ":" + std::to_string(fault.line);
    }
    text += ": ";
    if (!fault.field.empty()) {
        text += "field " + fault.field + ": ";
    }
    text += detail::description_of(fault.kind);
    if (!fault.value.empty() || fault.kind == fault_kind::wrong_type ||
        fault.kind == fault_kind::impossible_value) {
        text += " '" + fault.value + "'";
    }
    if (!fault.allowed.empty()) {
        text += "; allowed: " + fault.allowed;
    }
    return text;
}

std::string to_string(std::span<const settings_fault> faults) {
    std::string text;
    for (const auto& fault : faults) {
        text += to_string(fault) + "\n";
    }
    return text;
}

}  // namespace mimosavalve::config
