#pragma once

#include <system_error>

namespace mimosavalve {

/// Errors of operations of the library.
enum class errc {
    store_unavailable = 1,  ///< The store did not answer in time; a write may have taken effect.
    store_refused,          ///< The store refused the call and changed nothing.
    store_conflict,         ///< The stored revision differs from the one that the write expected.
    store_lease_expired,    ///< The store does not have the lease, or it has expired.
    history_lost,           ///< The store no longer has the requested changes.
    not_found,              ///< The key does not exist.
    invalid_settings,       ///< Settings or a command failed validation.
    malformed_message,      ///< A message could not be decoded.
    peer_unreachable,       ///< Another router did not answer in time.
    target_unreachable,     ///< A connection to the target could not be opened.
    target_refused,         ///< The target refused a control call or a request.
    no_serving_lease,       ///< The router holds no serving lease for the shard.
    deadline_exceeded,      ///< The deadline passed before the operation was done.
};

const std::error_category& mimosavalve_category();

std::error_code make_error_code(errc code);

}  // namespace mimosavalve

template <>
struct std::is_error_code_enum<mimosavalve::errc> : std::true_type {};
