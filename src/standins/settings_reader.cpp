#include "mimosavalve/standins/settings_reader.hpp"

#include <yaml-cpp/yaml.h>

#include <optional>
#include <utility>

#include "mimosavalve/adapters/http_message.hpp"
#include "mimosavalve/adapters/request_target.hpp"

namespace mimosavalve::standins {

namespace {

std::string shown(const YAML::Node& node) {
    if (!node.IsDefined()) {
        return "nothing";
    }
    return node.IsScalar() ? "\"" + node.Scalar() + "\"" : "a list or map";
}

std::optional<std::uint64_t> number_in(const YAML::Node& node, std::uint64_t least,
                                       std::uint64_t most) {
    const auto number =
        node.IsScalar() ? adapters::parse_number(node.Scalar()) : std::optional<std::uint64_t>{};
    if (!number || *number < least || *number > most) {
        return std::nullopt;
    }
    return number;
}

std::string joined(const std::vector<std::string>& words) {
    std::string text;
    for (const auto& word : words) {
        text += (text.empty() ? "" : " or ") + word;
    }
    return text;
}

}  // namespace

YAML::Node load_yaml(const std::string& file, std::vector<std::string>& errors) {
    try {
        auto document = YAML::LoadFile(file);
        return document.IsNull() ? YAML::Node(YAML::NodeType::Map) : document;
    } catch (const YAML::ParserException& error) {
        errors.push_back(file + ":" + std::to_string(error.mark.line + 1) + ": " + error.msg +
                         "; allowed: a YAML map");
    } catch (const YAML::BadFile&) {
        errors.push_back(file + ": cannot be read; allowed: a readable YAML file");
    }
    return YAML::Node(YAML::NodeType::Undefined);
}

settings_reader::settings_reader(const YAML::Node& map, std::string file,
                                 std::vector<std::string>& errors, std::string path)
    : map_(map), file_(std::move(file)), errors_(errors), path_(std::move(path)) {
    if (!map_.IsMap()) {
        report(map_, "(whole)", "a map of fields");
    }
}

void settings_reader::report(const YAML::Node& node, const std::string& field,
                             const std::string& allowed) {
    const auto line = (node.IsDefined() ? node.Mark().line : map_.Mark().line) + 1;
    errors_.push_back(file_ + ":" + std::to_string(line) + ": " + path_ + field + " is " +
                      shown(node) + "; allowed: " + allowed);
}

YAML::Node settings_reader::find(const char* field, bool required, const std::string& allowed) {
    known_.insert(field);
    auto node = map_.IsMap() ? map_[field] : YAML::Node(YAML::NodeType::Undefined);
    if (required && map_.IsMap() && !node.IsDefined()) {
        report(node, field, allowed);
    }
    return node;
}

void settings_reader::read(const char* field, std::string& value, bool required) {
    const auto node = find(field, required, "a text");
    if (!node.IsDefined()) {
        return;
    }
    if (!node.IsScalar()) {
        report(node, field, "a text");
        return;
    }
    value = node.Scalar();
}

void settings_reader::read(const char* field, bool& value) {
    const auto node = find(field, false, "true or false");
    if (!node.IsDefined()) {
        return;
    }
    if (!node.IsScalar() || (node.Scalar() != "true" && node.Scalar() != "false")) {
        report(node, field, "true or false");
        return;
    }
    value = node.Scalar() == "true";
}

void settings_reader::read(const char* field, std::uint64_t& value, std::uint64_t least,
                           std::uint64_t most) {
    const auto allowed = "a number from " + std::to_string(least) + " to " + std::to_string(most);
    const auto node = find(field, false, allowed);
    if (!node.IsDefined()) {
        return;
    }
    const auto number = number_in(node, least, most);
    if (!number) {
        report(node, field, allowed);
        return;
    }
    value = *number;
}

void settings_reader::read(const char* field, std::uint32_t& value, std::uint32_t least,
                           std::uint32_t most) {
    std::uint64_t number = value;
    read(field, number, least, most);
    value = static_cast<std::uint32_t>(number);
}

void settings_reader::read(const char* field, std::chrono::milliseconds& value,
                           std::chrono::milliseconds most) {
    auto number = static_cast<std::uint64_t>(value.count());
    read(field, number, 0, static_cast<std::uint64_t>(most.count()));
    value = std::chrono::milliseconds(number);
}

void settings_reader::read_address(const char* field, std::string& value, bool required) {
    const std::string allowed = "an IP number and a port, such as 127.0.0.1:0";
    const auto node = find(field, required, allowed);
    if (!node.IsDefined()) {
        return;
    }
    if (!node.IsScalar() || !adapters::parse_endpoint(node.Scalar())) {
        report(node, field, allowed);
        return;
    }
    value = node.Scalar();
}

void settings_reader::read_choice(const char* field, std::string& value,
                                  const std::vector<std::string>& allowed) {
    const auto node = find(field, true, joined(allowed));
    if (!node.IsDefined()) {
        return;
    }
    for (const auto& word : allowed) {
        if (node.IsScalar() && node.Scalar() == word) {
            value = word;
            return;
        }
    }
    report(node, field, joined(allowed));
}

YAML::Node settings_reader::read_sequence(const char* field) {
    auto node = find(field, false, "a list");
    if (node.IsDefined() && !node.IsSequence()) {
        report(node, field, "a list");
        return YAML::Node(YAML::NodeType::Undefined);
    }
    return node;
}

void settings_reader::finish() {
    if (!map_.IsMap()) {
        return;
    }
    for (const auto& entry : map_) {
        if (!entry.first.IsScalar() || known_.count(entry.first.Scalar()) == 0) {
            const std::string name = entry.first.IsScalar() ? entry.first.Scalar() : "(complex)";
            std::vector<std::string> names(known_.begin(), known_.end());
            errors_.push_back(file_ + ":" + std::to_string(entry.first.Mark().line + 1) + ": " +
                              path_ + name + " is no field here; allowed: " + joined(names));
        }
    }
}

}  // namespace mimosavalve::standins
