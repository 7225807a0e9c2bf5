#include "mimosavalve/traffic/quarantine.hpp"

#include <algorithm>
#include <chrono>
#include <optional>

#include "mimosavalve/ownership/slot.hpp"

namespace mimosavalve::traffic {

namespace detail {

constexpr std::size_t max_prefix = 1024;
constexpr std::size_t max_losses = 32;
constexpr std::size_t max_fingerprints = 64;
// All connections of a crashed process are reset within this time.
constexpr std::chrono::milliseconds loss_window{200};
constexpr std::chrono::minutes hold_time{10};
// A crashed target is noticed by the next request or probe.
constexpr std::chrono::seconds confirm_window{5};

target_loss* find_loss(quarantine& state, std::string_view target, steady_time now) {
    for (auto& loss : state.losses) {
        if (loss.target == target && now - loss.at < loss_window) {
            return &loss;
        }
    }
    return nullptr;
}

/// The fingerprint that two losses have in common, when it is the only one.
std::optional<std::uint64_t> only_common(const target_loss& first, const target_loss& second) {
    std::optional<std::uint64_t> common;
    for (const auto fingerprint : first.fingerprints) {
        const bool in_both = std::find(second.fingerprints.begin(), second.fingerprints.end(),
                                       fingerprint) != second.fingerprints.end();
        if (in_both && common) {
            return std::nullopt;
        }
        if (in_both) {
            common = fingerprint;
        }
    }
    return common;
}

void forget_old(quarantine& state, steady_time now) {
    std::erase_if(state.losses,
                  [&](const target_loss& loss) { return now - loss.at >= hold_time; });
    std::erase_if(state.held, [&](const held_back& entry) { return now >= entry.until; });
}

bool counts(const target_loss& loss, steady_time now) {
    return loss.confirmed && now - loss.at >= loss_window;
}

}  // namespace detail

std::uint64_t fingerprint_of(const request_head& head, std::string_view body_prefix) {
    auto hash = ownership::hash_of(body_prefix.substr(0, detail::max_prefix));
    for (const auto part : {head.route, head.account, head.method, head.id}) {
        hash = ownership::hash_of(part, hash);
    }
    return hash;
}

void record_loss(quarantine& state, std::string_view target, std::uint64_t fingerprint,
                 steady_time now) {
    detail::forget_old(state, now);
    auto* loss = detail::find_loss(state, target, now);
    if (loss == nullptr) {
        if (state.losses.size() >= detail::max_losses) {
            state.losses.erase(state.losses.begin());
        }
        loss = &state.losses.emplace_back(target_loss{std::string(target), now, {}, false});
    }
    auto& known = loss->fingerprints;
    const bool repeated = std::find(known.begin(), known.end(), fingerprint) != known.end();
    if (!repeated && known.size() < detail::max_fingerprints) {
        known.push_back(fingerprint);
    }
}

void confirm_loss(quarantine& state, std::string_view target, steady_time now) {
    for (auto& loss : state.losses) {
        const bool recent = now - loss.at < detail::confirm_window;
        loss.confirmed = loss.confirmed || (recent && loss.target == target);
    }
}

std::vector<std::uint64_t> find_crashing(quarantine& state, steady_time now) {
    std::vector<std::uint64_t> found;
    for (std::size_t second = 1; second < state.losses.size(); ++second) {
        for (std::size_t first = 0; first < second; ++first) {
            const auto& earlier = state.losses[first];
            const auto& later = state.losses[second];
            if (!detail::counts(earlier, now) || !detail::counts(later, now)) {
                continue;
            }
            const auto common = detail::only_common(earlier, later);
            if (common && !is_held_back(state, *common, now)) {
                state.held.push_back({*common, now + detail::hold_time});
                found.push_back(*common);
            }
        }
    }
    return found;
}

bool is_held_back(const quarantine& state, std::uint64_t fingerprint, steady_time now) {
    return std::any_of(state.held.begin(), state.held.end(), [&](const held_back& entry) {
        return entry.fingerprint == fingerprint && now < entry.until;
    });
}

}  // namespace mimosavalve::traffic
