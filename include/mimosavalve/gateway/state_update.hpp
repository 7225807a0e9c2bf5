#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "mimosavalve/gateway/key_map.hpp"
#include "mimosavalve/gateway/target_registry.hpp"

namespace mimosavalve::gateway {

// Differences between numbered states. They keep messages small: a state goes to every router of
// the fleet, and most changes concern a few ranges or targets.

/// Changes from one numbered map of keys to a later one.
struct key_map_update {
    bool whole = false;  ///< Whether `segments` is a complete map that replaces the previous one.
    std::vector<key_segment> segments;  ///< Changed segments, in order of their keys.
};

key_map_update whole_update(const key_map& map);
key_map_update difference(const key_map& before, const key_map& after);
/// Applies an update to `map`. `elapsed`: time since `map` was last updated; the expected waits in
/// it become shorter by this.
void apply(key_map& map, const key_map_update& update, milliseconds elapsed);

/// Changes from one numbered registry to a later one.
struct registry_update {
    /// Whether `entries` is a complete registry that replaces the previous one.
    bool whole = false;
    std::uint64_t revision = 0;
    std::vector<target_entry> entries;  ///< New and changed entries.
    std::vector<std::string> removed;   ///< Ids of removed targets.
    /// Targets that have gone since, or all that are remembered if `whole` is set.
    std::map<std::string, gone_target> gone{};
};

registry_update whole_update(const registry_state& state);
/// Entries that are equal by `is_same_for_routing` are left out.
registry_update difference(const registry_state& before, const registry_state& after);
/// A copy of the state with an update applied. The evacuated failure domains stay unchanged.
registry_state applied(const registry_state& state, const registry_update& update);

/// Keeps the last `max_states` numbered states, so that a router that has one of them gets a
/// difference instead of the whole state. `Update`: type of the differences.
template <typename State, typename Update = State>
class state_history {
public:
    /// Adds a state under the next number.
    void add(State state) {
        updates_.clear();
        states_.push_back({++number_, std::move(state)});
        if (states_.size() > max_states) {
            states_.pop_front();
        }
    }
    /// Discards all states and skips a number, since routers may have received the current number
    /// in an earlier term.
    void restart() {
        updates_.clear();
        states_.clear();
        ++number_;
    }

    [[nodiscard]] std::uint64_t number() const { return number_; }
    [[nodiscard]] const State* last() const {
        return states_.empty() ? nullptr : &states_.back().state;
    }
    /// The state with this number; null when it is not kept any more.
    [[nodiscard]] const State* find(std::uint64_t number) const {
        for (const auto& kept : states_) {
            if (kept.number == number) {
                return &kept.state;
            }
        }
        return nullptr;
    }

    /// Changes from the state with this number to the last one; the whole state if that one is not
    /// kept any more. Requires a last state. It is built once for all routers that have the same
    /// state: the cost of a change would otherwise grow with routers times targets.
    const Update& update_since(std::uint64_t number) {
        const auto [known, added] = updates_.try_emplace(number);
        if (added) {
            const auto* before = find(number);
            known->second = before == nullptr ? whole_update(states_.back().state)
                                              : difference(*before, states_.back().state);
        }
        return known->second;
    }

private:
    // A state is added about every 0.2 s while targets are replaced, and a router far from a busy
    // leader gets a reply every few seconds. Whole states would keep the leader busy.
    static constexpr std::size_t max_states = 32;

    struct numbered {
        std::uint64_t number = 0;
        State state;
    };
    std::uint64_t number_ = 0;
    std::deque<numbered> states_;
    std::map<std::uint64_t, Update> updates_;  ///< To the last state, by the number of the earlier.
};

}  // namespace mimosavalve::gateway
