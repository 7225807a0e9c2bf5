#include "mimosavalve/gateway/key_plan.hpp"

#include <algorithm>
#include <cmath>
#include <limits>
#include <numeric>

namespace mimosavalve::gateway {

namespace detail {

// Rates follow a shift of the load within about this time; with a few hundred requests a second a
// shorter one would follow chance.
constexpr double rate_time_s = 1.5;
// Below this the rates say little, and keys are spread by their number.
constexpr double least_total_rate = 5;
// An owner is relieved above this part of its share, by more than this rate.
constexpr double overload_part = 1.25;
constexpr double overload_rate = 1.5;
// Every key weighs a little, so that idle keys are spread too.
constexpr double idle_key_rate = 1.0 / key_count;
// Ranges per owner above which neighbours are joined again.
constexpr std::size_t ranges_per_owner = 3;

struct owner_load {
    const key_candidate* candidate = nullptr;
    double rate = 0;
    double share = 0;
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
        load.share = total * load.candidate->capacity / capacity;
    }
    return out;
}

owner_load* least_loaded(std::map<std::string, owner_load>& loads) {
    owner_load* best = nullptr;
    for (auto& [id, load] : loads) {
        if (best == nullptr || load.rate / load.share < best->rate / best->share) {
            best = &load;
        }
    }
    return best;
}

bool is_home(const key_segment& segment, const std::vector<key_candidate>& candidates) {
    return std::any_of(candidates.begin(), candidates.end(), [&](const auto& candidate) {
        return candidate.id == segment.owner && candidate.run == segment.owner_run;
    });
}

// Narrowest range within a segment whose rate is at least `wanted`; the whole segment if none is.
key_segment narrowest(const key_rates& rates, const key_segment& within, double wanted) {
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

}  // namespace detail

void decay(key_rates& rates, boot_time now) {
    const auto passed = std::chrono::duration<double>(now - rates.decayed).count();
    if (rates.decayed != boot_time{} && passed > 0) {
        const auto factor = static_cast<float>(std::exp(-passed / detail::rate_time_s));
        constexpr float negligible = 1e-4F;
        for (auto& rate : rates.by_key) {
            rate = rate < negligible ? 0.0F : rate * factor;
        }
    }
    rates.decayed = now;
}

void add_load(key_rates& rates, const key_load& load, boot_time now) {
    if (rates.decayed == boot_time{}) {
        rates.decayed = now;
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

std::vector<planned_move> plan_homeless(const key_map& map, const key_rates& rates,
                                        const std::vector<key_candidate>& candidates) {
    std::vector<planned_move> moves;
    if (candidates.empty()) {
        return moves;
    }
    auto loads = detail::loads_of(map, rates, candidates);
    // A range is cut so that its pieces can go to different owners.
    const auto piece_rate = std::accumulate(loads.begin(), loads.end(), 0.0,
                                            [](double sum, const auto& load) {
                                                return sum + load.second.share;
                                            }) /
                            static_cast<double>(loads.size()) / 2;
    for (const auto& segment : map.segments) {
        if (segment.moving || detail::is_home(segment, candidates)) {
            continue;
        }
        std::uint32_t first = segment.first;
        double rate = 0;
        auto* to = detail::least_loaded(loads);
        // The first owners of all keys get one range each, as wide as their share.
        const bool initial = segment.owner.empty() && map.segments.size() == 1;
        for (std::uint32_t key = segment.first; key <= segment.last; ++key) {
            rate += rates.by_key[key] + detail::idle_key_rate;
            const auto limit = initial ? to->share : std::max(piece_rate, to->share - to->rate);
            if (rate >= limit || key == segment.last) {
                moves.push_back({first, key, to->candidate->id, to->candidate->run});
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
                                       std::size_t most) {
    std::vector<planned_move> moves;
    if (candidates.size() < 2) {
        return moves;
    }
    auto loads = detail::loads_of(map, rates, candidates);
    const auto total = rate_of(rates, 0, key_count - 1);
    const auto least_rate =
        total < detail::least_total_rate ? 0.0 : detail::overload_rate;
    auto next = map;
    while (moves.size() < most) {
        detail::owner_load* heaviest = nullptr;
        for (auto& [id, load] : loads) {
            if (load.rate > load.share * detail::overload_part &&
                load.rate > load.share + least_rate &&
                (heaviest == nullptr ||
                 load.rate / load.share > heaviest->rate / heaviest->share)) {
                heaviest = &load;
            }
        }
        auto* lightest = detail::least_loaded(loads);
        if (heaviest == nullptr || lightest == heaviest) {
            break;
        }
        const auto wanted = std::min(heaviest->rate - heaviest->share,
                                     std::max(lightest->share - lightest->rate, 0.0));
        // From the owner's busiest range.
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
        key_segment moved = detail::narrowest(rates, *busiest, std::min(wanted, busiest_rate / 2));
        if (total < detail::least_total_rate) {
            // Without load, the ranges are evened out by their width.
            const auto width = static_cast<std::uint32_t>(wanted / detail::idle_key_rate);
            moved = *busiest;
            moved.last = std::min(moved.last, moved.first + std::max(width, 1U) - 1);
        }
        const auto rate = rate_of(rates, moved.first, moved.last) +
                          (moved.last - moved.first + 1) * detail::idle_key_rate;
        // A single key that is busier than the room elsewhere only moves the overload.
        if (rate >= heaviest->rate || lightest->rate + rate > heaviest->rate) {
            break;
        }
        moves.push_back(
            {moved.first, moved.last, lightest->candidate->id, lightest->candidate->run});
        heaviest->rate -= rate;
        lightest->rate += rate;
        moved.owner = lightest->candidate->id;
        moved.moving = true;
        assign(next, moved);
    }
    return moves;
}

std::vector<planned_move> plan_merge(const key_map& map, const key_rates& rates,
                                     const std::vector<key_candidate>& candidates,
                                     std::size_t most) {
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
        if (moves.size() >= most) {
            break;
        }
        const auto& segment = map.segments[at];
        if (segment.moving || touched[at]) {
            continue;
        }
        for (const auto neighbour : {at - 1, at + 1}) {
            if (neighbour >= map.segments.size() || touched[neighbour]) {
                continue;
            }
            const auto& joined = map.segments[neighbour];
            const auto found = loads.find(joined.owner);
            if (joined.moving || found == loads.end() || joined.owner == segment.owner ||
                joined.owner_run != found->second.candidate->run ||
                found->second.rate + segment_rates[at] > found->second.share) {
                continue;
            }
            moves.push_back({segment.first, segment.last, joined.owner, joined.owner_run});
            found->second.rate += segment_rates[at];
            touched[at] = touched[neighbour] = true;
            break;
        }
    }
    return moves;
}

}  // namespace mimosavalve::gateway
