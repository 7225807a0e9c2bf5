#pragma once

#include <chrono>
#include <cstdint>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace YAML {  // NOLINT(readability-identifier-naming): named by yaml-cpp
class Node;
}

namespace mimosavalve::standins {

/// Parses a YAML file; a missing file or a syntax fault is added to `errors`. An empty file is an
/// empty map.
YAML::Node load_yaml(const std::string& file, std::vector<std::string>& errors);

/// Reads the fields of one YAML map and collects every fault: unknown, missing, mistyped or
/// impossible fields, each with file, line, field, value and what is allowed.
class settings_reader {
public:
    /// `path` names the map inside the file, for instance "hosts[2]."; empty for the whole file.
    settings_reader(const YAML::Node& map, std::string file, std::vector<std::string>& errors,
                    std::string path = {});

    /// Optional fields keep their value when they are missing.
    void read(const char* field, std::string& value, bool required = false);
    void read(const char* field, bool& value);
    void read(const char* field, std::uint64_t& value, std::uint64_t least, std::uint64_t most);
    void read(const char* field, std::uint32_t& value, std::uint32_t least, std::uint32_t most);
    void read(const char* field, std::chrono::milliseconds& value, std::chrono::milliseconds most);

    /// "ip:port" with an IP number.
    void read_address(const char* field, std::string& value, bool required = false);

    /// A text that is one of `allowed`.
    void read_choice(const char* field, std::string& value,
                     const std::vector<std::string>& allowed);

    /// A field that the caller reads itself; reported when missing or no sequence.
    YAML::Node read_sequence(const char* field);

    /// Reports all fields that were not read. To be called last.
    void finish();

private:
    void report(const YAML::Node& node, const std::string& field, const std::string& allowed);
    YAML::Node find(const char* field, bool required, const std::string& allowed);

    const YAML::Node& map_;
    std::string file_;
    std::vector<std::string>& errors_;
    std::string path_;
    std::set<std::string> known_;
};

}  // namespace mimosavalve::standins
