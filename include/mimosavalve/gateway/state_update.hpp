#pragma once

#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <vector>

#include "mimosavalve/gateway/key_map.hpp"
#include "mimosavalve/gateway/target_registry.hpp"

namespace mimosavalve::gateway {

// Differences between numbered states. Most changes concern a few ranges or targets, and a state
// goes to every router of the fleet.

/// Brings a map of keys from one number to a later one.
struct key_map_update {
    bool whole = false;                 ///< Replaces all that was known.
    std::vector<key_segment> segments;  ///< The changed ones, in order.
};

key_map_update whole_update(const key_map& map);
key_map_update difference(const key_map& before, const key_map& after);
/// `passed`: time since the waits of `map` were true.
void apply(key_map& map, const key_map_update& update, milliseconds passed);

/// Brings a registry from one number to a later one.
struct registry_update {
    bool whole = false;
    std::uint64_t revision = 0;
    std::vector<target_entry> entries;  ///< New and changed ones.
    std::vector<std::string> removed;   ///< Ids.
};

registry_update whole_update(const registry_state& state);
/// Entries that differ only in what `differs_for_routing` ignores are left out.
registry_update difference(const registry_state& before, const registry_state& after);
/// Evacuated failure domains stay as they are.
registry_state applied(const registry_state& state, const registry_update& update);

/// The last few numbered states, so that a router that is a little behind gets a difference.
template <typename State>
class state_history {
public:
    /// Gives the next number to a state.
    void add(State state) {
        states_.push_back({++number_, std::move(state)});
        if (states_.size() > most_states) {
            states_.pop_front();
        }
    }
    /// Skips numbers that routers may know from an earlier leader's time.
    void restart() {
        states_.clear();
        ++number_;
    }

    [[nodiscard]] std::uint64_t number() const { return number_; }
    [[nodiscard]] const State* last() const {
        return states_.empty() ? nullptr : &states_.back().state;
    }
    /// The state with a number; null when it is no longer kept.
    [[nodiscard]] const State* find(std::uint64_t number) const {
        for (const auto& kept : states_) {
            if (kept.number == number) {
                return &kept.state;
            }
        }
        return nullptr;
    }

private:
    // A router asks again within a few hundred ms; a leader changes a map a few times a second.
    static constexpr std::size_t most_states = 6;

    struct numbered {
        std::uint64_t number = 0;
        State state;
    };
    std::uint64_t number_ = 0;
    std::deque<numbered> states_;
};

}  // namespace mimosavalve::gateway
