#include "mimosavalve/command/execute.hpp"

#include <algorithm>

#include "command/show.hpp"
#include "mimosavalve/command/parser.hpp"
#include "mimosavalve/core/error.hpp"
#include "mimosavalve/observe/event_log.hpp"
#include "mimosavalve/observe/log.hpp"
#include "mimosavalve/ownership/slot.hpp"

namespace mimosavalve::command {

namespace detail {

using config_pointer = std::shared_ptr<const config::fleet_config>;

// Events about a key are recorded under the key, under the run that holds its slot and under its
// account.
std::vector<std::string> subjects_of_key(const config::fleet_config& config,
                                         const std::string& key) {
    const auto slash = key.find('/');
    const auto account = key.substr(0, slash);
    const auto id = key.substr(slash + 1);
    const auto regions = regions_of(config, account);
    std::vector<std::string> subjects{"key/" + key, "account/" + account};
    for (const auto& service : config.services) {
        if (service.keyed) {
            const auto slot =
                ownership::slot_of(service.name, account, id, service.slots_per_region);
            subjects.push_back(
                "slot/" + service.name + "/" +
                std::string(ownership::region_of(service.name, account, id, regions)) + "/" +
                std::to_string(slot));
        }
    }
    return subjects;
}

observe::event_query query_of(const config::fleet_config& config, const command_context& context,
                              const explain& asked) {
    observe::event_query query;
    query.asking_region = context.region;
    if (asked.since) {
        const auto ago = static_cast<std::uint64_t>(asked.since->ago.count());
        const auto now = context.unix_ms();
        query.since_unix_ms = ago == 0 ? asked.since->unix_ms : now - std::min(now, ago);
    }
    switch (asked.kind) {
        case subject_kind::key:
            query.subjects = subjects_of_key(config, asked.name);
            break;
        case subject_kind::target:
            query.subjects = {"target/" + asked.name};
            break;
        case subject_kind::request:
            query.subjects = {"request/" + asked.name};
            break;
        case subject_kind::account:
            query.subjects = {"account/" + asked.name, "key/" + asked.name};
            break;
    }
    return query;
}

command_result table_of_events(const event_answer& gathered) {
    command_result out;
    if (!gathered.silent_hosts.empty()) {
        out.message = "incomplete; no answer from:";
        for (const auto& host : gathered.silent_hosts) {
            out.message += " " + host;
        }
    }
    out.content.columns = {"time",  "host",    "number", "event", "subject",
                           "shard", "version", "config", "cause"};
    for (const auto& each : observe::merge(gathered.records)) {
        const bool sharded = !each.shard.region.empty();
        out.content.rows.push_back({observe::utc_time(each.unix_ms), each.process.host, each.number,
                                    std::string(observe::to_string(each.kind)), each.subject,
                                    sharded ? to_string(each.shard) : std::string(),
                                    sharded ? to_string(each.at) : std::string(),
                                    each.config_version, each.cause});
    }
    return out;
}

command_result result_of(const wait_version& asked, const wait_answer& waited) {
    command_result out;
    out.version = asked.version;
    const auto name = "version " + std::to_string(asked.version);
    if (waited.in_force) {
        out.message = name + " is in force on every live router";
        return out;
    }
    out.how = outcome::refused;
    out.message = name + " is not in force after " + std::to_string(asked.within.count()) + " ms";
    for (const auto& host : waited.laggards) {
        out.message += (&host == &waited.laggards.front() ? "; laggards: " : ", ") + host;
    }
    return out;
}

command_result result_of(const change_command& asked, const change_outcome& made) {
    command_result out;
    out.id = asked.id;
    out.version = made.version;
    if (made.refused) {
        out.how = outcome::refused;
        out.version = made.refused->version;
        out.message = to_string(*made.refused);
    } else if (made.verdict == traffic_verdict::ran) {
        out.message = std::string(made.repeated ? "was recorded before" : "recorded") +
                      " as version " + std::to_string(made.version) + " (id " + asked.id + ")";
    } else if (made.verdict == traffic_verdict::may_have_run) {
        out.how = outcome::may_have_run;
        out.message = "may have run: " + made.error.message() + "; repeat it with --id " + asked.id;
    } else if (!made.error) {
        out.message = "would be recorded as version " + std::to_string(made.version);
    } else {
        const bool unusable =
            made.error == errc::not_found || made.error == errc::malformed_message;
        out.how = unusable ? outcome::refused : outcome::unreachable;
        out.message = "not run: stored configuration: " + made.error.message();
    }
    return out;
}

void run_change(change_command asked, const command_context& context,
                const result_handler& handler) {
    if (asked.id.empty()) {
        asked.id = context.make_identity();
    }
    // The second step of a change of home regions is safe only once the first is in force on every
    // router. With this base, a first step that is not in force yet wins over the activation.
    if (std::holds_alternative<activate_account>(asked.what)) {
        const auto in_force = context.config_in_force();
        asked.based_on = std::min(asked.based_on.value_or(in_force), in_force);
    }
    const auto& run = asked.dry_run ? context.try_change : context.submit_change;
    run({asked.what, asked.id, asked.based_on}, context.now() + context.change_time,
        [asked, handler](const change_outcome& made) { handler(result_of(asked, made)); });
}

class query_runner {
public:
    query_runner(config_pointer config, const command_context& context,
                 const result_handler& handler)
        : config_(std::move(config)), context_(context), handler_(handler) {}

