#include "mimosavalve/command/config_change.hpp"

#include <algorithm>
#include <array>

#include "command/change_effect.hpp"
#include "mimosavalve/command/scope.hpp"
#include "mimosavalve/config/fleet_config_check.hpp"
#include "mimosavalve/config/names.hpp"

namespace mimosavalve::command {

namespace detail {

constexpr std::array<std::string_view, 7> reason_names{
    "conflict",     "ruling",       "identity-reused", "unknown-base",
    "expired-base", "unknown-name", "impossible"};

bool is_ruling(const config::applied_command& command) {
    return command.text.starts_with("rule ");
}

const config::applied_command* find_applied(const config::fleet_config& config,
                                            std::string_view id) {
    const auto found = std::find_if(config.applied.begin(), config.applied.end(),
                                    [&](const auto& each) { return each.id == id; });
    return found == config.applied.end() ? nullptr : &*found;
}

refusal lost_to(refusal_reason reason, const config::applied_command& winner, std::string text) {
    return {reason, std::move(text), winner.version, winner.id, winner.text};
}

// Every version after the first one was made by one command, so a smaller number of remembered
// commands than of versions since the base means that some are forgotten.
bool remembers_since(const config::fleet_config& config, std::uint64_t base) {
    const auto remembered = std::count_if(config.applied.begin(), config.applied.end(),
                                          [&](const auto& each) { return each.version > base; });
    return static_cast<std::uint64_t>(remembered) == config.version - base;
}

refusal unknown_base(const config::fleet_config& current, std::uint64_t base) {
    return {refusal_reason::unknown_base,
            "version " + std::to_string(base) + " is newer than the configuration, " +
                std::to_string(current.version),
            0,
            {},
            {}};
}

refusal expired_base(const config::fleet_config& current, std::uint64_t base) {
    return {refusal_reason::expired_base,
            "the commands since version " + std::to_string(base) +
                " are not remembered; look at version " + std::to_string(current.version) +
                " and decide again",
            0,
            {},
            {}};
}

std::optional<refusal> check_rulings(const config::fleet_config& current, std::string_view scope,
                                     std::uint64_t base) {
    for (const auto& ruling : current.rulings) {
        if (ruling.since_version > base && scopes_overlap(ruling.scope, scope)) {
            config::applied_command winner{
                "", to_string(change(rule_scope{ruling.scope, ruling.upheld})), ruling.scope,
                ruling.since_version};
            for (const auto& each : current.applied) {
                if (each.version == ruling.since_version) {
                    winner = each;
                }
            }
            return lost_to(refusal_reason::ruling, winner,
                           "ruled on " + ruling.scope + " in favour of " + ruling.upheld +
                               " after version " + std::to_string(base));
        }
    }
    return std::nullopt;
}

// The newest winner is named, since the operator has to look at its result.
std::optional<refusal> check_conflicts(const config::fleet_config& current, std::string_view scope,
                                       std::uint64_t base) {
    const auto winner =
        std::find_if(current.applied.rbegin(), current.applied.rend(), [&](const auto& each) {
            return each.version > base && !is_ruling(each) && scopes_overlap(each.scope, scope);
        });
    if (winner == current.applied.rend()) {
        return std::nullopt;
    }
    return lost_to(refusal_reason::conflict, *winner,
                   "changed " + winner->scope + " after version " + std::to_string(base));
}

std::optional<refusal> check_order(const config::fleet_config& current,
                                   const change_request& request, std::string_view scope) {
    const auto base = request.based_on.value_or(current.version);
    const bool rules = std::holds_alternative<rule_scope>(request.what);
    if (base > current.version) {
        return unknown_base(current, base);
    }
    if (!rules && !remembers_since(current, base)) {
        return expired_base(current, base);
    }
#ifndef MV_WITHOUT_RULING_CHECK
    if (auto refused = check_rulings(current, scope, base)) {
        return refused;
    }
#endif
#ifndef MV_WITHOUT_COMMAND_CONFLICT
    // A ruling decides on the commands that were accepted before it and never loses to them.
    if (!rules) {
        return check_conflicts(current, scope, base);
    }
#endif
    return std::nullopt;
}

std::optional<refusal> check_consistency(const config::fleet_config& next) {
    const auto found = config::inconsistencies_of(next);
    if (found.empty()) {
        return std::nullopt;
    }
    return refusal{refusal_reason::impossible,
                   found[0].field + " '" + found[0].value + "'; allowed: " + found[0].allowed,
                   0,
                   {},
                   {}};
}

std::size_t size_of(const config::applied_command& command) {
    return command.id.size() + command.text.size() + command.scope.size();
}

// Adds a command and forgets the oldest ones that exceed the bounds.
void remember(config::fleet_config& next, config::applied_command command) {
    auto& applied = next.applied;
    applied.push_back(std::move(command));
    std::size_t bytes = 0;
    std::size_t kept = 0;
    while (kept < std::min(applied.size(), most_applied_commands)) {
        bytes += size_of(applied[applied.size() - 1 - kept]);
        if (bytes > most_applied_bytes) {
            break;
        }
        ++kept;
    }
    applied.erase(applied.begin(), applied.end() - static_cast<std::ptrdiff_t>(kept));
}

}  // namespace detail

std::string_view to_string(refusal_reason reason) {
    return detail::reason_names.at(static_cast<std::size_t>(reason));
}

std::string to_string(const refusal& why) {
    auto text = "refused: " + std::string(to_string(why.reason)) + ": ";
    if (why.version != 0) {
        text += "version " + std::to_string(why.version) + " (command " + why.command_id + ": " +
                why.command_text + ") ";
    }
    return text + why.detail;
}

change_decision decide(const config::fleet_config& current, const change_request& request) {
    const auto text = to_string(request.what);
    if (!config::is_name(request.id)) {
        return refusal{refusal_reason::impossible, "the identity is not a name", 0, {}, {}};
    }
#ifndef MV_WITHOUT_COMMAND_IDENTITY
    if (const auto* applied = detail::find_applied(current, request.id)) {
        if (applied->text != text) {
            return detail::lost_to(refusal_reason::identity_reused, *applied,
                                   "has the same identity");
        }
        return repeated_change{applied->version};
    }
#endif
    const auto scope = scope_of(request.what);
    if (auto refused = detail::check_order(current, request, scope)) {
        return *std::move(refused);
    }
    auto next = current;
    if (auto refused = apply_change(next, request.what)) {
        return *std::move(refused);
    }
    next.version = current.version + 1;
    detail::remember(next, {request.id, text, scope, next.version});
    if (auto refused = detail::check_consistency(next)) {
        return *std::move(refused);
    }
    return accepted_change{std::move(next)};
}

}  // namespace mimosavalve::command
