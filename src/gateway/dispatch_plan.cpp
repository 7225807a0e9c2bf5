#include "mimosavalve/gateway/dispatch_plan.hpp"

#include <algorithm>
#include <iterator>
#include <tuple>

#include "mimosavalve/gateway/stream.hpp"

namespace mimosavalve::gateway {

namespace detail {

// Two, so that the loss of one leaves the service.
constexpr std::size_t dispatchers_per_destination = 2;
// Slots for each router from which the routers have requests enough to use their own quotas.
constexpr double max_slots_per_router = 1.5;
// The same while dispatchers are named, so that a target that comes or goes changes nothing.
constexpr double end_slots_per_router = 2;
// Demand as a fraction of the capacity from which requests queue at slow targets, and below which
// dispatchers are given up.
constexpr double begin_utilization = 0.4;
constexpr double end_utilization = 0.3;
// Capacity of a dispatcher relative to that of the smallest host: it carries the requests of all
// routers, so a fleet of equal hosts has none.
constexpr double min_capacity_ratio = 4;
constexpr milliseconds avoidance_time{1000};
// Requests per second and core that a dispatcher may get, each of which takes it more than 1 ms of
// a core, and the same while it is named. Beyond that its host would be the bottleneck.
constexpr double max_rate_per_core = 320;
constexpr double end_rate_per_core = 400;

// Whether the dispatchers can carry the demand.
bool can_carry(const std::vector<dispatch_candidate>& dispatchers, double demand,
               bool is_in_force) {
    double cores = 0;
    for (const auto& each : dispatchers) {
        cores += each.capacity;
    }
    return demand <= cores * (is_in_force ? end_rate_per_core : max_rate_per_core);
}

std::size_t duties_of(const dispatcher_map& map, const std::string& host) {
    return static_cast<std::size_t>(
        std::count_if(map.begin(), map.end(), [&](const auto& destination) {
            return std::any_of(destination.second.begin(), destination.second.end(),
                               [&](const auto& named) { return named.host == host; });
        }));
}

bool is_needed(const dispatch_input& input, bool is_in_force) {
    const double from = is_in_force ? end_utilization : begin_utilization;
    const double max_slots = is_in_force ? end_slots_per_router : max_slots_per_router;
    return input.slots > 0 && input.has_small_requests &&
           input.slots < max_slots * static_cast<double>(input.routers) &&
           input.demand > input.capacity * from;
}

// Whether a service has dispatchers in any region.
bool has_dispatchers(const dispatch_table& table, std::string_view service) {
    const auto prefix = region_destination(service, "");
    const auto first = table.by_destination.lower_bound(prefix);
    return first != table.by_destination.end() &&
           first->first.compare(0, prefix.size(), prefix) == 0;
}

bool is_named(const std::vector<dispatch_candidate>& named, const std::string& host) {
    return std::any_of(named.begin(), named.end(),
                       [&](const auto& each) { return each.host == host; });
}

}  // namespace detail

std::string region_destination(std::string_view service, std::string_view region) {
    std::string name(service);
    return name.append("\n@").append(region);
}

void plan_dispatchers(dispatcher_map& next, const dispatcher_map& current,
                      const dispatch_input& input, std::span<const dispatch_candidate> candidates) {
    const auto before = current.find(input.destination);
    if (input.is_settling && before != current.end()) {
        next.insert(*before);
        return;
    }
    // A router of an earlier version of the program forwards nothing, and needs its own quotas.
    const bool all_forward = std::all_of(candidates.begin(), candidates.end(),
                                         [](const auto& each) { return !each.address.empty(); });
    if (!detail::is_needed(input, before != current.end()) || candidates.empty() || !all_forward) {
        return;
    }
    const double smallest = std::min_element(candidates.begin(), candidates.end(),
                                             [](const auto& one, const auto& two) {
                                                 return one.capacity < two.capacity;
                                             })
                                ->capacity;
    std::vector<dispatch_candidate> able;
    std::copy_if(candidates.begin(), candidates.end(), std::back_inserter(able),
                 [&](const auto& each) {
                     return each.region == input.region && !each.is_late &&
                            each.capacity >= smallest * detail::min_capacity_ratio;
                 });
    const auto is_better = [&](const dispatch_candidate& one, const dispatch_candidate& two) {
        const auto rank = [&](const dispatch_candidate& each) {
            const bool stays =
                before != current.end() && detail::is_named(before->second, each.host);
            return std::tuple(!stays, -each.capacity, detail::duties_of(next, each.host),
                              each.host);
        };
        return rank(one) < rank(two);
    };
    std::sort(able.begin(), able.end(), is_better);
    able.resize(std::min(able.size(), detail::dispatchers_per_destination));
    if (!able.empty() && detail::can_carry(able, input.demand, before != current.end())) {
        next.emplace(input.destination, std::move(able));
    }
}

dispatcher_names names_of(const dispatcher_map& dispatchers) {
    dispatcher_names names;
    for (const auto& [destination, named] : dispatchers) {
        for (const auto& each : named) {
            names[destination].emplace_back(each.host, each.address);
        }
    }
    return names;
}

dispatcher_map taken_over(const dispatch_table& table) {
    dispatcher_map dispatchers;
    for (const auto& [destination, peers] : table.by_destination) {
        for (const auto& peer : peers) {
            dispatchers[destination].push_back({peer.host, peer.address, "", 1, false});
        }
    }
    return dispatchers;
}

void apply_dispatchers(dispatch_table& table, const dispatcher_names& named) {
    std::map<std::string, std::vector<dispatch_peer>, std::less<>> next;
    for (const auto& [destination, hosts] : named) {
        auto& peers = next[destination];
        const auto known = table.by_destination.find(destination);
        for (const auto& [host, address] : hosts) {
            if (!parse_endpoint(address)) {
                continue;
            }
            dispatch_peer peer{host, address, {}};
            if (known != table.by_destination.end()) {
                for (const auto& before : known->second) {
                    peer.avoid_until = before.host == host ? before.avoid_until : peer.avoid_until;
                }
            }
            peers.push_back(std::move(peer));
        }
    }
    table.by_destination = std::move(next);
}

dispatch_choice choose_dispatcher(dispatch_table& table, const dispatch_request& request,
                                  boot_time now) {
    if (table.by_destination.empty()) {
        return {};
    }
    const bool may_stay = request.home_regions.empty() ||
                          std::find(request.home_regions.begin(), request.home_regions.end(),
                                    request.own_region) != request.home_regions.end();
    std::vector<std::string_view> regions(request.home_regions.begin(), request.home_regions.end());
    if (may_stay) {
        regions = {request.own_region};
    }
    // Dispatchers in another region have the quotas there, which this router may lack.
    bool is_named = detail::has_dispatchers(table, request.service);
    for (const auto region : regions) {
        const auto found = table.by_destination.find(region_destination(request.service, region));
        if (found == table.by_destination.end() || found->second.empty()) {
            continue;
        }
        auto& peers = found->second;
        const bool is_own = std::any_of(peers.begin(), peers.end(), [&](const auto& peer) {
            return peer.host == request.own_host;
        });
        if (is_own) {
            return {};
        }
        is_named = true;
        const bool may_forward = now < table.valid_until && !request.must_be_direct;
        for (std::size_t tried = 0; may_forward && tried < peers.size(); ++tried) {
            auto& peer = peers[table.turn++ % peers.size()];
            if (now >= peer.avoid_until) {
                return {dispatch_kind::forward, &peer};
            }
        }
    }
    return {is_named ? dispatch_kind::direct_without_quota : dispatch_kind::direct, nullptr};
}

std::optional<dispatch_rank> rank_of(const dispatch_table& table, std::string_view destination,
                                     std::string_view host) {
    const auto found = table.by_destination.find(destination);
    if (found == table.by_destination.end()) {
        return std::nullopt;
    }
    const auto& peers = found->second;
    const auto own = std::find_if(peers.begin(), peers.end(),
                                  [&](const auto& peer) { return peer.host == host; });
    if (own == peers.end()) {
        return std::nullopt;
    }
    return dispatch_rank{static_cast<std::uint32_t>(own - peers.begin()),
                         static_cast<std::uint32_t>(peers.size())};
}

void record_unreachable(dispatch_table& table, std::string_view host, boot_time now) {
    for (auto& [destination, peers] : table.by_destination) {
        for (auto& peer : peers) {
            if (peer.host == host) {
                peer.avoid_until = now + detail::avoidance_time;
            }
        }
    }
}

}  // namespace mimosavalve::gateway
