#include "mimosavalve/check/history_check.hpp"

#include <algorithm>
#include <unordered_map>
#include <unordered_set>

namespace mimosavalve::check {

namespace detail {

std::unordered_map<std::string, const target_run*> runs_by_request(const history& checked) {
    std::unordered_map<std::string, const target_run*> runs;
    for (const auto& run : checked.runs) {
        runs.emplace(run.request_id, &run);
    }
    return runs;
}

std::string answer_text(const load::attempt_record& attempt) {
    return "request " + attempt.request_id + " " + attempt.method + " " + attempt.path + " by " +
           attempt.router + ", status " + std::to_string(attempt.status);
}

bool may_be_in(const std::string& account, const std::string& region, const home_regions& homes) {
    const auto found = homes.find(account);
    return found == homes.end() || found->second.empty() ||
           std::find(found->second.begin(), found->second.end(), region) != found->second.end();
}

}  // namespace detail

std::string_view to_string(violation_kind kind) {
    switch (kind) {
        case violation_kind::overlapping_owners:
            return "overlapping-owners";
        case violation_kind::overlap_across_pause:
            return "overlap-across-pause";
        case violation_kind::older_fence:
            return "older-fence";
        case violation_kind::refused_but_started:
            return "refused-but-started";
        case violation_kind::repeated_effect:
            return "repeated-effect";
        case violation_kind::foreign_answer:
            return "foreign-answer";
        case violation_kind::answer_without_start:
            return "answer-without-start";
        case violation_kind::outside_home_regions:
            return "outside-home-regions";
    }
    return "unknown";
}

void check_refusals(const history& checked, std::vector<violation>& found) {
    const auto runs = detail::runs_by_request(checked);
    for (const auto& attempt : checked.attempts) {
        const auto run = runs.find(attempt.request_id);
        if (attempt.verdict == "not-run" && run != runs.end()) {
            found.push_back({violation_kind::refused_but_started,
                             detail::answer_text(attempt) + ", reason '" + attempt.reason +
                                 "', but started on " + run->second->target + " at " +
                                 std::to_string(run->second->start_ns) + " ns"});
        }
    }
}

void check_idempotency(const history& checked, std::vector<violation>& found) {
    std::unordered_map<std::string, const target_run*> first;
    for (const auto& run : checked.runs) {
        if (run.idempotency_key.empty()) {
            continue;
        }
        const auto [known, added] = first.emplace(run.idempotency_key, &run);
        if (!added) {
            found.push_back({violation_kind::repeated_effect,
                             "key " + run.idempotency_key + ": request " + run.request_id +
                                 " started on " + run.target + " after request " +
                                 known->second->request_id + " on " + known->second->target});
        }
    }
}

void check_answers(const history& checked, std::vector<violation>& found) {
    const auto runs = detail::runs_by_request(checked);
    for (const auto& attempt : checked.attempts) {
        if (attempt.status == 0) {
            continue;
        }
        const bool good = load::is_good(attempt);
        // Only an answer to a request that could not be read may lack the id.
        const bool foreign_id =
            attempt.answered_id != attempt.request_id && (good || !attempt.answered_id.empty());
        if (foreign_id || !attempt.body_matches) {
            found.push_back({violation_kind::foreign_answer,
                             detail::answer_text(attempt) + ", answered id '" +
                                 attempt.answered_id + "', body " +
                                 (attempt.body_matches ? "as expected" : "of another request") +
                                 ", expected " + std::to_string(attempt.expected_size) +
                                 " bytes with hash '" + attempt.expected_hash + "'"});
        }
        if (good && !runs.contains(attempt.request_id)) {
            found.push_back({violation_kind::answer_without_start, detail::answer_text(attempt)});
        }
    }
}

void check_homes(const history& checked, const home_regions& homes, std::vector<violation>& found) {
    for (const auto& run : checked.runs) {
        const auto& region = checked.targets.at(run.target).region;
        const auto owner = path_key_of(run.path).account;
        const bool permitted = detail::may_be_in(owner, region, homes) &&
                               detail::may_be_in(run.account, region, homes);
        if (!permitted) {
            found.push_back({violation_kind::outside_home_regions,
                             "request " + run.request_id + " " + run.path + " of account " +
                                 run.account + " started on " + run.target + " in " + region});
        }
    }
}

std::vector<violation> check_history(const history& checked, const home_regions& homes) {
    std::vector<violation> found;
    check_owners(checked, found);
    check_fences(checked, found);
    check_refusals(checked, found);
    check_idempotency(checked, found);
    check_answers(checked, found);
    check_homes(checked, homes, found);
    return found;
}

}  // namespace mimosavalve::check
