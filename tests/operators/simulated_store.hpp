#pragma once

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include "mimosavalve/core/error.hpp"
#include "mimosavalve/ports/store.hpp"

namespace mimosavalve::testing {

/// Runs actions in the order of a virtual time; actions of the same time in the order of posting.
class virtual_clock {
public:
    [[nodiscard]] steady_time now() const { return now_; }

    void at(steady_time when, std::function<void()> action) {
        actions_.emplace(when < now_ ? now_ : when, std::move(action));
    }

    void after(std::chrono::milliseconds delay, std::function<void()> action) {
        at(now_ + delay, std::move(action));
    }

    /// Runs until nothing is left to do.
    void run() {
        while (!actions_.empty()) {
            const auto first = actions_.begin();
            now_ = first->first;
            const auto action = std::move(first->second);
            actions_.erase(first);
            action();
        }
    }

private:
    steady_time now_ = steady_time(std::chrono::hours(1));
    std::multimap<steady_time, std::function<void()>> actions_;
};

/// Chances of faults in percent, and delays.
struct store_faults {
    int lost_call = 0;     ///< The call never reaches the store.
    int lost_answer = 0;   ///< The effect happens, the caller hears nothing.
    int delayed_call = 0;  ///< The effect happens `longest_delay` or less later.
    std::chrono::milliseconds longest_delay{5000};
    std::chrono::milliseconds longest_latency{20};
};

/// One key of the platform's store, with faults drawn from a seed. A call without an answer at its
/// deadline ends with `errc::store_unavailable`, and a write may take effect long after.
class simulated_store {
public:
    struct write {
        std::uint64_t revision = 0;
        std::string value;
    };

    simulated_store(virtual_clock& clock, std::uint64_t seed) : clock_(clock), random_(seed) {}

    store_faults faults;
    bool down = false;  ///< Calls are lost, and nothing is answered.

    void put(std::string value) { writes_.push_back({writes_.size() + 1, std::move(value)}); }

    /// Every accepted write, in order.
    [[nodiscard]] const std::vector<write>& writes() const { return writes_; }

    ports::store port() {
        ports::store out;
        out.read = [this](const std::string& /*key*/, steady_time deadline,
                          const ports::store::entry_handler& handler) {
            call<ports::store_entry>(deadline, handler, [this](ports::store_entry& entry) {
                if (writes_.empty()) {
                    return make_error_code(errc::not_found);
                }
                entry = {writes_.back().value, writes_.back().revision};
                return std::error_code{};
            });
        };
        out.compare_and_swap = [this](const std::string& /*key*/, std::uint64_t expected,
                                      const std::string& value, std::uint64_t /*lease*/,
                                      steady_time deadline,
                                      const ports::store::revision_handler& handler) {
            call<std::uint64_t>(deadline, handler, [=, this](std::uint64_t& revision) {
                if (expected != writes_.size()) {
                    return make_error_code(errc::store_conflict);
                }
                put(value);
                revision = writes_.size();
                return std::error_code{};
            });
        };
        return out;
    }

private:
    struct pending {
        bool answered = false;
    };

    bool drawn(int percent) { return static_cast<int>(random_() % 100) < percent; }

    std::chrono::milliseconds drawn(std::chrono::milliseconds longest) {
        const auto count = static_cast<std::uint64_t>(longest.count());
        return std::chrono::milliseconds(1 + random_() % count);
    }

    template <typename Answer, typename Handler, typename Effect>
    void call(steady_time deadline, const Handler& handler, Effect effect) {
        const auto state = std::make_shared<pending>();
        clock_.at(deadline, [state, handler] {
            if (!state->answered) {
                state->answered = true;
                handler(errc::store_unavailable, Answer{});
            }
        });
        if (down || drawn(faults.lost_call)) {
            return;
        }
        const bool late = drawn(faults.delayed_call);
        const bool answer_lost = drawn(faults.lost_answer);
        const auto back = drawn(faults.longest_latency);
        clock_.after(drawn(late ? faults.longest_delay : faults.longest_latency),
                     [=, this]() mutable {
                         Answer answer{};
                         const auto error = effect(answer);
                         if (answer_lost) {
                             return;
                         }
                         clock_.after(back, [=] {
                             if (!state->answered) {
                                 state->answered = true;
                                 handler(error, answer);
                             }
                         });
                     });
    }

    virtual_clock& clock_;
    std::mt19937_64 random_;
    std::vector<write> writes_;
};

}  // namespace mimosavalve::testing
