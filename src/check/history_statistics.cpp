#include "mimosavalve/check/history_statistics.hpp"

#include <algorithm>
#include <iomanip>
#include <ostream>

namespace mimosavalve::check {

namespace detail {

struct moving_slot {
    std::string region;
    std::string service;
    ownership::slot_number slot = 0;
    auto operator<=>(const moving_slot&) const = default;
};

void measure_attempts(const history& measured, history_statistics& statistics) {
    for (const auto& attempt : measured.attempts) {
        const bool good = load::is_good(attempt);
        ++statistics.attempts;
        ++(good                  ? statistics.answered
           : attempt.status == 0 ? statistics.unanswered
                                 : statistics.refused);
        if (good || load::shows_outage(attempt)) {
            statistics.outages.add(attempt.path, attempt.start_ns, attempt.end_ns, good);
        }
    }
    if (!measured.attempts.empty()) {
        statistics.outages.finish(measured.attempts.back().end_ns);
    }
}

void measure_moves(const history& measured, history_statistics& statistics) {
    std::map<moving_slot, std::string> owners;
    for (const auto& run : measured.runs) {
        if (!run.slot) {
            continue;
        }
        const auto& region = measured.targets.at(run.target).region;
        auto& owner = owners[{region, run.service, *run.slot}];
        if (!owner.empty() && owner != run.target) {
            ++statistics.owners_moved;
        }
        owner = run.target;
    }
}

void measure_balance(const history& measured, history_statistics& statistics) {
    std::map<std::string, std::uint64_t> starts;
    for (const auto& run : measured.runs) {
        ++starts[run.target];
    }
    for (const auto& [name, target] : measured.targets) {
        auto& balance = statistics.services[target.region + "/" + target.service];
        ++balance.targets;
        balance.starts += starts[name];
        balance.most_starts = std::max(balance.most_starts, starts[name]);
    }
}

double milliseconds_of(std::int64_t nanoseconds) {
    return static_cast<double>(nanoseconds) / 1e6;
}

}  // namespace detail

double service_balance::imbalance() const {
    if (starts == 0) {
        return 0;
    }
    return static_cast<double>(most_starts) * static_cast<double>(targets) /
           static_cast<double>(starts);
}

history_statistics measure_history(const history& measured) {
    history_statistics statistics;
    statistics.starts = measured.runs.size();
    detail::measure_attempts(measured, statistics);
    detail::measure_moves(measured, statistics);
    detail::measure_balance(measured, statistics);
    return statistics;
}

void print(std::ostream& out, const history_statistics& statistics) {
    const auto& per_key = statistics.outages.per_key();
    out << std::fixed << std::setprecision(2);
    out << "attempts: " << statistics.attempts << " (answered " << statistics.answered
        << ", refused " << statistics.refused << ", without answer " << statistics.unanswered
        << ")\n";
    out << "starts on targets: " << statistics.starts << "\n";
    out << "owners moved: " << statistics.owners_moved << "\n";
    out << "longest unavailable time of a key: " << detail::milliseconds_of(per_key.nanoseconds)
        << " ms";
    if (!per_key.key.empty()) {
        out << " (" << per_key.key << ", since " << per_key.since << " ns)";
    }
    out << "\nlongest unavailable time of all keys: "
        << detail::milliseconds_of(statistics.outages.over_all().nanoseconds) << " ms\n";
    for (const auto& [name, balance] : statistics.services) {
        out << "imbalance of " << name << ": " << balance.imbalance() << " over " << balance.targets
            << " targets, " << balance.starts << " starts\n";
    }
}

}  // namespace mimosavalve::check
