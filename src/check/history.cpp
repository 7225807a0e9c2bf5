#include "mimosavalve/check/history.hpp"

#include <algorithm>
#include <nlohmann/json.hpp>

#include "mimosavalve/standins/target_rules.hpp"

namespace mimosavalve::check {

namespace detail {

using nlohmann::json;

std::string text_or_empty(const json& line, const char* field) {
    const auto found = line.find(field);
    return found == line.end() || found->is_null() ? std::string() : found->get<std::string>();
}

std::optional<version> fence_of(const json& line) {
    const auto text = text_or_empty(line, "fence");
    const auto fence = standins::parse_fence(text);
    if (!text.empty() && !fence) {
        throw std::invalid_argument("fence");
    }
    return fence;
}

target_run run_of(const json& line) {
    target_run run;
    line.at("t_ns").get_to(run.start_ns);
    line.at("target").get_to(run.target);
    line.at("instance").get_to(run.instance);
    line.at("service").get_to(run.service);
    line.at("key").get_to(run.path);
    line.at("request_id").get_to(run.request_id);
    const auto& slot = line.at("slot");
    if (!slot.is_null()) {
        run.slot = slot.get<ownership::slot_number>();
    }
    run.account = text_or_empty(line, "account");
    run.fence = fence_of(line);
    run.idempotency_key = text_or_empty(line, "idempotency_key");
    run.end_ns = run.start_ns;
    return run;
}

void end_run(const json& line, const open_runs::instance_key& source, history& into,
             open_runs& open) {
    const auto request_id = line.at("request_id").get<std::string>();
    const auto found = open.by_request.find({source.target, source.instance, request_id});
    if (found == open.by_request.end()) {
        throw std::invalid_argument("end without start");
    }
    into.runs.at(found->second.front()).end_ns = line.at("t_ns").get<std::int64_t>();
    found->second.erase(found->second.begin());
    if (found->second.empty()) {
        open.by_request.erase(found);
    }
}

void read_target_line(const json& line, history& into, open_runs& open) {
    const auto event = line.at("event").get<std::string>();
    const open_runs::instance_key source{line.at("target").get<std::string>(),
                                         line.at("instance").get<std::uint64_t>()};
    const auto at = line.at("t_ns").get<std::int64_t>();
    auto& last_seen = open.last_seen[source];
    last_seen = std::max(last_seen, at);
    if (event == "open") {
        into.targets[source.target] = {line.at("service").get<std::string>(),
                                       line.at("region").get<std::string>(),
                                       line.at("failure_domain").get<std::string>()};
    } else if (event == "start") {
        auto run = run_of(line);
        open.by_request[{run.target, run.instance, run.request_id}].push_back(into.runs.size());
        into.runs.push_back(std::move(run));
    } else if (event == "end" || event == "cancel") {
        end_run(line, source, into, open);
    } else if (event == "pause") {
        into.pauses.push_back(
            {source.target, source.instance, line.at("from_ns").get<std::int64_t>(), at});
    } else {
        throw std::invalid_argument("event");
    }
}

// Throws when the line is neither a whole target event nor a whole attempt.
void read_line(const std::string& text, history& into, open_runs& open) {
    const auto line = json::parse(text);
    if (line.contains("event")) {
        read_target_line(line, into, open);
        return;
    }
    auto attempt = load::parse_attempt(text);
    if (!attempt) {
        throw std::invalid_argument("attempt");
    }
    into.attempts.push_back(std::move(*attempt));
}

}  // namespace detail

void read_history(std::istream& in, const std::string& file, history& into, open_runs& open,
                  std::vector<std::string>& problems) {
    std::string text;
    for (std::size_t number = 1; std::getline(in, text); ++number) {
        const bool cut = in.eof();
        try {
            detail::read_line(text, into, open);
        } catch (const std::exception& failure) {
            if (!cut) {
                problems.push_back(file + ":" + std::to_string(number) +
                                   ": not a line of a target or load history (" + failure.what() +
                                   ")");
            }
        }
    }
}

void finish_history(history& into, const open_runs& open, std::vector<std::string>& problems) {
    for (const auto& [key, indices] : open.by_request) {
        for (const auto index : indices) {
            auto& run = into.runs.at(index);
            run.end_ns = open.last_seen.at({run.target, run.instance});
        }
    }
    std::stable_sort(into.runs.begin(), into.runs.end(), [](const auto& left, const auto& right) {
        return left.start_ns < right.start_ns;
    });
    std::stable_sort(
        into.attempts.begin(), into.attempts.end(),
        [](const auto& left, const auto& right) { return left.end_ns < right.end_ns; });
    for (const auto& run : into.runs) {
        if (!into.targets.contains(run.target)) {
            problems.push_back("target '" + run.target +
                               "': its history has no line with event \"open\"");
            return;
        }
    }
}

path_key path_key_of(std::string_view path) {
    const auto account = path.find('/', 1);
    if (path.empty() || account == std::string_view::npos) {
        return {};
    }
    const auto id = path.find('/', account + 1);
    if (id == std::string_view::npos) {
        return {};
    }
    return {std::string(path.substr(account + 1, id - account - 1)),
            std::string(path.substr(id + 1))};
}

}  // namespace mimosavalve::check
