#include "mimosavalve/load/load_summary.hpp"

#include <iomanip>
#include <ostream>

namespace mimosavalve::load {

namespace detail {

double milliseconds_of(std::chrono::nanoseconds time) {
    return std::chrono::duration<double, std::milli>(time).count();
}

void print_outage(std::ostream& out, const std::string& title,
                  const outage_tracker::longest& outage) {
    out << title << ": " << milliseconds_of(std::chrono::nanoseconds(outage.nanoseconds)) << " ms";
    if (!outage.key.empty()) {
        out << " (" << outage.key << ")";
    }
    out << "\n";
}

}  // namespace detail

void add_attempt(load_summary& summary, const std::string& class_name,
                 const attempt_record& record) {
    auto& counts = summary.classes[class_name];
    ++counts.attempts;
    if (!record.error.empty()) {
        ++summary.errors[record.error];
    } else if (!is_good(record)) {
        const auto verdict = record.verdict.empty() ? "(no verdict)" : record.verdict;
        ++summary.refusals[verdict + " " + record.reason + " " + std::to_string(record.status)];
    }
    const bool foreign = !record.answered_id.empty() && record.answered_id != record.request_id;
    if (foreign || !record.body_matches) {
        ++counts.wrong;
    }
    if (is_good(record) || shows_outage(record)) {
        summary.outages.add(record.path, record.start_ns, record.end_ns, is_good(record));
    }
}

void add_request(load_summary& summary, const std::string& class_name,
                 const attempt_record& last_attempt, std::chrono::nanoseconds latency) {
    auto& counts = summary.classes[class_name];
    ++counts.sent;
    if (is_good(last_attempt)) {
        ++counts.answered;
        counts.latency.add(latency);
    } else {
        ++counts.failed;
    }
}

void print(std::ostream& out, const load_summary& summary, std::chrono::nanoseconds time) {
    out << std::fixed << std::setprecision(2);
    out << "class         sent  attempts  answered    failed     wrong    p50 ms    p99 ms  p99.9 "
           "ms\n";
    for (const auto& [name, counts] : summary.classes) {
        out << std::left << std::setw(10) << name << std::right << std::setw(8) << counts.sent
            << std::setw(10) << counts.attempts << std::setw(10) << counts.answered << std::setw(10)
            << counts.failed << std::setw(10) << counts.wrong;
        for (const auto share : {0.5, 0.99, 0.999}) {
            out << std::setw(10) << detail::milliseconds_of(counts.latency.quantile(share));
        }
        out << "\n";
    }
    for (const auto& [name, count] : summary.refusals) {
        out << "refused " << name << ": " << count << "\n";
    }
    for (const auto& [name, count] : summary.errors) {
        out << "no answer, " << name << ": " << count << "\n";
    }
    detail::print_outage(out, "longest unavailable time of a key", summary.outages.per_key());
    detail::print_outage(out, "longest unavailable time of all keys", summary.outages.over_all());
    out << "run time: " << detail::milliseconds_of(time) << " ms\n";
}

}  // namespace mimosavalve::load
