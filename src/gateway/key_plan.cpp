#include "mimosavalve/gateway/key_plan.hpp"

#include <algorithm>
#include <cmath>
#include <limits>
#include <numeric>
#include <set>
#include <string_view>
#include <utility>

namespace mimosavalve::gateway {

namespace detail {

// Time constant of the decay of rates, in seconds. With a few hundred requests per second, a
// shorter one would follow random fluctuations.
constexpr double rate_time_s = 1.0;
// Keys move away from an owner whose load is above `busy_fraction` of its capacity, where its queue
// begins to grow, and above `min_ratio_to_mean` times the mean of all owners.
constexpr double busy_fraction = 0.6;
constexpr double min_ratio_to_mean = 1.3;
// Moves reduce the load of an owner to this part of `busy_fraction`, or to the mean if that is
// higher.
constexpr double goal_factor = 0.75;
// Minimum requests per second that a move shifts; smaller moves would follow random fluctuations.
constexpr double min_moved_rate = 1.0;
// The same for one of several ranges that move away from the owner of a busy key.
constexpr double min_range_rate = min_moved_rate / 4;
// Rate added for each key, so that idle keys are also distributed among the owners.
constexpr double idle_key_rate = 1.0 / key_count;
// Mean number of ranges per owner above which ranges are merged with their neighbours.
constexpr std::size_t ranges_per_owner = 3;

struct owner_load {
    const key_candidate* candidate = nullptr;
    double rate = 0;
    double fair_rate = 0;  // Rate by the candidate's part of the total capacity.
};

std::map<std::string, owner_load> loads_of(const key_map& map, const key_rates& rates,
                                           const std::vector<key_candidate>& candidates) {
    std::map<std::string, owner_load> out;
    double capacity = 0;
    for (const auto& candidate : candidates) {
        out[candidate.id].candidate = &candidate;
        capacity += candidate.capacity;
    }
    double total = 0;
    for (const auto& segment : map.segments) {
        const auto rate = rate_of(rates, segment.first, segment.last) +
                          (segment.last - segment.first + 1) * idle_key_rate;
        total += rate;
        const auto found = out.find(segment.owner);
        if (found != out.end()) {
            found->second.rate += rate;
        }
    }
    for (auto& [id, load] : out) {
        load.fair_rate = total * load.candidate->capacity / capacity;
    }
    return out;
}

owner_load* least_loaded(std::map<std::string, owner_load>& loads) {
    owner_load* best = nullptr;
    for (auto& [id, load] : loads) {
        if (best == nullptr || load.rate / load.fair_rate < best->rate / best->fair_rate) {
            best = &load;
        }
    }
    return best;
}

// Candidates by id and instance, so that a plan looks up each range's owner among them.
using candidate_set = std::set<std::pair<std::string_view, std::uint64_t>>;

candidate_set set_of(const std::vector<key_candidate>& candidates) {
    candidate_set out;
    for (const auto& candidate : candidates) {
        out.emplace(candidate.id, candidate.instance);
    }
    return out;
}

bool has_candidate_owner(const key_segment& segment, const candidate_set& candidates) {
    return candidates.contains({segment.owner, segment.owner_instance});
}

// Narrowest range within a segment whose rate is at least `wanted`; the whole segment if none is.
key_segment narrowest_range(const key_rates& rates, const key_segment& within, double wanted) {
    key_segment best = within;
    double sum = 0;
    std::uint32_t first = within.first;
    for (std::uint32_t last = within.first; last <= within.last; ++last) {
        sum += rates.by_key[last];
        while (first < last && sum - rates.by_key[first] >= wanted) {
            sum -= rates.by_key[first];
            ++first;
        }
        if (sum >= wanted && last - first < best.last - best.first) {
            best.first = first;
            best.last = last;
        }
    }
    return best;
}

// Returns the ranges of an owner without its busiest key and without ranges whose rate is too low
// for a move. Returns nothing if the busiest key alone does not reach the load that the owner
// should have (`goal`, as a fraction of its capacity).
std::vector<key_segment> ranges_beside_busiest_key(const key_rates& rates, const key_map& map,
                                                   const owner_load& owner, double goal) {
    std::uint32_t busiest = 0;
    float max_rate = 0;
    std::vector<key_segment> owned;
    for (const auto& segment : map.segments) {
        if (segment.owner != owner.candidate->id || segment.moving) {
            continue;
        }
        owned.push_back(segment);
        for (auto key = segment.first; key <= segment.last; ++key) {
            if (rates.by_key[key] > max_rate) {
                max_rate = rates.by_key[key];
                busiest = key;
            }
        }
    }
    if (max_rate < goal * owner.candidate->capacity) {
        return {};
    }
    std::vector<key_segment> rest;
    const auto add = [&](key_segment part, std::uint32_t first, std::uint32_t last) {
        part.first = first;
        part.last = last;
        if (first <= last && rate_of(rates, first, last) > min_range_rate) {
            rest.push_back(part);
        }
    };
    for (const auto& segment : owned) {
        if (busiest < segment.first || busiest > segment.last) {
            add(segment, segment.first, segment.last);
            continue;
        }
        if (busiest > segment.first) {
            add(segment, segment.first, busiest - 1);
        }
        if (busiest < segment.last) {
            add(segment, busiest + 1, segment.last);
        }
    }
    return rest;
}

}  // namespace detail

void decay(key_rates& rates, boot_time now) {
    const auto passed = std::chrono::duration<double>(now - rates.decayed_at).count();
    if (rates.decayed_at != boot_time{} && passed > 0) {
        const auto factor = static_cast<float>(std::exp(-passed / detail::rate_time_s));
        constexpr float negligible = 1e-4F;
        for (auto& rate : rates.by_key) {
            rate = rate < negligible ? 0.0F : rate * factor;
        }
    }
    rates.decayed_at = now;
}

void add_load(key_rates& rates, const key_load& load, boot_time now) {
    if (rates.decayed_at == boot_time{}) {
        rates.decayed_at = now;
    }
    for (const auto& [first, count] : load.counts) {
        const auto width = std::max(load.keys_per_counter, 1U);
        const auto each = static_cast<float>(count / detail::rate_time_s / width);
        for (std::uint32_t key = first; key < first + width && key < key_count; ++key) {
            rates.by_key[key] += each;
        }
    }
}

double rate_of(const key_rates& rates, std::uint32_t first, std::uint32_t last) {
    return std::accumulate(rates.by_key.begin() + first, rates.by_key.begin() + last + 1, 0.0);
}

std::vector<planned_move> plan_unassigned(const key_map& map, const key_rates& rates,
                                          const std::vector<key_candidate>& candidates) {
    std::vector<planned_move> moves;
    const auto known = detail::set_of(candidates);
    // Most plans find nothing to assign, so the loads are computed only where there is something.
    const bool has_unassigned =
        std::any_of(map.segments.begin(), map.segments.end(), [&](const auto& segment) {
            return !segment.moving && !detail::has_candidate_owner(segment, known);
        });
    if (candidates.empty() || !has_unassigned) {
        return moves;
    }
    auto loads = detail::loads_of(map, rates, candidates);
    // A range is split into pieces of at least this rate, which can go to different owners.
    const auto piece_rate =
        std::accumulate(loads.begin(), loads.end(), 0.0,
                        [](double sum, const auto& load) { return sum + load.second.fair_rate; }) /
        static_cast<double>(loads.size()) / 2;
    for (const auto& segment : map.segments) {
        if (segment.moving || detail::has_candidate_owner(segment, known)) {
            continue;
        }
        std::uint32_t first = segment.first;
        double rate = 0;
        auto* to = detail::least_loaded(loads);
        // Before the first assignment, each candidate gets one range with its share of the load.
        const bool initial = segment.owner.empty() && map.segments.size() == 1;
        for (std::uint32_t key = segment.first; key <= segment.last; ++key) {
            rate += rates.by_key[key] + detail::idle_key_rate;
            // Otherwise up to what the candidate lacks to its fair rate, but at least a whole
            // piece.
            const auto limit =
                initial ? to->fair_rate : std::max(piece_rate, to->fair_rate - to->rate);
            if (rate >= limit || key == segment.last) {
                moves.push_back({first, key, to->candidate->id, to->candidate->instance});
                to->rate += rate;
                to = detail::least_loaded(loads);
                first = key + 1;
                rate = 0;
            }
        }
    }
    return moves;
}

std::vector<planned_move> plan_balance(const key_map& map, const key_rates& rates,
                                       const std::vector<key_candidate>& candidates,
                                       std::size_t max_moves) {
    std::vector<planned_move> moves;
    if (candidates.size() < 2) {
        return moves;
    }
    auto loads = detail::loads_of(map, rates, candidates);
    double capacity = 0;
    double total = 0;
    for (const auto& [id, load] : loads) {
        capacity += load.candidate->capacity;
        total += load.rate;
    }
    const double mean = total / capacity;
    // Moves reduce the load of an owner to this fraction of its capacity.
    const double goal = std::max(mean, detail::busy_fraction * detail::goal_factor);
    const auto utilization_of = [](const detail::owner_load& load) {
        return load.rate / load.candidate->capacity;
    };
    auto next = map;
    while (moves.size() < max_moves) {
        detail::owner_load* heaviest = nullptr;
        for (auto& [id, load] : loads) {
            if (utilization_of(load) > detail::busy_fraction &&
                utilization_of(load) > mean * detail::min_ratio_to_mean &&
                (heaviest == nullptr || utilization_of(load) > utilization_of(*heaviest))) {
                heaviest = &load;
            }
        }
        auto* lightest = detail::least_loaded(loads);
        if (heaviest == nullptr || lightest == heaviest) {
            break;
        }
        const auto ranges = detail::ranges_beside_busiest_key(rates, next, *heaviest, goal);
        if (!ranges.empty()) {
            for (const auto& part : ranges) {
                auto* to = detail::least_loaded(loads);
                if (to == heaviest || moves.size() >= max_moves) {
                    break;
                }
                const auto rate = rate_of(rates, part.first, part.last);
                moves.push_back(
                    {part.first, part.last, to->candidate->id, to->candidate->instance});
                to->rate += rate;
                heaviest->rate -= rate;
                auto moved = part;
                moved.owner = to->candidate->id;
                moved.moving = true;
                assign(next, moved);
            }
            // The owner keeps its busiest key, so nothing else of it is moved in this plan.
            loads.erase(heaviest->candidate->id);
            continue;
        }
        const auto room = goal * lightest->candidate->capacity - lightest->rate;
        const auto excess = heaviest->rate - goal * heaviest->candidate->capacity;
        const auto wanted = std::min(excess, room);
        if (wanted < detail::min_moved_rate) {
            break;
        }
        // The range to move is taken from the owner's busiest segment.
        const key_segment* busiest = nullptr;
        double busiest_rate = 0;
        for (const auto& segment : next.segments) {
            const auto rate = rate_of(rates, segment.first, segment.last);
            if (segment.owner == heaviest->candidate->id && !segment.moving &&
                (busiest == nullptr || rate > busiest_rate)) {
                busiest = &segment;
                busiest_rate = rate;
            }
        }
        if (busiest == nullptr) {
            break;
        }
        auto moved = detail::narrowest_range(rates, *busiest, std::min(wanted, busiest_rate));
        const auto rate = rate_of(rates, moved.first, moved.last);
        // Moving a single key with more load than the spare capacity elsewhere would only move the
        // overload.
        if (rate < detail::min_moved_rate ||
            (lightest->rate + rate) / lightest->candidate->capacity >= utilization_of(*heaviest)) {
            break;
        }
        moves.push_back(
            {moved.first, moved.last, lightest->candidate->id, lightest->candidate->instance});
        heaviest->rate -= rate;
        lightest->rate += rate;
        moved.owner = lightest->candidate->id;
        moved.moving = true;
        assign(next, moved);
    }
    return moves;
}

std::vector<planned_move> plan_shared_fences(const key_map& map,
                                             const std::vector<key_candidate>& candidates,
                                             std::size_t max_moves) {
    std::vector<planned_move> moves;
    const auto known = detail::set_of(candidates);
    for (std::size_t at = 0; at + 1 < map.segments.size() && moves.size() < max_moves; ++at) {
        const auto& left = map.segments[at];
        std::size_t end = at;
        while (end + 1 < map.segments.size() && map.segments[end + 1].owner == left.owner &&
               map.segments[end + 1].owner_instance == left.owner_instance &&
               !map.segments[end + 1].moving) {
            ++end;
        }
        if (end > at && !left.moving && detail::has_candidate_owner(left, known)) {
            moves.push_back({left.first, map.segments[end].last, left.owner, left.owner_instance});
            at = end;
        }
    }
    return moves;
}

std::vector<planned_move> plan_merge(const key_map& map, const key_rates& rates,
                                     const std::vector<key_candidate>& candidates,
                                     std::size_t max_moves) {
    std::vector<planned_move> moves;
    if (map.segments.size() <= candidates.size() * detail::ranges_per_owner) {
        return moves;
    }
    auto loads = detail::loads_of(map, rates, candidates);
    std::vector<std::size_t> order(map.segments.size());
    std::iota(order.begin(), order.end(), 0);
    std::vector<double> segment_rates(map.segments.size());
    for (std::size_t at = 0; at < order.size(); ++at) {
        segment_rates[at] = rate_of(rates, map.segments[at].first, map.segments[at].last);
    }
    std::sort(order.begin(), order.end(), [&](std::size_t left, std::size_t right) {
        return segment_rates[left] < segment_rates[right];
    });
    std::vector<bool> touched(map.segments.size(), false);
    for (const auto at : order) {
        if (moves.size() >= max_moves) {
            break;
        }
        const auto& segment = map.segments[at];
        if (segment.moving || touched[at]) {
            continue;
        }
        // `at - 1` wraps around for the first range; the check of the size skips it.
        for (const auto neighbour : {at - 1, at + 1}) {
            if (neighbour >= map.segments.size() || touched[neighbour]) {
                continue;
            }
            const auto& neighbour_segment = map.segments[neighbour];
            const auto found = loads.find(neighbour_segment.owner);
            if (neighbour_segment.moving || found == loads.end() ||
                neighbour_segment.owner == segment.owner ||
                neighbour_segment.owner_instance != found->second.candidate->instance ||
                found->second.rate + segment_rates[at] > found->second.fair_rate) {
                continue;
            }
            moves.push_back({segment.first, segment.last, neighbour_segment.owner,
                             neighbour_segment.owner_instance});
            found->second.rate += segment_rates[at];
            touched[at] = touched[neighbour] = true;
            break;
        }
    }
    return moves;
}

}  // namespace mimosavalve::gateway
