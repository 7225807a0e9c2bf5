#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "mimosavalve/check/history.hpp"

namespace mimosavalve::check {

enum class violation_kind {
    overlapping_owners,    ///< Two targets ran requests of one key at the same time.
    overlap_across_pause,  ///< The same, and the older run was on a target that was paused in it.
    older_fence,           ///< A start under an older fence after a newer one on another target.
    refused_but_started,   ///< The verdict was "not-run", but a target started the request.
    repeated_effect,       ///< An idempotency key started more than once.
    foreign_answer,        ///< The answer belongs to another request.
    answer_without_start,  ///< A 2xx answer to a request that no target started.
    outside_home_regions,  ///< A bound account's request started in another region.
};

std::string_view to_string(violation_kind kind);

struct violation {
    violation_kind kind = violation_kind::overlapping_owners;
    std::string text;  ///< Names the requests, targets and times.
};

/// Home regions by account. An account that is absent or has none may be served anywhere.
using home_regions = std::map<std::string, std::vector<std::string>>;

/// All violations of the guarantees that the history shows.
std::vector<violation> check_history(const history& checked, const home_regions& homes);

/// The checks one by one. Each appends what it finds.
void check_owners(const history& checked, std::vector<violation>& found);
void check_fences(const history& checked, std::vector<violation>& found);
void check_refusals(const history& checked, std::vector<violation>& found);
void check_idempotency(const history& checked, std::vector<violation>& found);
void check_answers(const history& checked, std::vector<violation>& found);
void check_homes(const history& checked, const home_regions& homes, std::vector<violation>& found);

}  // namespace mimosavalve::check
