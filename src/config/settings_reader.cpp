#include "mimosavalve/config/settings_reader.hpp"

#include <algorithm>
#include <charconv>
#include <cmath>
#include <fstream>
#include <sstream>

namespace mimosavalve::config {

namespace detail {

// yaml-cpp marks quoted scalars with this tag; a quoted "4" is a text, not a number.
constexpr std::string_view quoted_tag = "!";

std::uint32_t line_of(const YAML::Mark& mark) {
    return mark.line < 0 ? 0 : static_cast<std::uint32_t>(mark.line) + 1;
}

std::string shown(const YAML::Node& node) {
    switch (node.Type()) {
        case YAML::NodeType::Scalar:
            return node.Scalar();
        case YAML::NodeType::Sequence:
            return "(list)";
        case YAML::NodeType::Map:
            return "(mapping)";
        default:
            return "";
    }
}

template <typename Number>
bool parse_whole(std::string_view text, Number& out) {
    const auto* end = text.data() + text.size();
    const auto [rest, failure] = std::from_chars(text.data(), end, out);
    return failure == std::errc{} && rest == end;
}

std::string decimal(double value) {
    std::ostringstream text;
    text << value;
    return text.str();
}

std::string joined(std::span<const std::string_view> names) {
    std::string text;
    for (const auto name : names) {
        text += (text.empty() ? "" : ", ") + std::string(name);
    }
    return text;
}

}  // namespace detail

void settings_context::reject(std::string field, std::string value, std::string allowed) {
    auto above = field;
    auto found = lines.find(above);
    while (found == lines.end() && !above.empty()) {
        const auto cut = above.find_last_of(".[");
        above.resize(cut == std::string::npos ? 0 : cut);
        found = lines.find(above);
    }
    const auto line = found == lines.end() ? 0 : found->second;
    faults.push_back({fault_kind::impossible_value, file, line, std::move(field), std::move(value),
                      std::move(allowed)});
}

settings_section::settings_section(settings_context& context, std::string path,
                                   const YAML::Node& node, std::uint32_t line)
    : context_(&context), path_(std::move(path)), line_(line), present_(node.IsMap()) {
    context.lines.emplace(path_, line);
    if (!present_) {
        return;
    }
    for (const auto& entry : node) {
        field next{detail::shown(entry.first), entry.second, detail::line_of(entry.first.Mark())};
        if (find(next.name) != nullptr) {
            add_fault(fault_kind::repeated_field, next, "each field once");
            continue;
        }
        context.lines.emplace(path_of(next.name), next.line);
        fields_.push_back(std::move(next));
    }
}

std::string settings_section::path_of(std::string_view name) const {
    return path_.empty() ? std::string(name) : path_ + "." + std::string(name);
}

const settings_section::field* settings_section::find(std::string_view name) const {
    const auto found = std::find_if(fields_.begin(), fields_.end(),
                                    [&](const field& each) { return each.name == name; });
    return found == fields_.end() ? nullptr : &*found;
}

void settings_section::add_fault(fault_kind kind, const field& where, std::string_view allowed) {
    context_->faults.push_back({kind, context_->file, where.line, path_of(where.name),
                                detail::shown(where.node), std::string(allowed)});
}

const settings_section::field* settings_section::request(std::string_view name, presence need,
                                                         std::string_view allowed) {
    requested_.emplace_back(name);
    const auto* found = find(name);
    if (found == nullptr && need == presence::required && present_) {
        context_->faults.push_back({fault_kind::missing_field, context_->file, line_, path_of(name),
                                    "", std::string(allowed)});
    }
    return found;
}

const settings_section::field* settings_section::request_scalar(std::string_view name,
                                                                presence need,
                                                                std::string_view allowed) {
    const auto* found = request(name, need, allowed);
    if (found != nullptr && !found->node.IsScalar()) {
        add_fault(fault_kind::wrong_type, *found, allowed);
        return nullptr;
    }
    return found;
}

void settings_section::read_text(std::string_view name, presence need, std::string& out) {
    constexpr std::string_view allowed = "a text that is not empty";
    if (const auto* found = request_scalar(name, need, allowed)) {
        if (found->node.Scalar().empty()) {
            add_fault(fault_kind::impossible_value, *found, allowed);
        } else {
            out = found->node.Scalar();
        }
    }
}

void settings_section::read_name(std::string_view name, presence need, std::string& out) {
    if (const auto* found = request_scalar(name, need, name_rule)) {
        if (is_name(found->node.Scalar())) {
            out = found->node.Scalar();
        } else {
            add_fault(fault_kind::impossible_value, *found, name_rule);
        }
    }
}

void settings_section::read_names(std::string_view name, presence need,
                                  std::vector<std::string>& out) {
    const auto allowed = "a list of names, each of " + std::string(name_rule);
    const auto* found = request(name, need, allowed);
    if (found == nullptr) {
        return;
    }
    if (!found->node.IsSequence()) {
        add_fault(fault_kind::wrong_type, *found, allowed);
        return;
    }
    std::vector<std::string> names;
    for (const YAML::Node& item : found->node) {
        const field where{std::string(name) + "[" + std::to_string(names.size()) + "]", item,
                          detail::line_of(item.Mark())};
        context_->lines.emplace(path_of(where.name), where.line);
        names.push_back(detail::shown(item));
        if (!item.IsScalar()) {
            add_fault(fault_kind::wrong_type, where, name_rule);
        } else if (!is_name(item.Scalar())) {
            add_fault(fault_kind::impossible_value, where, name_rule);
        }
    }
    out = std::move(names);
}

void settings_section::read_endpoint(std::string_view name, presence need, std::string& out) {
    if (const auto* found = request_scalar(name, need, endpoint_rule)) {
        if (is_endpoint(found->node.Scalar())) {
            out = found->node.Scalar();
        } else {
            add_fault(fault_kind::impossible_value, *found, endpoint_rule);
        }
    }
}

void settings_section::read_flag(std::string_view name, presence need, bool& out) {
    constexpr std::string_view allowed = "true or false";
    if (const auto* found = request_scalar(name, need, allowed)) {
        const auto& text = found->node.Scalar();
        const bool plain = found->node.Tag() != detail::quoted_tag;
        if (plain && (text == "true" || text == "false")) {
            out = text == "true";
        } else {
            add_fault(fault_kind::wrong_type, *found, allowed);
        }
    }
}

void settings_section::read_number(std::string_view name, presence need, double least, double most,
                                   double& out) {
    const auto allowed = "a number from " + detail::decimal(least) + " to " + detail::decimal(most);
    if (const auto* found = request_scalar(name, need, allowed)) {
        double value = 0;
        const bool plain = found->node.Tag() != detail::quoted_tag;
        if (!plain || !detail::parse_whole(found->node.Scalar(), value)) {
            add_fault(fault_kind::wrong_type, *found, allowed);
        } else if (!std::isfinite(value) || value < least || value > most) {
            add_fault(fault_kind::impossible_value, *found, allowed);
        } else {
            out = value;
        }
    }
}

void settings_section::read_unsigned(std::string_view name, presence need, std::uint64_t least,
                                     std::uint64_t most, std::uint64_t& out) {
    const auto allowed = "an integer from " + std::to_string(least) + " to " + std::to_string(most);
    if (const auto* found = request_scalar(name, need, allowed)) {
        std::int64_t value = 0;
        const bool plain = found->node.Tag() != detail::quoted_tag;
        if (!plain || !detail::parse_whole(found->node.Scalar(), value)) {
            add_fault(fault_kind::wrong_type, *found, allowed);
        } else if (value < 0 || static_cast<std::uint64_t>(value) < least ||
                   static_cast<std::uint64_t>(value) > most) {
            add_fault(fault_kind::impossible_value, *found, allowed);
        } else {
            out = static_cast<std::uint64_t>(value);
        }
    }
}

void settings_section::read_milliseconds(std::string_view name, presence need,
                                         std::chrono::milliseconds least,
                                         std::chrono::milliseconds most,
                                         std::chrono::milliseconds& out) {
    auto value = static_cast<std::uint64_t>(out.count());
    read_unsigned(name, need, static_cast<std::uint64_t>(least.count()),
                  static_cast<std::uint64_t>(most.count()), value);
    out = std::chrono::milliseconds(value);
}

std::size_t settings_section::read_position(std::string_view name, presence need,
                                            std::span<const std::string_view> names) {
    const auto allowed = detail::joined(names);
    const auto* found = request_scalar(name, need, allowed);
    if (found == nullptr) {
        return names.size();
    }
    const auto match = std::find(names.begin(), names.end(), found->node.Scalar());
    if (match == names.end()) {
        add_fault(fault_kind::impossible_value, *found, allowed);
    }
    return static_cast<std::size_t>(match - names.begin());
}

settings_section settings_section::section(std::string_view name, presence need) {
    constexpr std::string_view allowed = "a mapping";
    const auto* found = request(name, need, allowed);
    if (found == nullptr) {
        return {*context_, path_of(name), YAML::Node(), line_};
    }
    if (!found->node.IsMap()) {
        add_fault(fault_kind::wrong_type, *found, allowed);
    }
    return {*context_, path_of(name), found->node, found->line};
}

std::vector<settings_section> settings_section::sections(std::string_view name, presence need) {
    constexpr std::string_view allowed = "a list of mappings";
    std::vector<settings_section> items;
    const auto* found = request(name, need, allowed);
    if (found == nullptr) {
        return items;
    }
    if (!found->node.IsSequence()) {
        add_fault(fault_kind::wrong_type, *found, allowed);
        return items;
    }
    for (const YAML::Node& item : found->node) {
        const field where{std::string(name) + "[" + std::to_string(items.size()) + "]", item,
                          detail::line_of(item.Mark())};
        if (!item.IsMap()) {
            add_fault(fault_kind::wrong_type, where, "a mapping");
        }
        items.emplace_back(*context_, path_of(where.name), item, where.line);
    }
    return items;
}

void settings_section::reject(std::string_view name, std::string_view allowed) {
    const auto* found = find(name);
    context_->reject(path_of(name), found == nullptr ? "" : detail::shown(found->node),
                     std::string(allowed));
}

void settings_section::close() {
    std::vector<std::string_view> names(requested_.begin(), requested_.end());
    for (const auto& each : fields_) {
        if (std::find(names.begin(), names.end(), each.name) == names.end()) {
            add_fault(fault_kind::unknown_field, each, detail::joined(names));
        }
    }
}

settings_section open_settings(settings_context& context, std::string_view text) {
    YAML::Node root;
    try {
        root = YAML::Load(std::string(text));
        if (!root.IsMap()) {
            context.faults.push_back({fault_kind::wrong_type, context.file, 1, "",
                                      detail::shown(root), "a mapping of fields"});
        }
        return {context, "", root, 1};
    } catch (const YAML::Exception& error) {
        context.faults.push_back({fault_kind::syntax, context.file, detail::line_of(error.mark), "",
                                  error.msg, "a YAML mapping"});
    }
    return {context, "", YAML::Node(), 1};
}

std::optional<std::string> load_settings_text(const std::string& path,
                                              std::vector<settings_fault>& faults) {
    std::ifstream file(path, std::ios::binary);
    std::ostringstream content;
    content << file.rdbuf();
    if (!file) {
        faults.push_back({fault_kind::unreadable_file, path, 0, "", "", "a readable YAML file"});
        return std::nullopt;
    }
    return content.str();
}

}  // namespace mimosavalve::config
