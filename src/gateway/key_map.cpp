#include "mimosavalve/gateway/key_map.hpp"

#include <algorithm>

namespace mimosavalve::gateway {

const key_segment& segment_of(const key_map& map, std::uint32_t key) {
    const auto found = std::lower_bound(
        map.segments.begin(), map.segments.end(), key,
        [](const key_segment& segment, std::uint32_t value) { return segment.last < value; });
    return found == map.segments.end() ? map.segments.back() : *found;
}

void join_equal(key_map& map) {
    std::vector<key_segment> joined;
    for (auto& segment : map.segments) {
        if (!joined.empty() && joined.back().owner == segment.owner &&
            joined.back().fence == segment.fence && joined.back().moving == segment.moving &&
            joined.back().owner_instance == segment.owner_instance) {
            joined.back().last = segment.last;
        } else {
            joined.push_back(std::move(segment));
        }
    }
    map.segments = std::move(joined);
}

std::uint64_t highest_fence(const key_map& map) {
    std::uint64_t highest = 0;
    for (const auto& segment : map.segments) {
        highest = std::max(highest, segment.fence);
    }
    return highest;
}

void assign(key_map& map, const key_segment& change) {
    std::vector<key_segment> next;
    for (const auto& segment : map.segments) {
        if (segment.last < change.first || segment.first > change.last) {
            next.push_back(segment);
            continue;
        }
        if (segment.first < change.first) {
            next.push_back(segment);
            next.back().last = change.first - 1;
        }
        if (next.empty() || next.back().first != change.first) {
            next.push_back(change);
        }
        if (segment.last > change.last) {
            next.push_back(segment);
            next.back().first = change.last + 1;
        }
    }
    map.segments = std::move(next);
    join_equal(map);
}

std::vector<key_segment> segments_of(const key_map& map, std::string_view owner) {
    std::vector<key_segment> out;
    std::copy_if(map.segments.begin(), map.segments.end(), std::back_inserter(out),
                 [&](const key_segment& segment) { return segment.owner == owner; });
    return out;
}

double moved_fraction(const key_map& before, const key_map& after) {
    std::uint32_t moved = 0;
    for (const auto& segment : after.segments) {
        for (const auto& old : before.segments) {
            const auto first = std::max(segment.first, old.first);
            const auto last = std::min(segment.last, old.last);
            if (first <= last && segment.owner != old.owner) {
                moved += last - first + 1;
            }
        }
    }
    return static_cast<double>(moved) / key_count;
}

std::string problem_of(const key_map& map) {
    std::uint32_t expected = 0;
    for (const auto& segment : map.segments) {
        if (segment.first != expected || segment.last < segment.first) {
            return "keys from " + std::to_string(expected) + " are missing or listed twice";
        }
        expected = segment.last + 1;
    }
    return expected == key_count ? "" : "keys from " + std::to_string(expected) + " are missing";
}

}  // namespace mimosavalve::gateway
