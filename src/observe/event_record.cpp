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
    const auto [rest, error] = std::from_chars(text.data(), end, out);
    return error == std::errc{} && rest == end;
}

// Whether `subject` is "slots/SERVICE/REGION/FIRST-LAST" and `queried` is "slot/SERVICE/REGION/N"
// with N in that range.
bool range_contains_slot(std::string_view subject, std::string_view queried) {
    constexpr std::string_view slots_prefix = "slots/";
    constexpr std::string_view slot_prefix = "slot/";
    if (!subject.starts_with(slots_prefix) || !queried.starts_with(slot_prefix)) {
        return false;
    }
    subject.remove_prefix(slots_prefix.size());
    queried.remove_prefix(slot_prefix.size());
    const auto last_slash = subject.rfind('/');
    const auto dash = subject.rfind('-');
    if (last_slash == std::string_view::npos || dash == std::string_view::npos ||
        dash < last_slash ||
        subject.substr(0, last_slash) != queried.substr(0, queried.rfind('/'))) {
        return false;
    }
    std::uint64_t first = 0;
    std::uint64_t last = 0;
    std::uint64_t number = 0;
    return parse_number(subject.substr(last_slash + 1, dash - last_slash - 1), first) &&
           parse_number(subject.substr(dash + 1), last) &&
           parse_number(queried.substr(last_slash + 1), number) && first <= number &&
           number <= last;
}

bool is_visible_in(const event_record& record, const std::string& region) {
#ifdef MV_WITHOUT_EVENT_HOME_REGION
    static_cast<void>(record);
    static_cast<void>(region);
    return true;
#else
    const auto& home_regions = record.bound_regions;
    return home_regions.empty() ||
           std::find(home_regions.begin(), home_regions.end(), region) != home_regions.end();
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
    const bool is_equal_or_below =
        subject.starts_with(queried) &&
        (subject.size() == queried.size() || subject[queried.size()] == '/');
    return is_equal_or_below || detail::range_contains_slot(subject, queried);
}

bool matches(const event_record& record, const event_query& query) {
    const bool is_in_time_range =
        record.unix_ms >= query.since_unix_ms &&
        (query.until_unix_ms == 0 || record.unix_ms <= query.until_unix_ms);
    const bool has_matching_subject =
        query.subjects.empty() ||
        std::any_of(query.subjects.begin(), query.subjects.end(), [&](const std::string& queried) {
            return subject_matches(record.subject, queried);
        });
    return is_in_time_range && has_matching_subject &&
           detail::is_visible_in(record, query.asking_region);
}

}  // namespace mimosavalve::observe
