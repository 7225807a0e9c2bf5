#pragma once

#include <string_view>

namespace mimosavalve {

/// Whether a request has run on a target. A retry is permitted only after `not_run`.
enum class traffic_verdict {
    not_run,
    may_have_run,
    ran,
};

/// Value of the `Mimosavalve-Verdict` header: "not-run", "may-have-run" or "ran".
std::string_view to_string(traffic_verdict verdict);

}  // namespace mimosavalve
