#include <algorithm>
#include <map>

#include "command/show.hpp"
#include "mimosavalve/observe/log.hpp"
#include "mimosavalve/ownership/slot.hpp"
#include "mimosavalve/router/routing_snapshot.hpp"

namespace mimosavalve::command {

namespace detail {

const config::service_config* find_service(const config::fleet_config& config,
                                           const std::string& name) {
    const auto found = std::find_if(config.services.begin(), config.services.end(),
                                    [&](const auto& each) { return each.name == name; });
    return found == config.services.end() ? nullptr : &*found;
}

std::string run_of(const ownership::assignment& run) {
    return std::to_string(run.first_slot) + "-" +
           std::to_string(std::uint64_t{run.first_slot} + run.count - 1);
}

// Place of a key or of a slot without a key.
struct slot_place {
    std::string region;
    std::uint32_t slot = 0;
    std::string key;  ///< "account/id", or empty.
};

const shard_report* find_shard(const std::vector<shard_report>& shards, const shard_id& shard) {
    const auto found = std::find_if(shards.begin(), shards.end(), [&](const auto& each) {
        return each.state && each.state->shard == shard;
    });
    return found == shards.end() ? nullptr : &*found;
}

command_result owner_of(const config::fleet_config& config, const command_context& context,
                        const config::service_config& service, const slot_place& place) {
    const shard_id shard{place.region, ownership::shard_of(place.slot, service.slots_per_region,
                                                           config.shards_per_region)};
    const auto shards = context.shards();
    const auto* report = find_shard(shards, shard);
    if (report == nullptr) {
        return refused("this router holds no state of shard " + to_string(shard));
    }
    command_result out;
    out.content.columns = {"service", "region", "slot",   "shard",   "version",
                           "owner",   "fence",  "active", "hot_key", "previous_owner"};
    const auto add = [&](const auto& run, bool hot) {
        out.content.rows.push_back({service.name, place.region, std::uint64_t{place.slot},
                                    to_string(shard), to_string(report->state->at), run.owner,
                                    to_string(run.fence), router::is_active(run, report->in_force),
                                    hot, run.previous_owner});
    };
    const auto* hot = place.key.empty()
                          ? nullptr
                          : ownership::find_hot_key(*report->state, service.name, place.key);
    const auto* run = ownership::find_assignment(*report->state, service.name, place.slot);
    if (hot != nullptr) {
        add(*hot, true);
    } else if (run != nullptr) {
        add(*run, false);
    } else {
        out.message = "slot " + std::to_string(place.slot) + " of service " + service.name +
                      " in region " + place.region + " has no owner";
    }
    return out;
}

std::string since(std::uint64_t unix_ms) {
    return unix_ms == 0 ? "" : observe::utc_time(unix_ms);
}

bool holds_older(const router_report& router, const shard_report& report) {
    return std::any_of(router.shards.begin(), router.shards.end(), [&](const held_shard& each) {
        return each.shard == report.state->shard && each.held < report.in_force;
    });
}

std::string condition_name(ownership::target_condition condition) {
    switch (condition) {
        case ownership::target_condition::active:
            return "active";
        case ownership::target_condition::leaving:
            return "leaving";
        case ownership::target_condition::lost:
            return "lost";
    }
    return "unknown";
}

}  // namespace detail

command_result answer(const config::fleet_config& config, const command_context& context,
                      const show_key_owner& asked) {
    const auto route = std::find_if(config.routes.begin(), config.routes.end(),
                                    [&](const auto& each) { return each.name == asked.route; });
    if (route == config.routes.end()) {
        return refused("route " + asked.route + " does not exist");
    }
    const auto* service = detail::find_service(config, route->service);
    if (service == nullptr || !service->keyed) {
        return refused("service " + route->service + " is not keyed; any of its targets may serve");
    }
    const auto regions = regions_of(config, asked.account);
    const std::string region(ownership::region_of(service->name, asked.account, asked.id, regions));
    const auto slot =
        ownership::slot_of(service->name, asked.account, asked.id, service->slots_per_region);
    return detail::owner_of(config, context, *service,
                            {region, slot, asked.account + "/" + asked.id});
}

command_result answer(const config::fleet_config& config, const command_context& context,
                      const show_slot_owner& asked) {
    const auto* service = detail::find_service(config, asked.service);
    if (service == nullptr) {
        return refused("service " + asked.service + " does not exist");
    }
    if (!service->keyed) {
        return refused("service " + asked.service + " is not keyed");
    }
    if (asked.slot >= service->slots_per_region) {
        return refused("service " + asked.service + " has the slots 0 to " +
                       std::to_string(service->slots_per_region - 1));
    }
    return detail::owner_of(config, context, *service, {asked.region, asked.slot, ""});
}

command_result answer(const command_context& context, const show_target_slots& asked) {
    command_result out;
    out.content.columns = {"service", "region", "slots", "key", "fence", "active"};
    for (const auto& report : context.shards()) {
        const auto& state = *report.state;
        for (const auto& run : state.assignments) {
            if (run.owner == asked.target) {
                out.content.rows.push_back({run.service, state.shard.region, detail::run_of(run),
                                            std::string(), to_string(run.fence),
                                            router::is_active(run, report.in_force)});
            }
        }
        for (const auto& hot : state.hot_keys) {
            if (hot.owner == asked.target) {
                out.content.rows.push_back({hot.service, state.shard.region, std::string(), hot.key,
                                            to_string(hot.fence),
                                            router::is_active(hot, report.in_force)});
            }
        }
    }
    return out;
}

command_result show_in_force(const command_context& context) {
    command_result out;
    out.message = "as known to " + context.host;
    out.content.columns = {"shard",   "in_force", "since",  "held",
                           "serving", "leader",   "config", "laggards"};
    const auto routers = context.routers();
    for (const auto& report : context.shards()) {
        std::string laggards;
        for (const auto& router : routers) {
            if (detail::holds_older(router, report)) {
                laggards += (laggards.empty() ? "" : ",") + router.id.host;
            }
        }
        const auto& state = *report.state;
        out.content.rows.push_back({to_string(state.shard), to_string(report.in_force),
                                    detail::since(report.in_force_since_unix_ms),
                                    to_string(state.at), report.lease_until > context.now(),
                                    to_string(state.leader), state.config_version, laggards});
    }
    return out;
}

command_result show_targets(const config::fleet_config& config, const command_context& context) {
    struct summary {
        const ownership::target* target = nullptr;
        std::string region;
        std::uint64_t slots = 0;
    };
    std::map<std::string, summary> targets;
    const auto shards = context.shards();
    for (const auto& report : shards) {
        for (const auto& each : report.state->targets) {
            auto& entry = targets[each.id];
            entry.target = &each;
            entry.region = report.state->shard.region;
        }
        for (const auto& run : report.state->assignments) {
            targets[run.owner].slots += run.count;
        }
    }
    command_result out;
    out.content.columns = {"target", "service",   "address", "region",
                           "domain", "condition", "drained", "owned_slots"};
    for (const auto& [id, entry] : targets) {
        if (entry.target == nullptr) {
            continue;
        }
        const auto& drained = config.drained_targets;
        out.content.rows.push_back(
            {id, entry.target->service, entry.target->address, entry.region,
             entry.target->failure_domain, detail::condition_name(entry.target->condition),
             std::find(drained.begin(), drained.end(), id) != drained.end(), entry.slots});
    }
    return out;
}

command_result show_routers(const command_context& context) {
    command_result out;
    out.content.columns = {"router", "region", "domain", "address", "config", "shards"};
    for (const auto& router : context.routers()) {
        std::string shards;
        for (const auto& each : router.shards) {
            shards +=
                (shards.empty() ? "" : " ") + to_string(each.shard) + "@" + to_string(each.held);
        }
        out.content.rows.push_back({to_string(router.id), router.region, router.failure_domain,
                                    router.address, router.config_version, shards});
    }
    return out;
}

command_result show_status(const config::fleet_config& config, const command_context& context) {
    command_result out;
    out.version = config.version;
    out.message = context.host + " in region " + context.region + ", configuration version " +
                  std::to_string(config.version);
    out.content.columns = {"counter", "value"};
    for (const auto& each : context.counters()) {
        out.content.rows.push_back({each.name, each.value});
    }
    return out;
}

}  // namespace mimosavalve::command
