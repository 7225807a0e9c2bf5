#pragma once

#include <cstdint>
#include <sstream>
#include <stdexcept>
#include <string>
#include <string_view>
#include <vector>

#include "mimosavalve/check/history.hpp"
#include "mimosavalve/check/history_check.hpp"

namespace mimosavalve::check::testing {

/// A hand-made history: two status targets in one region and one in another.
inline std::string opening_lines() {
    return R"({"t_ns":1,"target":"t1","instance":11,"event":"open","service":"status","region":"bagmati","failure_domain":"bagmati-a"}
{"t_ns":1,"target":"t2","instance":22,"event":"open","service":"status","region":"bagmati","failure_domain":"bagmati-b"}
{"t_ns":1,"target":"t3","instance":33,"event":"open","service":"status","region":"gandaki","failure_domain":"gandaki-a"}
)";
}

struct event_line {
    std::int64_t at = 0;
    std::string target = "t1";
    std::string event = "start";
    std::string id = "r1.1";
    std::string fence = "1.1";
    std::string key = "/status/ward-1/k1";
    std::string idempotency_key{};
    std::string slot = "5";
};

inline std::string to_line(const event_line& line) {
    const auto instance = std::string(2, line.target.back());
    return R"({"t_ns":)" + std::to_string(line.at) + R"(,"target":")" + line.target +
           R"(","instance":)" + instance + R"(,"event":")" + line.event +
           R"(","service":"status","slot":)" + line.slot + R"(,"key":")" + line.key +
           R"(","account":"ward-1","fence":")" + line.fence + R"(","request_id":")" + line.id +
           R"(","idempotency_key":")" + line.idempotency_key + R"(","method":"GET"})" + "\n";
}

/// Start and end of one run.
inline std::string run_lines(event_line line, std::int64_t end) {
    auto text = to_line(line);
    line.at = end;
    line.event = "end";
    return text + to_line(line);
}

inline load::attempt_record good_attempt(const std::string& id) {
    load::attempt_record attempt;
    attempt.start_ns = 90;
    attempt.end_ns = 210;
    attempt.request_id = id;
    attempt.router = "127.0.0.1:1";
    attempt.method = "GET";
    attempt.path = "/status/ward-1/k1";
    attempt.account = "ward-1";
    attempt.status = 200;
    attempt.verdict = "ran";
    attempt.answered_id = id;
    return attempt;
}

/// Reads the lines; the test fails on any problem through the returned list.
inline history read_text(const std::string& text, std::vector<std::string>& problems) {
    history read;
    open_runs open;
    std::istringstream in(text);
    read_history(in, "small.jsonl", read, open, problems);
    finish_history(read, open, problems);
    return read;
}

inline std::vector<violation_kind> kinds_of(const std::string& text,
                                            const home_regions& homes = {}) {
    std::vector<std::string> problems;
    const auto read = read_text(text, problems);
    std::vector<violation_kind> kinds;
    if (!problems.empty()) {
        throw std::runtime_error(problems.front());
    }
    for (const auto& found : check_history(read, homes)) {
        kinds.push_back(found.kind);
    }
    return kinds;
}

}  // namespace mimosavalve::check::testing
