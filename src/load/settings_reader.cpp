#include "mimosavalve/load/settings_reader.hpp"

#include <algorithm>
#include <cmath>
#include <limits>

namespace mimosavalve::load {

namespace detail {

std::string range_text(const std::string& kind, const std::string& least, const std::string& most) {
    return kind + " from " + least + " to " + most;
}

std::string shown_value(const YAML::Node& node) {
    if (!node.IsDefined()) {
        return "(missing)";
    }
    if (node.IsScalar()) {
        return node.Scalar();
    }
    return node.IsMap() ? "(map)" : node.IsSequence() ? "(list)" : "(empty)";
}

}  // namespace detail

std::string to_string(const settings_problem& problem) {
    auto text = problem.file;
    if (problem.line > 0) {
        text += ":" + std::to_string(problem.line);
    }
    return text + ": field '" + problem.field + "' has value '" + problem.value +
           "'; allowed: " + problem.allowed;
}

YAML::Node load_settings_file(const std::string& file, std::span<const settings_override> overrides,
                              std::vector<settings_problem>& problems) {
    YAML::Node map(YAML::NodeType::Map);
    if (!file.empty()) {
        try {
            map = YAML::LoadFile(file);
        } catch (const YAML::ParserException& failure) {
            problems.push_back({file, failure.mark.line + 1, "(file)", failure.msg, "valid YAML"});
        } catch (const YAML::Exception& failure) {
            problems.push_back({file, 0, "(file)", failure.what(), "a readable YAML file"});
        }
    }
    if (!map.IsMap()) {
        if (problems.empty()) {
            problems.push_back({file, 1, "(file)", detail::shown_value(map), "a map of fields"});
        }
        map = YAML::Node(YAML::NodeType::Map);
    }
    for (const auto& [field, value] : overrides) {
        map[field] = YAML::Node(value);
    }
    return map;
}

settings_reader::settings_reader(std::string file, const YAML::Node& map, std::string prefix,
                                 std::vector<settings_problem>& problems)
    : file_(std::move(file)), map_(map), prefix_(std::move(prefix)), problems_(&problems) {}

bool settings_reader::has(const std::string& field) const {
    const YAML::Node& map = map_;
    return map[field].IsDefined();
}

YAML::Node settings_reader::find(const std::string& field) {
    known_.push_back(field);
    const YAML::Node& map = map_;
    const auto node = map[field];
    return node.IsDefined() ? node : YAML::Node(YAML::NodeType::Undefined);
}

void settings_reader::add_problem(const std::string& field, const YAML::Node& node,
                                  const std::string& allowed) {
    const auto line = (node.IsDefined() ? node.Mark().line : map_.Mark().line) + 1;
    const bool from_file = line > 0;
    problems_->push_back({from_file ? file_ : "command line", from_file ? line : 0, prefix_ + field,
                          detail::shown_value(node), allowed});
}

std::string settings_reader::text(const std::string& field, const std::string& fallback) {
    const auto node = find(field);
    if (!node.IsDefined()) {
        return fallback;
    }
    if (!node.IsScalar()) {
        add_problem(field, node, "a text");
        return fallback;
    }
    return node.Scalar();
}

std::string settings_reader::required_text(const std::string& field) {
    const auto node = find(field);
    if (!node.IsDefined() || !node.IsScalar() || node.Scalar().empty()) {
        add_problem(field, node, "a text that is not empty");
        return {};
    }
    return node.Scalar();
}

std::string settings_reader::one_of(const std::string& field,
                                    std::span<const std::string_view> allowed,
                                    const std::string& fallback) {
    auto value = text(field, fallback);
    if (std::find(allowed.begin(), allowed.end(), value) != allowed.end()) {
        return value;
    }
    std::string names;
    for (const auto name : allowed) {
        names.append(names.empty() ? "" : ", ").append(name);
    }
    reject(field, names);
    return fallback;
}

std::uint64_t settings_reader::whole(const std::string& field, std::uint64_t fallback,
                                     std::uint64_t least, std::uint64_t most) {
    const auto node = find(field);
    if (!node.IsDefined()) {
        return fallback;
    }
    std::uint64_t value = 0;
    const bool negative = node.IsScalar() && node.Scalar().starts_with("-");
    if (negative || !YAML::convert<std::uint64_t>::decode(node, value) || value < least ||
        value > most) {
        add_problem(
            field, node,
            detail::range_text("a whole number", std::to_string(least), std::to_string(most)));
        return fallback;
    }
    return value;
}

double settings_reader::real(const std::string& field, double fallback, double least, double most) {
    const auto node = find(field);
    if (!node.IsDefined()) {
        return fallback;
    }
    double value = 0;
    if (!YAML::convert<double>::decode(node, value) || !std::isfinite(value) || value < least ||
        value > most) {
        add_problem(field, node,
                    detail::range_text("a number", std::to_string(least), std::to_string(most)));
        return fallback;
    }
    return value;
}

bool settings_reader::flag(const std::string& field, bool fallback) {
    const auto node = find(field);
    if (!node.IsDefined()) {
        return fallback;
    }
    bool value = false;
    if (!YAML::convert<bool>::decode(node, value)) {
        add_problem(field, node, "true or false");
        return fallback;
    }
    return value;
}

std::vector<std::string> settings_reader::texts(const std::string& field) {
    std::vector<std::string> values;
    const auto node = find(field);
    if (!node.IsDefined()) {
        return values;
    }
    if (!node.IsSequence()) {
        add_problem(field, node, "a list of texts");
        return values;
    }
    for (const auto& item : node) {
        if (item.IsScalar()) {
            values.push_back(item.Scalar());
        } else {
            add_problem(field, item, "a list of texts");
        }
    }
    return values;
}

settings_reader settings_reader::nested(const std::string& field) {
    const auto node = find(field);
    if (node.IsDefined() && !node.IsMap()) {
        add_problem(field, node, "a map of fields");
    }
    const bool usable = node.IsDefined() && node.IsMap();
    return {file_, usable ? node : YAML::Node(YAML::NodeType::Map), prefix_ + field + ".",
            *problems_};
}

std::vector<settings_reader> settings_reader::nested_list(const std::string& field) {
    std::vector<settings_reader> readers;
    const auto node = find(field);
    if (!node.IsDefined()) {
        return readers;
    }
    if (!node.IsSequence()) {
        add_problem(field, node, "a list of maps");
        return readers;
    }
    for (const auto& item : node) {
        const auto place = field + "[" + std::to_string(readers.size()) + "]";
        if (!item.IsMap()) {
            add_problem(place, item, "a map of fields");
            continue;
        }
        readers.emplace_back(file_, item, prefix_ + place + ".", *problems_);
    }
    return readers;
}

void settings_reader::reject(const std::string& field, const std::string& allowed) {
    const YAML::Node& map = map_;
    add_problem(field, map[field], allowed);
}

void settings_reader::reject_unknown_fields() {
    for (const auto& entry : map_) {
        const auto name = entry.first.IsScalar() ? entry.first.Scalar() : std::string("(key)");
        if (std::find(known_.begin(), known_.end(), name) != known_.end()) {
            continue;
        }
        std::string names;
        for (const auto& known : known_) {
            names.append(names.empty() ? "" : ", ").append(known);
        }
        add_problem(name, entry.first, "one of the fields " + names);
    }
}

}  // namespace mimosavalve::load
