#pragma once

#include <system_error>

namespace mimosavalve {

/// Errors of the library's own operations.
enum class errc {
    store_unavailable = 1,  ///< The store did not answer in time; a write may have taken effect.
    store_refused,          ///< The store refused the call; nothing was done.
    store_conflict,         ///< The compare-and-swap did not find the expected revision.
    store_lease_expired,    ///< The store does not know the lease (any more).
    history_lost,           ///< The store no longer has the changes asked for.
    not_found,              ///< The key does not exist.
    invalid_settings,       ///< Settings or a command did not pass their check.
    malformed_message,      ///< A message could not be decoded.
    peer_unreachable,       ///< A process of ours did not answer in time.
    target_unreachable,     ///< A connection to the target could not be opened.
    target_refused,         ///< The target refused an order or a request.
    no_serving_lease,       ///< The router holds no serving lease for the shard.
    deadline_exceeded,      ///< The deadline passed first.
};

const std::error_category& mimosavalve_category();

std::error_code make_error_code(errc code);

}  // namespace mimosavalve

template <>
struct std::is_error_code_enum<mimosavalve::errc> : std::true_type {};
