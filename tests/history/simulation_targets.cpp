#include <algorithm>

#include "history/simulation.hpp"

namespace mimosavalve::test {

void simulation::kill_target(std::size_t index) {
    auto& target = targets[index];
    target.alive = false;
    target.frozen = false;
    target.granted.clear();
    target.revoked_below.clear();
    target.held_back.clear();
}

void simulation::start_target(std::size_t index) {
    auto& target = targets[index];
    if (!target.alive) {
        target.alive = true;
        ++target.instance;
    }
}

void simulation::freeze_target(std::size_t index) {
    targets[index].frozen = targets[index].alive;
}

void simulation::unfreeze_target(std::size_t index) {
    auto& target = targets[index];
    target.frozen = false;
    auto inputs = std::move(target.held_back);
    target.held_back.clear();
    for (auto& input : inputs) {
        input();
    }
}

void simulation::target_operation(sim_host& host, const std::string& address, steady_time deadline,
                                  const std::function<std::function<void()>(sim_target&)>& effect,
                                  const std::function<void(std::error_code)>& failed) {
    const auto end = true_time(host, deadline);
    const auto index = host.index;
    const auto instance = host.instance;
    auto answered = std::make_shared<bool>(false);
    const auto answer = [this, index, instance, answered](std::function<void()> call) {
        if (!*answered) {
            *answered = true;
            deliver(index, instance, std::move(call));
        }
    };
    clock_.at(end, [answer, failed] { answer([failed] { failed(errc::target_unreachable); }); });
    auto target = std::find_if(targets.begin(), targets.end(),
                               [&](const sim_target& entry) { return entry.address == address; });
    const bool reachable = target != targets.end() && !host.isolated &&
                           connected(host.settings.failure_domain, target->failure_domain);
    if (!reachable) {
        return;
    }
    const auto position = static_cast<std::size_t>(target - targets.begin());
    clock_.after(random_delay(), [this, position, end, effect, failed, answer] {
        auto& entry = targets[position];
        if (!entry.alive) {
            answer([failed] { failed(errc::target_unreachable); });
            return;
        }
        auto work = [this, position, end, effect, answer] {
            if (clock_.now() > end || !targets[position].alive) {
                return;
            }
            auto call = effect(targets[position]);
            clock_.after(random_delay(), [answer, call] { answer(call); });
        };
        if (entry.frozen) {
            entry.held_back.push_back(work);
        } else {
            work();
        }
    });
}

ports::target_control simulation::targets_for(sim_host& owner) {
    ports::target_control control;
    const auto index = owner.index;
    control.grant = [this, index](
                        const std::string& address, const std::vector<ports::slot_grant>& grants,
                        steady_time deadline, const ports::target_control::done_handler& done) {
        target_operation(
            hosts[index], address, deadline,
            [this, grants, done](sim_target& target) -> std::function<void()> {
                std::error_code result;
                for (const auto& grant : grants) {
                    for (auto slot = grant.first_slot; slot < grant.first_slot + grant.count;
                         ++slot) {
                        const bool stale =
                            target.checks_fence && (target.granted[slot] > grant.fence ||
                                                    target.revoked_below[slot] > grant.fence);
                        if (stale) {
                            result = errc::target_refused;
                            continue;
                        }
                        check_grant(target, grant.service, slot, grant.fence);
                        target.granted[slot] = grant.fence;
                    }
                }
                return [done, result] { done(result); };
            },
            done);
    };
    control.revoke = [this, index](
                         const std::string& address, const std::vector<ports::slot_grant>& grants,
                         steady_time deadline, const ports::target_control::done_handler& done) {
        target_operation(
            hosts[index], address, deadline,
            [grants, done](sim_target& target) -> std::function<void()> {
                for (const auto& grant : grants) {
                    for (auto slot = grant.first_slot; slot < grant.first_slot + grant.count;
                         ++slot) {
                        auto& below = target.revoked_below[slot];
                        below = std::max(below, grant.fence);
                    }
                }
                return [done] { done({}); };
            },
            done);
    };
    control.probe = [this, index](const std::string& address, steady_time deadline,
                                  const ports::target_control::probe_handler& done) {
        target_operation(
            hosts[index], address, deadline,
            [this, done](sim_target& target) -> std::function<void()> {
                ports::probe_result result;
                result.instance = target.instance;
                result.clock_ms = static_cast<std::uint64_t>(
                    std::chrono::duration_cast<milliseconds>(clock_.now().time_since_epoch())
                        .count());
                return [done, result] { done({}, result); };
            },
            [done](std::error_code error) { done(error, {}); });
    };
    return control;
}

void simulation::send_requests(sim_host& host) {
    if (!host.snapshot) {
        return;
    }
    for (const auto& view : host.snapshot->shards) {
        const auto lease_end = view.serving_lease->until();
        if (lease_end <= local_time(host)) {
            continue;
        }
        for (const auto& assignment : view.state->assignments) {
            if (!router::is_active(assignment, view.activated)) {
                continue;
            }
            // Sends a request for one random slot of each assignment, to limit the number of
            // events.
            const auto offset = random_() % assignment.count;
            send_request(host, *view.state, assignment,
                         assignment.first_slot + static_cast<ownership::slot_number>(offset),
                         lease_end);
        }
    }
}

void simulation::send_request(sim_host& host, const ownership::shard_state& state,
                              const ownership::assignment& assignment, ownership::slot_number slot,
                              steady_time lease_end) {
    const auto* owner = ownership::find_target(state, assignment.owner);
    const auto found = std::find_if(targets.begin(), targets.end(), [&](const sim_target& target) {
        return owner != nullptr && target.id == owner->id;
    });
    const bool reachable = found != targets.end() && !host.isolated &&
                           connected(host.settings.failure_domain, found->failure_domain);
    if (!reachable) {
        return;
    }
    sim_request request;
    request.service = assignment.service;
    request.slot = slot;
    request.fence = assignment.fence;
    request.router = host.index;
    request.router_instance = host.instance;
    const auto local = local_time(host);
    const auto remaining =
        std::min<steady_time::duration>(host.settings.intervals.start_window, lease_end - local);
    request.start_by = clock_.now() + remaining;
    // Some requests stay in a buffer of the target until the last moment that their Start-By
    // allows.
    const bool is_delayed = chance(0.2);
    const auto arrival = is_delayed ? request.start_by : clock_.now() + random_delay();
    const auto position = static_cast<std::size_t>(found - targets.begin());
    clock_.at(arrival, [this, position, request] { receive_request(targets[position], request); });
}

void simulation::check_grant(const sim_target& target, const std::string& service,
                             ownership::slot_number slot, const version& fence) {
    const auto newest = last_starts_.find(service + "/" + std::to_string(slot));
    if (newest != last_starts_.end() && newest->second.target != target.id &&
        fence < newest->second.fence) {
        violations.push_back("a grant of a superseded leader took effect: " + newest->first +
                             " to " + target.id + " at fence " + to_string(fence));
    }
}

void simulation::receive_request(sim_target& target, const sim_request& request) {
    const auto sent = clock_.now();
    if (!target.alive) {
        record_answer(request, target.id, false, sent);
        return;
    }
    if (target.frozen) {
        const auto position = static_cast<std::size_t>(&target - targets.data());
        target.held_back.push_back(
            [this, position, request] { start_request(targets[position], request); });
        clock_.after(milliseconds(200), [this, position, request, sent] {
            if (targets[position].frozen) {
                record_answer(request, targets[position].id, false, sent);
            }
        });
        return;
    }
    start_request(target, request);
}

void simulation::start_request(sim_target& target, const sim_request& request) {
    if (!target.alive || clock_.now() > request.start_by) {
        return;
    }
    if (target.checks_fence) {
        const bool refused = target.granted[request.slot] == version{} ||
                             target.granted[request.slot] > request.fence ||
                             target.revoked_below[request.slot] > request.fence;
        if (refused) {
            return;
        }
    }
    const auto name = request.service + "/" + std::to_string(request.slot);
    auto& newest = last_starts_[name];
    if (newest.target != target.id && request.fence < newest.fence) {
        violations.push_back("two owners of " + name + ": " + target.id + " at fence " +
                             to_string(request.fence) + " after " + newest.target + " at " +
                             to_string(newest.fence));
        return;
    }
    auto& pause = max_pauses_[name];
    pause = std::max(pause, clock_.now() - std::max(newest.at, measured_since_));
    newest = {clock_.now(), target.id, std::max(newest.fence, request.fence)};
    record_answer(request, target.id, true, clock_.now());
}

void simulation::record_answer(const sim_request& request, const std::string& target, bool success,
                               steady_time sent) {
    auto& host = hosts[request.router];
    if (!host.alive || host.instance != request.router_instance) {
        return;
    }
    auto& evidence = host.evidence[target];
    evidence.target = target;
    if (success) {
        ++evidence.successes;
        evidence.consecutive_failures = 0;
        return;
    }
    if (evidence.consecutive_failures == 0) {
        const auto elapsed = clock_.now() - sent;
        evidence.failing_since = local_time(host) - elapsed;
    }
    ++evidence.consecutive_failures;
}

}  // namespace mimosavalve::test
