#include "control/evidence.hpp"

#include <algorithm>
#include <set>

#include "control/leader_role.hpp"
#include "mimosavalve/ownership/slot.hpp"
#include "ownership/shard_state_codec.hpp"

namespace mimosavalve::control::detail {

namespace {

struct probe_candidate {
    std::string id;
    std::string address;
    std::string failure_domain;
};

struct probing_router {
    std::string host;
    std::string failure_domain;

    auto operator<=>(const probing_router&) const = default;
};

/// Returns the targets of this daemon's region: those of the held states and, for new targets,
/// those of the host list.
std::vector<probe_candidate> probe_candidates(const control_state& self) {
    std::map<std::string, probe_candidate> result;
    for (const auto& host : self.listed_hosts) {
        if (host.role == "target" && host.region == self.settings.region) {
            result[host.id] = {host.id, host.address, host.failure_domain};
        }
    }
    for (const auto& [id, entry] : self.shards) {
        if (!entry.leader || !entry.state) {
            continue;
        }
        for (const auto& target : entry.state->targets) {
            result[target.id] = {target.id, target.address, target.failure_domain};
        }
    }
    std::vector<probe_candidate> list;
    list.reserve(result.size());
    for (auto& [id, candidate] : result) {
        list.push_back(std::move(candidate));
    }
    return list;
}

std::vector<probing_router> routers_of_region(const control_state& self) {
    std::set<probing_router> result{{self.settings.self.host, self.settings.failure_domain}};
    for (const auto& host : self.listed_hosts) {
        if (host.role == "router" && host.region == self.settings.region) {
            result.insert({host.id, host.failure_domain});
        }
    }
    return {result.begin(), result.end()};
}

/// Whether this daemon is among the routers that probe the target: the router outside the target's
/// failure domain with the highest rendezvous hash, then the others in order of their hashes.
bool is_chosen_prober(const control_state& self, const probe_candidate& target,
                      std::vector<probing_router> routers) {
    const auto weight = [&](const probing_router& router) {
        return ownership::hash_of(target.id + "/" + router.host);
    };
    std::sort(routers.begin(), routers.end(),
              [&](const auto& left, const auto& right) { return weight(left) > weight(right); });
    const auto outside = std::find_if(routers.begin(), routers.end(), [&](const auto& router) {
        return router.failure_domain != target.failure_domain;
    });
    if (outside != routers.end()) {
        std::rotate(routers.begin(), outside, outside + 1);
    }
    const auto chosen =
        std::min<std::size_t>(routers.size(), self.settings.intervals.probers_per_target);
    return std::any_of(routers.begin(), routers.begin() + static_cast<std::ptrdiff_t>(chosen),
                       [&](const auto& router) { return router.host == self.settings.self.host; });
}

/// Whether this daemon must probe the target because it leads a shard in which the target is not
/// active, or in which no router has recently reported a success: the chosen probers may all have
/// stopped.
bool leader_must_probe(const control_state& self, const std::string& target, steady_time now) {
    for (const auto& [id, entry] : self.shards) {
        if (!is_leading(self, entry)) {
            continue;
        }
        const auto* known = ownership::find_target(*entry.state, target);
        const bool active =
            known != nullptr && known->condition == ownership::target_condition::active;
        const auto success = last_success(entry.leader->losses, target);
        if (!active || !success || now - *success > 2 * self.settings.intervals.probe_interval) {
            return true;
        }
    }
    return false;
}

void finish_probe(control_state& self, const std::string& id, steady_time sent,
                  std::error_code error, const ports::probe_result& result) {
    auto& evidence = self.evidence[id];
    evidence.probing = false;
    const auto& intervals = self.settings.intervals;
    if (error) {
        ++evidence.consecutive_failures;
        evidence.failing_since = evidence.failing_since.value_or(sent);
        evidence.next_probe = std::max(now_of(self), sent + intervals.failed_probe_interval);
        return;
    }
    ++evidence.successes;
    evidence.consecutive_failures = 0;
    evidence.failing_since.reset();
    evidence.last_success = now_of(self);
    evidence.instance = result.instance;
    evidence.load = result.load;
    evidence.leaving = result.leaving;
}

void send_probe(control_state& self, const probe_candidate& target, steady_time now) {
    const auto& intervals = self.settings.intervals;
    auto& evidence = self.evidence[target.id];
    evidence.probing = true;
    evidence.next_probe = now + intervals.probe_interval;
    auto done = [&self, id = target.id, sent = now](std::error_code error,
                                                    const ports::probe_result& result) {
        finish_probe(self, id, sent, error, result);
    };
    self.ports.targets.probe(target.address, now + intervals.probe_timeout, guarded(self, done));
}

}  // namespace

void record_traffic(control_state& self, const traffic_report& report) {
    for (const auto& from : report.evidence) {
        auto& evidence = self.evidence[from.target];
        evidence.successes += from.successes;
        evidence.load = from.load;
        evidence.cold = evidence.cold || from.cold;
        if (from.instance != 0) {
            evidence.instance = from.instance;
        }
        if (from.successes > 0) {
            evidence.last_success = now_of(self);
        }
        if (from.consecutive_failures == 0) {
            evidence.consecutive_failures = 0;
            evidence.failing_since.reset();
        } else {
            evidence.consecutive_failures += from.consecutive_failures;
            const auto since = from.failing_since;
            const bool new_series = !evidence.failing_since || from.successes > 0;
            evidence.failing_since = new_series ? since : std::min(*evidence.failing_since, since);
        }
    }
    self.slot_load.insert(self.slot_load.end(), report.slots.begin(), report.slots.end());
}

void add_evidence(const control_state& self, wire::ShardRenewal& out, steady_time now) {
    for (const auto& [id, evidence] : self.evidence) {
        if (evidence.successes == 0 && !evidence.failing_since) {
            continue;
        }
        auto& entry = *out.add_evidence();
        entry.set_target(id);
        entry.set_successes(evidence.successes);
        entry.set_consecutive_failures(
            evidence.failing_since ? std::max(1U, evidence.consecutive_failures) : 0);
        if (evidence.failing_since) {
            const auto since =
                std::chrono::duration_cast<milliseconds>(now - *evidence.failing_since);
            entry.set_failing_for_ms(
                static_cast<std::uint64_t>(std::max(since, milliseconds(0)).count()));
        }
        entry.set_instance(evidence.instance);
        entry.set_load(evidence.load);
        entry.set_cold(evidence.cold);
        entry.set_leaving(evidence.leaving);
    }
}

void reset_reported_evidence(control_state& self) {
    for (auto& [id, evidence] : self.evidence) {
        evidence.successes = 0;
        evidence.cold = false;
    }
}

void receive_evidence(control_state& self, leadership& leader, const wire::Envelope& message,
                      const wire::ShardRenewal& renewal, steady_time now) {
    const auto router = ownership::from_wire(message.sender());
    const bool own = router == self.settings.self;
    for (const auto& from : renewal.evidence()) {
        target_observation observation;
        observation.target = from.target();
        observation.router = router;
        observation.failure_domain = message.renew_request().failure_domain();
        observation.received = now;
        const auto failing = milliseconds(from.failing_for_ms());
        if (from.consecutive_failures() > 0) {
            observation.failing_since = now - failing;
        }
        if (from.successes() > 0) {
            // The last success came before the current failures, so no later than their start.
            observation.last_success = observation.failing_since.value_or(now);
        }
        record_observation(leader.losses, std::move(observation));
        const bool answered = from.successes() > 0 && from.consecutive_failures() == 0;
        if (!answered || from.instance() == 0) {
            continue;
        }
        auto& reported = leader.reported_targets[from.target()];
        reported.instance = from.instance();
        reported.leaving = from.leaving();
        reported.cold = reported.cold || from.cold();
        if (own) {
            reported.own_success = now;
        }
    }
    for (const auto& load : renewal.slot_load()) {
        leader.slot_load.push_back({load.service(), load.slot(), load.requests()});
    }
}

void tick_probes(control_state& self, steady_time now) {
    const auto routers = routers_of_region(self);
    for (const auto& target : probe_candidates(self)) {
        const auto& evidence = self.evidence[target.id];
        if (evidence.probing || now < evidence.next_probe) {
            continue;
        }
        const bool lacks_recent_success =
            !evidence.last_success ||
            now - *evidence.last_success >= self.settings.intervals.probe_interval;
        if (evidence.failing_since || leader_must_probe(self, target.id, now) ||
            (lacks_recent_success && is_chosen_prober(self, target, routers))) {
            send_probe(self, target, now);
        }
    }
}

}  // namespace mimosavalve::control::detail
