#pragma once

#include <yaml-cpp/yaml.h>

#include <cstdint>
#include <span>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace mimosavalve::load {

/// One reason why settings are refused.
struct settings_problem {
    std::string file;  ///< "command line" for a value that was given there.
    int line = 0;      ///< From 1; 0 when the field has no line.
    std::string field;
    std::string value;
    std::string allowed;
};

std::string to_string(const settings_problem& problem);

/// Value of a field that replaces the one of the file. Nested fields are not supported.
using settings_override = std::pair<std::string, std::string>;

/// Reads a YAML file; a file that can't be read or parsed adds a problem and gives an empty map.
YAML::Node load_settings_file(const std::string& file, std::span<const settings_override> overrides,
                              std::vector<settings_problem>& problems);

/// Reads the fields of one YAML map and collects all problems, so that a user sees them at once.
class settings_reader {
public:
    settings_reader(std::string file, const YAML::Node& map, std::string prefix,
                    std::vector<settings_problem>& problems);

    [[nodiscard]] bool has(const std::string& field) const;
    std::string text(const std::string& field, const std::string& fallback);
    std::string required_text(const std::string& field);
    std::string one_of(const std::string& field, std::span<const std::string_view> allowed,
                       const std::string& fallback);
    std::uint64_t whole(const std::string& field, std::uint64_t fallback, std::uint64_t least,
                        std::uint64_t most);
    double real(const std::string& field, double fallback, double least, double most);
    bool flag(const std::string& field, bool fallback);
    std::vector<std::string> texts(const std::string& field);
    settings_reader nested(const std::string& field);
    std::vector<settings_reader> nested_list(const std::string& field);

    /// Reports a value that was read but is impossible.
    void reject(const std::string& field, const std::string& allowed);
    /// Reports every field that was not read.
    void reject_unknown_fields();

private:
    YAML::Node find(const std::string& field);
    void add_problem(const std::string& field, const YAML::Node& node, const std::string& allowed);

    std::string file_;
    YAML::Node map_;
    std::string prefix_;
    std::vector<settings_problem>* problems_;
    std::vector<std::string> known_;
};

}  // namespace mimosavalve::load
