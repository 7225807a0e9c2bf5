#include "operators/race_history.hpp"

#include <algorithm>
#include <map>
#include <set>

#include "mimosavalve/command/parser.hpp"
#include "mimosavalve/command/scope.hpp"
#include "mimosavalve/config/fleet_config_codec.hpp"

namespace mimosavalve::testing {

namespace {

using config::fleet_config;

// State of what the racing commands touch.
struct model {
    std::map<std::string, double> limits;
    std::map<std::string, std::vector<std::string>> homes;
    std::set<std::string> drained;
    std::map<std::string, std::uint64_t> rulings;

    bool operator==(const model&) const = default;
};

model model_of(const fleet_config& from) {
    model out;
    for (const auto& account : from.accounts) {
        out.limits[account.name] = account.requests_per_second;
        out.homes[account.name] = account.home_regions;
    }
    out.drained.insert(from.drained_targets.begin(), from.drained_targets.end());
    for (const auto& ruling : from.rulings) {
        out.rulings[ruling.scope] = ruling.since_version;
    }
    return out;
}

void apply(model& state, const command::change& what, std::uint64_t version) {
    if (const auto* account = std::get_if<command::set_account>(&what)) {
        if (account->requests_per_second) {
            state.limits[account->name] = *account->requests_per_second;
        }
        if (account->home_regions) {
            state.homes[account->name] = *account->home_regions;
        }
    } else if (const auto* drain = std::get_if<command::drain_target>(&what)) {
        state.drained.insert(drain->target);
    } else if (const auto* undrain = std::get_if<command::undrain_target>(&what)) {
        state.drained.erase(undrain->target);
    } else if (const auto* rule = std::get_if<command::rule_scope>(&what)) {
        state.rulings[rule->scope] = version;
    }
}

bool is_ruling(const command::change& what) {
    return std::holds_alternative<command::rule_scope>(what);
}

class history_checker {
public:
    history_checker(const std::vector<simulated_store::write>& writes,
                    const std::vector<race_record>& records)
        : records_(records) {
        for (const auto& write : writes) {
            std::error_code error;
            auto config = config::decode_fleet_config(write.value, error);
            if (config) {
                configs_.push_back(*std::move(config));
            } else {
                add("revision " + std::to_string(write.revision) + " is malformed");
            }
        }
    }

    std::vector<std::string> run() {
        if (found_.empty()) {
            check_order();
            check_identities();
            check_answers();
            check_bases();
        }
        return std::move(found_);
    }

private:
    void add(std::string text) { found_.push_back(std::move(text)); }

    [[nodiscard]] const command::change_request* request_of(const std::string& id) const {
        const auto found = std::find_if(records_.begin(), records_.end(),
                                        [&](const auto& each) { return each.request.id == id; });
        return found == records_.end() ? nullptr : &found->request;
    }

    [[nodiscard]] const std::vector<config::applied_command>& applied() const {
        return configs_.back().applied;
    }

    // Each configuration is its predecessor with exactly one command more.
    void check_order() {
        auto state = model_of(configs_.front());
        for (std::size_t index = 1; index < configs_.size(); ++index) {
            const auto& before = configs_[index - 1];
            const auto& after = configs_[index];
            const auto name = "version " + std::to_string(after.version);
            if (after.version != before.version + 1) {
                add(name + " follows version " + std::to_string(before.version));
            }
            auto history = before.applied;
            if (after.applied.empty()) {
                add(name + " records no command");
                return;
            }
            history.push_back(after.applied.back());
            if (history != after.applied || after.applied.back().version != after.version) {
                add(name + " does not extend the history of its predecessor");
            }
            const auto* request = request_of(after.applied.back().id);
            if (request == nullptr) {
                add(name + " was made by an unknown command");
                return;
            }
            apply(state, request->what, after.version);
            if (state != model_of(after)) {
                add(name + " has other effects than its command");
            }
        }
    }

    void check_identities() {
        std::set<std::string> seen;
        for (const auto& each : applied()) {
            if (!seen.insert(each.id).second) {
                add("identity " + each.id + " has two effects");
            }
        }
    }

    void check_answers() {
        std::map<std::string, int> versions;
        for (const auto& each : applied()) {
            versions[each.id] = static_cast<int>(each.version);
        }
        std::set<std::string> open;
        for (const auto& each : records_) {
            const auto& id = each.request.id;
            if (!each.finished) {
                add("the submission of " + id + " was never answered");
            } else if (each.outcome.verdict == traffic_verdict::ran) {
                if (versions[id] != static_cast<int>(each.outcome.version)) {
                    add("acknowledged command " + id + " is missing");
                }
            }
            check_winner(each);
            if (each.outcome.verdict != traffic_verdict::not_run) {
                open.insert(id);
            }
        }
        for (const auto& each : records_) {
            if (open.count(each.request.id) == 0 && versions[each.request.id] != 0) {
                add("command " + each.request.id + " was answered not run and has an effect");
            }
        }
    }

    // A refusal for another command names one that was recorded under the named version.
    void check_winner(const race_record& record) {
        const auto& refused = record.outcome.refused;
        if (!refused || refused->version == 0) {
            return;
        }
        const bool known = std::any_of(
            applied().begin(), applied().end(), [&](const config::applied_command& each) {
                return each.id == refused->command_id && each.version == refused->version;
            });
        if (!known) {
            add("the refusal of " + record.request.id + " names a command that was not accepted");
        }
    }

    // No command is accepted against a newer command or ruling on its scope. A ruling is never
    // refused for a command.
    void check_bases() {
        for (const auto& each : applied()) {
            const auto* request = request_of(each.id);
            if (request == nullptr || !request->based_on || is_ruling(request->what)) {
                continue;
            }
            for (const auto& other : applied()) {
                if (other.version > *request->based_on && other.version < each.version &&
                    command::scopes_overlap(other.scope, each.scope)) {
                    add("command " + each.id + " overrides " + other.id +
                        ", which it had not "
                        "seen");
                }
            }
        }
        for (const auto& each : records_) {
            if (is_ruling(each.request.what) && !each.request.based_on && each.outcome.refused) {
                add("ruling " + each.request.id + " was refused");
            }
        }
    }

    const std::vector<race_record>& records_;
    std::vector<fleet_config> configs_;
    std::vector<std::string> found_;
};

}  // namespace

std::vector<std::string> contradictions(const std::vector<simulated_store::write>& writes,
                                        const std::vector<race_record>& records) {
    return history_checker(writes, records).run();
}

}  // namespace mimosavalve::testing
