#include "mimosavalve/standins/target_rules.hpp"

#include <algorithm>
#include <charconv>
#include <nlohmann/json.hpp>

namespace mimosavalve::standins {

namespace detail {

// Bounds the work and memory that one order can cause.
constexpr std::uint64_t most_slots_per_order = std::uint64_t{1} << 20U;

std::optional<std::uint64_t> parse_whole(std::string_view text) {
    std::uint64_t value = 0;
    const auto* end = text.data() + text.size();
    const auto result = std::from_chars(text.data(), end, value);
    if (text.empty() || result.ec != std::errc() || result.ptr != end) {
        return std::nullopt;
    }
    return value;
}

bool read_whole(const nlohmann::json& object, const char* field, std::uint64_t most,
                std::uint64_t& value, std::string& problem) {
    const auto found = object.find(field);
    if (found == object.end() || !found->is_number_unsigned() ||
        found->get<std::uint64_t>() > most) {
        problem = std::string(field) + ": a whole number from 0 to " + std::to_string(most);
        return false;
    }
    value = found->get<std::uint64_t>();
    return true;
}

bool read_text(const nlohmann::json& object, const char* field, std::string& value,
               std::string& problem) {
    const auto found = object.find(field);
    if (found == object.end() || !found->is_string()) {
        problem = std::string(field) + ": a text";
        return false;
    }
    value = found->get<std::string>();
    return true;
}

bool read_grant(const nlohmann::json& object, ports::slot_grant& grant, std::string& problem) {
    std::uint64_t first = 0;
    std::uint64_t count = 0;
    std::string fence;
    if (!object.is_object()) {
        problem = "grants: a list of objects";
        return false;
    }
    if (!read_text(object, "service", grant.service, problem) ||
        !read_whole(object, "first_slot", UINT32_MAX - most_slots_per_order, first, problem) ||
        !read_whole(object, "count", most_slots_per_order, count, problem) ||
        !read_text(object, "fence", fence, problem)) {
        return false;
    }
    const auto parsed = parse_fence(fence);
    if (!parsed) {
        problem = "fence: \"epoch.sequence\"";
        return false;
    }
    grant.first_slot = static_cast<ownership::slot_number>(first);
    grant.count = static_cast<std::uint32_t>(count);
    grant.fence = *parsed;
    return true;
}

bool read_grants(const nlohmann::json& list, std::vector<ports::slot_grant>& grants,
                 std::string& problem) {
    std::uint64_t total = 0;
    for (const auto& item : list) {
        ports::slot_grant grant;
        if (!read_grant(item, grant, problem)) {
            return false;
        }
        total += grant.count;
        grants.push_back(std::move(grant));
        if (total > most_slots_per_order) {
            problem = "grants: at most " + std::to_string(most_slots_per_order) + " slots";
            return false;
        }
    }
    return true;
}

template <typename Visitor>
void for_each_slot(std::span<const ports::slot_grant> grants, Visitor visit) {
    for (const auto& grant : grants) {
        for (std::uint32_t offset = 0; offset < grant.count; ++offset) {
            visit(grant, grant.first_slot + offset);
        }
    }
}

}  // namespace detail

std::optional<version> parse_fence(std::string_view text) {
    const auto dot = text.find('.');
    if (dot == std::string_view::npos) {
        return std::nullopt;
    }
    const auto epoch = detail::parse_whole(text.substr(0, dot));
    const auto sequence = detail::parse_whole(text.substr(dot + 1));
    if (!epoch || !sequence) {
        return std::nullopt;
    }
    return version{*epoch, *sequence};
}

std::optional<target_order> parse_order(std::string_view json, std::string& problem) {
    const auto document = nlohmann::json::parse(json, nullptr, false);
    if (!document.is_object()) {
        problem = "body: a JSON object";
        return std::nullopt;
    }
    target_order order;
    if (!detail::read_whole(document, "deadline_clock_ms", INT64_MAX / 1'000'000,
                            order.deadline_clock_ms, problem)) {
        return std::nullopt;
    }
    const auto list = document.find("grants");
    if (list == document.end() || !list->is_array()) {
        problem = "grants: a list of objects";
        return std::nullopt;
    }
    if (!detail::read_grants(*list, order.grants, problem)) {
        return std::nullopt;
    }
    return order;
}

std::string_view to_string(start_refusal refusal) {
    switch (refusal) {
        case start_refusal::none:
            return "none";
        case start_refusal::start_by:
            return "start-by";
        case start_refusal::overloaded:
            return "overloaded";
        case start_refusal::no_grant:
            return "no-grant";
        case start_refusal::fence:
            return "fence";
    }
    return "none";
}

bool fence_table::is_older(std::span<const ports::slot_grant> grants) const {
    bool older = false;
    detail::for_each_slot(grants, [&](const ports::slot_grant& grant, ownership::slot_number slot) {
        const auto found = slots_.find({grant.service, slot});
        older = older || (found != slots_.end() && grant.fence < found->second.highest);
    });
    return older;
}

void fence_table::grant(std::span<const ports::slot_grant> grants) {
    detail::for_each_slot(grants, [&](const ports::slot_grant& grant, ownership::slot_number slot) {
        auto& entry = slots_[{grant.service, slot}];
        entry.highest = grant.fence;
        entry.granted = grant.fence;
    });
}

void fence_table::revoke(std::span<const ports::slot_grant> grants) {
    detail::for_each_slot(grants, [&](const ports::slot_grant& grant, ownership::slot_number slot) {
        auto& entry = slots_[{grant.service, slot}];
        entry.highest = std::max(entry.highest, grant.fence);
        if (entry.granted && *entry.granted < grant.fence) {
            entry.granted.reset();
        }
    });
}

start_refusal fence_table::check(const std::string& service, ownership::slot_number slot,
                                 const version& fence) const {
    const auto found = slots_.find({service, slot});
    if (found == slots_.end() || !found->second.granted) {
        return start_refusal::no_grant;
    }
    return *found->second.granted == fence ? start_refusal::none : start_refusal::fence;
}

bool fence_table::holds_any() const {
    return std::any_of(slots_.begin(), slots_.end(),
                       [](const auto& item) { return item.second.granted.has_value(); });
}

}  // namespace mimosavalve::standins
