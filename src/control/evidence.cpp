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

/// Targets of the own region from the held states and, for new ones, the host list.
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

/// The routers with the highest rendezvous hash, the best one of another failure domain first.
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

/// A leader probes itself what is not active yet, and what no router has seen lately: the chosen
/// probers may all be gone.
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
    auto& seen = self.evidence[id];
    seen.probing = false;
    const auto& intervals = self.settings.intervals;
    if (error) {
        ++seen.consecutive_failures;
        seen.failing_since = seen.failing_since.value_or(sent);
        seen.next_probe = std::max(now_of(self), sent + intervals.failed_probe_interval);
        return;
    }
    ++seen.successes;
    seen.consecutive_failures = 0;
    seen.failing_since.reset();
    seen.last_success = now_of(self);
    seen.instance = result.instance;
    seen.load = result.load;
    seen.leaving = result.leaving;
}

void send_probe(control_state& self, const probe_candidate& target, steady_time now) {
    const auto& intervals = self.settings.intervals;
    auto& seen = self.evidence[target.id];
    seen.probing = true;
    seen.next_probe = now + intervals.probe_interval;
    auto done = [&self, id = target.id, sent = now](std::error_code error,
                                                    const ports::probe_result& result) {
        finish_probe(self, id, sent, error, result);
    };
    self.ports.targets.probe(target.address, now + intervals.probe_timeout, guarded(self, done));
}

}  // namespace

void record_traffic(control_state& self, const traffic_report& report) {
    for (const auto& from : report.evidence) {
        auto& seen = self.evidence[from.target];
        seen.successes += from.successes;
        seen.load = from.load;
        seen.cold = seen.cold || from.cold;
        if (from.instance != 0) {
            seen.instance = from.instance;
        }
        if (from.successes > 0) {
            seen.last_success = now_of(self);
        }
        if (from.consecutive_failures == 0) {
            seen.consecutive_failures = 0;
            seen.failing_since.reset();
        } else {
            seen.consecutive_failures += from.consecutive_failures;
            const auto since = from.failing_since;
            const bool restart = !seen.failing_since || from.successes > 0;
            seen.failing_since = restart ? since : std::min(*seen.failing_since, since);
        }
    }
    self.slot_load.insert(self.slot_load.end(), report.slots.begin(), report.slots.end());
}

void add_evidence(const control_state& self, wire::ShardRenewal& out, steady_time now) {
    for (const auto& [id, seen] : self.evidence) {
        if (seen.successes == 0 && !seen.failing_since) {
            continue;
        }
        auto& entry = *out.add_evidence();
        entry.set_target(id);
        entry.set_successes(seen.successes);
        entry.set_consecutive_failures(seen.failing_since ? std::max(1U, seen.consecutive_failures)
                                                          : 0);
        if (seen.failing_since) {
            const auto since = std::chrono::duration_cast<milliseconds>(now - *seen.failing_since);
            entry.set_failing_for_ms(
                static_cast<std::uint64_t>(std::max(since, milliseconds(0)).count()));
        }
        entry.set_instance(seen.instance);
        entry.set_load(seen.load);
        entry.set_cold(seen.cold);
        entry.set_leaving(seen.leaving);
    }
}

void reset_reported_evidence(control_state& self) {
    for (auto& [id, seen] : self.evidence) {
        seen.successes = 0;
        seen.cold = false;
    }
}

void receive_evidence(control_state& self, leadership& leader, const wire::Envelope& message,
                      const wire::ShardRenewal& renewal, steady_time now) {
    const auto router = ownership::from_wire(message.sender());
    const bool own = router == self.settings.self;
    for (const auto& from : renewal.evidence()) {
        target_observation seen;
        seen.target = from.target();
        seen.router = router;
        seen.failure_domain = message.renew_request().failure_domain();
        seen.received = now;
        const auto failing = milliseconds(from.failing_for_ms());
        if (from.consecutive_failures() > 0) {
            seen.failing_since = now - failing;
        }
        if (from.successes() > 0) {
            seen.last_success = seen.failing_since.value_or(now);
        }
        record_observation(leader.losses, std::move(seen));
        const bool answered = from.successes() > 0 && from.consecutive_failures() == 0;
        if (!answered || from.instance() == 0) {
            continue;
        }
        auto& known = leader.reported_targets[from.target()];
        known.instance = from.instance();
        known.leaving = from.leaving();
        known.cold = known.cold || from.cold();
        if (own) {
            known.own_success = now;
        }
    }
    for (const auto& load : renewal.slot_load()) {
        leader.slot_load.push_back({load.service(), load.slot(), load.requests()});
    }
}

void tick_probes(control_state& self, steady_time now) {
    const auto routers = routers_of_region(self);
    for (const auto& target : probe_candidates(self)) {
        const auto& seen = self.evidence[target.id];
        if (seen.probing || now < seen.next_probe) {
            continue;
        }
        const bool quiet = !seen.last_success ||
                           now - *seen.last_success >= self.settings.intervals.probe_interval;
        if (seen.failing_since || leader_must_probe(self, target.id, now) ||
            (quiet && is_chosen_prober(self, target, routers))) {
            send_probe(self, target, now);
        }
    }
}

}  // namespace mimosavalve::control::detail
