#pragma once

#include <yaml-cpp/yaml.h>

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "mimosavalve/config/names.hpp"
#include "mimosavalve/config/settings_fault.hpp"

namespace mimosavalve::config {

enum class presence {
    required,
    optional,
};

/// Spelling of a value of an enumeration.
template <typename Value>
struct choice {
    std::string_view name;
    Value value;
};

/// What the sections of one file share.
struct settings_context {
    std::string file;
    std::vector<settings_fault> faults;
    std::map<std::string, std::uint32_t> lines;  ///< Line of each field that was found.

    /// Adds a fault of a field that was read, on its line or on that of the nearest field above.
    void reject(std::string field, std::string value, std::string allowed);
};

/// Reads the fields of one mapping. Each `read_` function leaves `out` as it is when the field is
/// absent or has a fault, and lists the fault; `close` lists the fields that nobody asked for.
class settings_section {
public:
    settings_section(settings_context& context, std::string path, const YAML::Node& node,
                     std::uint32_t line);

    [[nodiscard]] bool has(std::string_view name) const { return find(name) != nullptr; }
    [[nodiscard]] std::string path_of(std::string_view name) const;

    void read_text(std::string_view name, presence need, std::string& out);
    void read_name(std::string_view name, presence need, std::string& out);
    void read_names(std::string_view name, presence need, std::vector<std::string>& out);
    void read_endpoint(std::string_view name, presence need, std::string& out);
    void read_flag(std::string_view name, presence need, bool& out);
    void read_number(std::string_view name, presence need, double least, double most, double& out);

    template <typename Integer>
    void read_integer(std::string_view name, presence need, Integer least, Integer most,
                      Integer& out) {
        std::uint64_t value = out;
        read_unsigned(name, need, least, most, value);
        out = static_cast<Integer>(value);
    }

    void read_milliseconds(std::string_view name, presence need, std::chrono::milliseconds least,
                           std::chrono::milliseconds most, std::chrono::milliseconds& out);

    template <typename Value>
    void read_choice(std::string_view name, presence need, std::span<const choice<Value>> choices,
                     Value& out) {
        std::vector<std::string_view> names;
        for (const auto& candidate : choices) {
            names.push_back(candidate.name);
        }
        const auto position = read_position(name, need, names);
        if (position < choices.size()) {
            out = choices[position].value;
        }
    }

    /// A mapping inside this one. When it is absent, the result has no fields.
    [[nodiscard]] settings_section section(std::string_view name, presence need);

    /// A list of mappings.
    [[nodiscard]] std::vector<settings_section> sections(std::string_view name, presence need);

    /// Lists a fault in the value of a field.
    void reject(std::string_view name, std::string_view allowed);

    /// Lists the unknown fields. Call it after the last field was read.
    void close();

private:
    struct field {
        std::string name;
        YAML::Node node;
        std::uint32_t line = 0;
    };

    [[nodiscard]] const field* find(std::string_view name) const;
    const field* request(std::string_view name, presence need, std::string_view allowed);
    const field* request_scalar(std::string_view name, presence need, std::string_view allowed);
    void add_fault(fault_kind kind, const field& where, std::string_view allowed);
    void read_unsigned(std::string_view name, presence need, std::uint64_t least,
                       std::uint64_t most, std::uint64_t& out);
    std::size_t read_position(std::string_view name, presence need,
                              std::span<const std::string_view> names);

    settings_context* context_;
    std::string path_;
    std::uint32_t line_;
    bool present_ = true;
    std::vector<field> fields_;
    std::vector<std::string> requested_;
};

/// Top mapping of a YAML text. A syntax error is listed as a fault and gives an empty section.
settings_section open_settings(settings_context& context, std::string_view text);

/// Whole text of a file; nothing, with a fault added, when it cannot be read.
std::optional<std::string> load_settings_text(const std::string& path,
                                              std::vector<settings_fault>& faults);

}  // namespace mimosavalve::config
