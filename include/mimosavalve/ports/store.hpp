#pragma once

#include <chrono>
#include <cstdint>
#include <functional>
#include <string>
#include <system_error>

#include "mimosavalve/core/types.hpp"

namespace mimosavalve::ports {

/// A value of the store. Revision 0 means that the key does not exist.
struct store_entry {
    std::string value;
    std::uint64_t revision = 0;
};

/// The platform's key-value service. All callbacks run on the thread that made the call, never
/// inside the call. An operation without an answer at its deadline ends with
/// `errc::store_unavailable`, and a write may then have taken effect.
struct store {
    using entry_handler = std::function<void(std::error_code, store_entry)>;
    using revision_handler = std::function<void(std::error_code, std::uint64_t revision)>;
    using lease_handler = std::function<void(std::error_code, std::uint64_t lease)>;
    using done_handler = std::function<void(std::error_code)>;

    /// `errc::not_found` when the key does not exist.
    std::function<void(std::string key, steady_time deadline, entry_handler)> read;

    /// Writes when the key's revision is `expected_revision` (0: must not exist), else
    /// `errc::store_conflict`. With a lease (not 0) the key is deleted when the lease ends.
    std::function<void(std::string key, std::uint64_t expected_revision, std::string value,
                       std::uint64_t lease, steady_time deadline, revision_handler)>
        compare_and_swap;

    std::function<void(std::chrono::milliseconds ttl, steady_time deadline, lease_handler)>
        grant_lease;

    /// `errc::store_lease_expired` when the lease is gone.
    std::function<void(std::uint64_t lease, steady_time deadline, done_handler)> renew_lease;

    /// Ends the lease and deletes its keys.
    std::function<void(std::uint64_t lease, steady_time deadline, done_handler)> revoke_lease;

    /// Answers when the key's revision differs from `known_revision`, or with the unchanged
    /// revision shortly before the deadline. A deleted key has revision 0.
    std::function<void(std::string key, std::uint64_t known_revision, steady_time deadline,
                       entry_handler)>
        watch;
};

}  // namespace mimosavalve::ports
