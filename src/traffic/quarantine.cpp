#include "mimosavalve/traffic/quarantine.hpp"

#include <algorithm>
#include <chrono>
#include <map>
#include <optional>
#include <set>

#include "mimosavalve/ownership/slot.hpp"

namespace mimosavalve::traffic {

namespace detail {

constexpr std::size_t max_losses = 32;
constexpr std::size_t max_fingerprints = 64;
// Maximum time in which all connections of a crashed process are reset.
constexpr std::chrono::milliseconds loss_window{200};
constexpr std::chrono::minutes loss_retention{10};
constexpr std::chrono::minutes quarantine_time{10};
// Maximum time until the next request or probe detects that a target has crashed.
constexpr std::chrono::seconds confirm_window{5};

target_loss* find_loss(quarantine& state, std::string_view target, steady_time now) {
    for (auto& loss : state.losses) {
        if (loss.target == target && now - loss.lost_at < loss_window) {
            return &loss;
        }
    }
    return nullptr;
}

/// The fingerprint that two losses have in common; nothing when there is none or more than one.
std::optional<std::uint64_t> sole_common_fingerprint(const target_loss& first,
                                                     const target_loss& second) {
    std::optional<std::uint64_t> common;
    for (const auto fingerprint : first.fingerprints) {
        const bool is_common = std::find(second.fingerprints.begin(), second.fingerprints.end(),
                                         fingerprint) != second.fingerprints.end();
        if (is_common && common) {
            return std::nullopt;
        }
        if (is_common) {
            common = fingerprint;
        }
    }
    return common;
}

void discard_expired(quarantine& state, steady_time now) {
    std::erase_if(state.losses,
                  [&](const target_loss& loss) { return now - loss.lost_at >= loss_retention; });
    std::erase_if(state.quarantined,
                  [&](const quarantined_request& entry) { return now >= entry.until; });
}

/// Whether the loss is confirmed and all its requests have been recorded.
bool is_conclusive(const target_loss& loss, steady_time now) {
    return loss.confirmed && now - loss.lost_at >= loss_window;
}

/// For each fingerprint that is the only common one of some two conclusive losses: the indices of
/// those losses.
std::map<std::uint64_t, std::set<std::size_t>> losses_by_suspect(const quarantine& state,
                                                                 steady_time now) {
    std::map<std::uint64_t, std::set<std::size_t>> suspects;
    for (std::size_t second = 1; second < state.losses.size(); ++second) {
        for (std::size_t first = 0; first < second; ++first) {
            const auto& earlier = state.losses[first];
            const auto& later = state.losses[second];
            if (!is_conclusive(earlier, now) || !is_conclusive(later, now)) {
                continue;
            }
            if (const auto common = sole_common_fingerprint(earlier, later)) {
                suspects[*common].insert({first, second});
            }
        }
    }
    return suspects;
}

}  // namespace detail

std::uint64_t fingerprint_of(const request_head& head, std::string_view body_prefix) {
    auto hash = ownership::hash_of(body_prefix.substr(0, fingerprint_body_bytes));
    for (const auto part : {head.route, head.account, head.method, head.id}) {
        hash = ownership::hash_of(part, hash);
    }
    return hash;
}

void record_lost_connection(quarantine& state, std::string_view target, std::uint64_t fingerprint,
                            steady_time now) {
    detail::discard_expired(state, now);
    auto* loss = detail::find_loss(state, target, now);
    if (loss == nullptr) {
        if (state.losses.size() >= detail::max_losses) {
            state.losses.erase(state.losses.begin());
        }
        loss = &state.losses.emplace_back(target_loss{std::string(target), now, {}, false});
    }
    auto& known = loss->fingerprints;
    const bool is_known = std::find(known.begin(), known.end(), fingerprint) != known.end();
    if (!is_known && known.size() < detail::max_fingerprints) {
        known.push_back(fingerprint);
    }
}

void confirm_loss(quarantine& state, std::string_view target, steady_time now) {
    for (auto& loss : state.losses) {
        const bool recent = now - loss.lost_at < detail::confirm_window;
        loss.confirmed = loss.confirmed || (recent && loss.target == target);
    }
}

void clear_suspect(quarantine& state, std::uint64_t fingerprint) {
    for (auto& loss : state.losses) {
        std::erase(loss.fingerprints, fingerprint);
    }
}

std::vector<std::uint64_t> find_suspects(const quarantine& state, steady_time now) {
    std::vector<std::uint64_t> found;
    for (const auto& [fingerprint, losses] : detail::losses_by_suspect(state, now)) {
        found.push_back(fingerprint);
    }
    return found;
}

std::vector<std::uint64_t> update_quarantine(quarantine& state, steady_time now,
                                             std::size_t min_losses) {
    std::vector<std::uint64_t> found;
    for (const auto& [fingerprint, shared] : detail::losses_by_suspect(state, now)) {
        if (shared.size() >= min_losses && !is_quarantined(state, fingerprint, now)) {
            add_to_quarantine(state, fingerprint, now);
            found.push_back(fingerprint);
        }
    }
    return found;
}

void add_to_quarantine(quarantine& state, std::uint64_t fingerprint, steady_time now) {
    state.quarantined.push_back({fingerprint, now + detail::quarantine_time});
}

bool is_quarantined(const quarantine& state, std::uint64_t fingerprint, steady_time now) {
    return std::any_of(state.quarantined.begin(), state.quarantined.end(),
                       [&](const quarantined_request& entry) {
                           return entry.fingerprint == fingerprint && now < entry.until;
                       });
}

}  // namespace mimosavalve::traffic
