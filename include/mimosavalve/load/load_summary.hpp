#pragma once

#include <chrono>
#include <cstdint>
#include <iosfwd>
#include <map>
#include <string>

#include "mimosavalve/load/attempt_record.hpp"
#include "mimosavalve/load/latency_histogram.hpp"
#include "mimosavalve/load/outage_tracker.hpp"

namespace mimosavalve::load {

/// Counts of one class of requests.
struct class_summary {
    std::uint64_t sent = 0;      ///< Requests, without repeats.
    std::uint64_t attempts = 0;  ///< With repeats.
    std::uint64_t answered = 0;  ///< Requests with a 2xx answer in the end.
    std::uint64_t failed = 0;    ///< Requests without one.
    std::uint64_t wrong = 0;     ///< Answers that belong to another request.
    latency_histogram latency;   ///< Of answered requests, from their arrival.
};

/// What the load program prints at its end.
struct load_summary {
    std::map<std::string, class_summary> classes;
    std::map<std::string, std::uint64_t> refusals;  ///< Attempts by "verdict reason status".
    std::map<std::string, std::uint64_t> errors;    ///< Attempts without a whole answer, by error.
    outage_tracker outages;
};

void add_attempt(load_summary& summary, const std::string& class_name,
                 const attempt_record& record);
void add_request(load_summary& summary, const std::string& class_name,
                 const attempt_record& last_attempt, std::chrono::nanoseconds latency);
void print(std::ostream& out, const load_summary& summary, std::chrono::nanoseconds time);

}  // namespace mimosavalve::load