    void operator()(const show_key_owner& asked) const {
        handler_(answer(*config_, context_, asked));
    }
    void operator()(const show_slot_owner& asked) const {
        handler_(answer(*config_, context_, asked));
    }
    void operator()(const show_target_slots& asked) const { handler_(answer(context_, asked)); }
    void operator()(const show_account& asked) const { handler_(answer(*config_, asked)); }
    void operator()(const show_config& asked) const { handler_(answer(*config_, asked)); }

    void operator()(const show_overview& asked) const {
        switch (asked.what) {
            case overview::in_force:
                return handler_(show_in_force(context_));
            case overview::targets:
                return handler_(show_targets(*config_, context_));
            case overview::routers:
                return handler_(show_routers(context_));
            case overview::rulings:
                return handler_(show_rulings(*config_));
            case overview::status:
                return handler_(show_status(*config_, context_));
        }
    }

    void operator()(const explain& asked) const {
        context_.query_events(query_of(*config_, context_, asked),
                              context_.now() + context_.explain_time,
                              [handler = handler_](const event_answer& gathered) {
                                  handler(table_of_events(gathered));
                              });
    }

    void operator()(const wait_version& asked) const {
        context_.wait_in_force(asked.version, context_.now() + asked.within,
                               [asked, handler = handler_](const wait_answer& waited) {
                                   handler(result_of(asked, waited));
                               });
    }

private:
    config_pointer config_;
    const command_context& context_;
    const result_handler& handler_;
};

command_result bad_command(const parse_error& error, std::string_view text) {
    command_result out;
    out.how = outcome::bad_command;
    out.message = to_string(error, text);
    return out;
}

// The router is starting; another one can answer.
command_result not_started(const command_context& context) {
    command_result out;
    out.how = outcome::unreachable;
    out.message = "not run: " + context.host + " holds no configuration yet";
    return out;
}

}  // namespace detail

void execute(std::string_view text, const command_context& context, const result_handler& handler) {
    auto parsed = parse(text);
    if (const auto* error = std::get_if<parse_error>(&parsed)) {
        handler(detail::bad_command(*error, text));
        return;
    }
    auto& read = std::get<command>(parsed);
    if (auto* asked = std::get_if<change_command>(&read)) {
        detail::run_change(std::move(*asked), context, handler);
        return;
    }
    auto config = context.fleet_config();
    if (!config) {
        handler(detail::not_started(context));
        return;
    }
    std::visit(detail::query_runner(std::move(config), context, handler), std::get<query>(read));
}

}  // namespace mimosavalve::command
