#include "mimosavalve/command/result.hpp"

#include <algorithm>
#include <array>
#include <nlohmann/json.hpp>

namespace mimosavalve::command {

namespace detail {

constexpr std::array<std::string_view, 5> outcome_names{"done", "refused", "bad-command",
                                                        "unreachable", "may-have-run"};
constexpr std::array<unsigned, 5> http_statuses{200, 409, 400, 503, 504};

// Invalid UTF-8 in an id is shown with a replacement character; it must not make the answer fail.
std::string dumped(const nlohmann::ordered_json& value) {
    return value.dump(-1, ' ', false, nlohmann::ordered_json::error_handler_t::replace);
}

std::string shown(const cell& value) {
    if (const auto* text = std::get_if<std::string>(&value)) {
        return text->empty() ? "-" : *text;
    }
    if (const auto* flag = std::get_if<bool>(&value)) {
        return *flag ? "yes" : "no";
    }
    return std::visit([](const auto& each) { return dumped(each); }, value);
}

std::string line_of(const std::vector<std::string>& cells, const std::vector<std::size_t>& widths) {
    std::string line;
    for (std::size_t index = 0; index < cells.size(); ++index) {
        line += cells[index];
        if (index + 1 < cells.size()) {
            line += std::string(widths[index] - cells[index].size() + 2, ' ');
        }
    }
    return line + "\n";
}

std::string aligned(const table& content) {
    std::vector<std::vector<std::string>> lines{content.columns};
    for (const auto& row : content.rows) {
        auto& line = lines.emplace_back();
        std::transform(row.begin(), row.end(), std::back_inserter(line), shown);
    }
    std::vector<std::size_t> widths(content.columns.size());
    for (const auto& line : lines) {
        for (std::size_t index = 0; index < line.size(); ++index) {
            widths[index] = std::max(widths[index], line[index].size());
        }
    }
    std::string text;
    for (const auto& line : lines) {
        text += line_of(line, widths);
    }
    return text;
}

}  // namespace detail

std::string_view to_string(outcome how) {
    return detail::outcome_names.at(static_cast<std::size_t>(how));
}

outcome outcome_of(std::string_view name) {
    const auto found = std::find(detail::outcome_names.begin(), detail::outcome_names.end(), name);
    return found == detail::outcome_names.end()
               ? outcome::may_have_run
               : static_cast<outcome>(found - detail::outcome_names.begin());
}

unsigned http_status_of(outcome how) {
    return detail::http_statuses.at(static_cast<std::size_t>(how));
}

std::string to_table(const command_result& result) {
    std::string text = result.message;
    if (!text.empty() && text.back() != '\n') {
        text += '\n';
    }
    if (!result.content.columns.empty()) {
        text += detail::aligned(result.content);
    }
    return text;
}

std::string to_json(const command_result& result) {
    nlohmann::ordered_json out;
    out["outcome"] = to_string(result.how);
    out["message"] = result.message;
    if (result.version != 0) {
        out["version"] = result.version;
    }
    if (!result.id.empty()) {
        out["id"] = result.id;
    }
    if (!result.content.columns.empty()) {
        auto& rows = out["rows"] = nlohmann::ordered_json::array();
        for (const auto& row : result.content.rows) {
            nlohmann::ordered_json object;
            for (std::size_t index = 0; index < row.size(); ++index) {
                std::visit([&](const auto& each) { object[result.content.columns[index]] = each; },
                           row[index]);
            }
            rows.push_back(std::move(object));
        }
    }
    return detail::dumped(out) + "\n";
}

}  // namespace mimosavalve::command
