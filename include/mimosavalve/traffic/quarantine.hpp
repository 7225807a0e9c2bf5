#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "mimosavalve/core/types.hpp"
#include "mimosavalve/traffic/request_head.hpp"

namespace mimosavalve::traffic {

/// Bytes of a body that its fingerprint covers.
inline constexpr std::size_t fingerprint_body_bytes = 1024;

/// Hash of route, account, method, path and the first KB of the body: repeats of one request have
/// the same one.
std::uint64_t fingerprint_of(const request_head& head, std::string_view body_prefix);

/// Requests that were in flight when a target was lost.
struct target_loss {
    std::string target;
    steady_time at;
    std::vector<std::uint64_t> fingerprints;  ///< Without repeats; at most 64.
    bool confirmed = false;  ///< The target was gone; else it may just have closed a connection.
};

struct held_back {
    std::uint64_t fingerprint = 0;
    steady_time until;
};

/// Finds requests that crash targets. A caller that repeats such a request would take down one
/// target after the other, so it is held back after some losses that have only it in common.
struct quarantine {
    std::vector<target_loss> losses;  ///< Of the last 10 minutes, at most 32.
    std::vector<held_back> held;
};

/// Notes that a request lost its connection before an answer. Losses of one target within 200 ms
/// are one loss.
void record_loss(quarantine& state, std::string_view target, std::uint64_t fingerprint,
                 steady_time now);

/// Notes that the target of a recent loss could not be reached or has another instance.
void confirm_loss(quarantine& state, std::string_view target, steady_time now);

/// The request was answered, so it crashes nothing: its losses no longer count.
void absolve(quarantine& state, std::uint64_t fingerprint);

/// Fingerprints that two confirmed losses have in common, and nothing else.
std::vector<std::uint64_t> find_suspects(const quarantine& state, steady_time now);

/// Fingerprints that are held back from now on for 10 minutes, after `losses` confirmed ones (at
/// least 2); to be called some times a second.
std::vector<std::uint64_t> find_crashing(quarantine& state, steady_time now,
                                         std::size_t losses = 2);

/// Holds a request back for 10 minutes from now on, as somebody else has found.
void hold_back(quarantine& state, std::uint64_t fingerprint, steady_time now);

bool is_held_back(const quarantine& state, std::uint64_t fingerprint, steady_time now);

}  // namespace mimosavalve::traffic
