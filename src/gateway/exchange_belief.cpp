// What answers show about the places of keys and targets.

#include "exchange.hpp"
#include "exchange_detail.hpp"

namespace mimosavalve::gateway {

boot_time exchange::boot_time_of(steady::time_point at) {
    return boot_clock::now() - std::chrono::duration_cast<boot_clock::duration>(steady::now() - at);
}

void exchange::record_sent_keys() {
    sent_keys_.reset();
    const auto map = core_.state.keys.find(service_);
    if (!dispatcher_.empty() || !is_keyed() || map == core_.state.keys.end()) {
        return;
    }
    sent_keys_ = segment_of(map->second, *key_);
    if (contradiction_of(core_.state.beliefs, service_, *sent_keys_) != nullptr) {
        count(core_.metrics, "owner_probes");
    }
}

void exchange::record_contradiction() {
    if (!dispatcher_.empty()) {
        return;
    }
    const auto now = boot_clock::now();
    auto& beliefs = core_.state.beliefs;
    const auto answered_by = field_of(answer_, core_.platform.headers.target_id);
    if (!answered_by.empty() && answered_by != target_id_) {
        // The registry may have a new entry of the target by now, which is not contradicted.
        const auto* target = current_target();
        if (target != nullptr && target->entry.address == target_address_ &&
            record_moved(beliefs, target->entry, now)) {
            count(core_.metrics, "addresses_contradicted");
            core_.log.write("address_contradicted", {{"request", id_},
                                                     {"target", target_id_},
                                                     {"address", target_address_},
                                                     {"answered_by", answered_by}});
        }
        return;
    }
    const auto map = core_.state.keys.find(service_);
    if (!sent_keys_ || map == core_.state.keys.end()) {
        return;
    }
    refused_fence_ = sent_keys_->fence;
    if (record_misdirected(beliefs, service_, map->second, *key_, *sent_keys_,
                           boot_time_of(sent_at_), now)) {
        const auto& segment = segment_of(map->second, *key_);
        count(core_.metrics, "owners_contradicted");
        core_.log.write(
            "owner_contradicted",
            {{"request", id_},
             {"service", service_},
             {"first", std::int64_t{segment.first}},
             {"target", target_id_},
             {"fence", static_cast<std::int64_t>(segment.fence)},
             {"pause_ms",
              std::int64_t{owner_pause_left(beliefs, service_, segment, now).count()}}});
    }
}

void exchange::record_confirmation() {
    if (sent_keys_ &&
        confirm_owner(core_.state.beliefs, service_, *sent_keys_, boot_time_of(sent_at_))) {
        count(core_.metrics, "owners_confirmed");
        core_.log.write("owner_confirmed",
                        {{"request", id_},
                         {"service", service_},
                         {"target", target_id_},
                         {"fence", static_cast<std::int64_t>(sent_keys_->fence)}});
    }
}

}  // namespace mimosavalve::gateway
