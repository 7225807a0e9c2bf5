#include "mimosavalve/observe/event_record.hpp"

#include <algorithm>
#include <array>
#include <charconv>

namespace mimosavalve::observe {

namespace detail {

constexpr std::array<std::string_view, 11> kind_names{
    "grant",    "activation", "move",       "leader",  "loss",   "ejection",
    "comeback", "limit",      "quarantine", "refusal", "command"};

bool parse_number(std::string_view text, std::uint64_t& out) {
    const auto* end = text.data() + text.size();
    const auto [rest, failure] = std::from_chars(text.data(), end, out);
    return failure == std::errc{} && rest == end;
}

// `subject` is "slots/SERVICE/REGION/FIRST-LAST", `queried` is "slot/SERVICE/REGION/N".
bool run_holds_slot(std::string_view subject, std::string_view queried) {
    constexpr std::string_view runs = "slots/";
    constexpr std::string_view slot = "slot/";
    if (!subject.starts_with(runs) || !queried.starts_with(slot)) {
        return false;
    }
    subject.remove_prefix(runs.size());
    queried.remove_prefix(slot.size());
    const auto place = subject.rfind('/');
    const auto dash = subject.rfind('-');
    if (place == std::string_view::npos || dash == std::string_view::npos || dash < place ||
        subject.substr(0, place) != queried.substr(0, queried.rfind('/'))) {
        return false;
    }
    std::uint64_t first = 0;
    std::uint64_t last = 0;
    std::uint64_t number = 0;
    return parse_number(subject.substr(place + 1, dash - place - 1), first) &&
           parse_number(subject.substr(dash + 1), last) &&
           parse_number(queried.substr(place + 1), number) && first <= number && number <= last;
}

bool may_be_given_to(const event_record& record, const std::string& region) {
#ifdef MV_WITHOUT_EVENT_HOME_REGION
    static_cast<void>(record);
    static_cast<void>(region);
    return true;
#else
    const auto& homes = record.bound_regions;
    return homes.empty() || std::find(homes.begin(), homes.end(), region) != homes.end();
#endif
}

}  // namespace detail

std::string_view to_string(event_kind kind) {
    return detail::kind_names.at(static_cast<std::size_t>(kind));
}

std::optional<event_kind> event_kind_of(std::string_view name) {
    const auto found = std::find(detail::kind_names.begin(), detail::kind_names.end(), name);
    if (found == detail::kind_names.end()) {
        return std::nullopt;
    }
    return static_cast<event_kind>(found - detail::kind_names.begin());
}

bool subject_matches(std::string_view subject, std::string_view queried) {
    const bool equal_or_below = subject.starts_with(queried) && (subject.size() == queried.size() ||
                                                                 subject[queried.size()] == '/');
    return equal_or_below || detail::run_holds_slot(subject, queried);
}

bool matches(const event_record& record, const event_query& query) {
    const bool in_time = record.unix_ms >= query.since_unix_ms &&
                         (query.until_unix_ms == 0 || record.unix_ms <= query.until_unix_ms);
    const bool about =
        query.subjects.empty() ||
        std::any_of(query.subjects.begin(), query.subjects.end(), [&](const std::string& queried) {
            return subject_matches(record.subject, queried);
        });
    return in_time && about && detail::may_be_given_to(record, query.asking_region);
}

}  // namespace mimosavalve::observe
