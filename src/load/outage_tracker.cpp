#include "mimosavalve/load/outage_tracker.hpp"

namespace mimosavalve::load {

void outage_tracker::keep_longer(longest& kept, const open_outage& outage, const std::string& key,
                                 std::int64_t end) {
    if (outage.open && end - outage.since > kept.nanoseconds) {
        kept = {end - outage.since, key, outage.since};
    }
}

void outage_tracker::add(const std::string& key, std::int64_t start, std::int64_t end, bool good) {
    if (!good) {
        open_.try_emplace(key, open_outage{true, start});
        if (!all_open_.open) {
            all_open_ = {true, start};
        }
        return;
    }
    const auto found = open_.find(key);
    if (found != open_.end()) {
        keep_longer(per_key_, found->second, key, end);
        open_.erase(found);
    }
    keep_longer(over_all_, all_open_, key, end);
    all_open_ = {};
}

void outage_tracker::finish(std::int64_t now) {
    for (const auto& [key, outage] : open_) {
        keep_longer(per_key_, outage, key, now);
    }
    keep_longer(over_all_, all_open_, "", now);
    open_.clear();
    all_open_ = {};
}

}  // namespace mimosavalve::load
