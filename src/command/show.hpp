#pragma once

#include <string>

#include "mimosavalve/command/command.hpp"
#include "mimosavalve/command/execute.hpp"

namespace mimosavalve::command {

command_result refused(std::string message);

/// Regions in which the keys of an account may live.
std::vector<std::string> regions_of(const config::fleet_config& config, const std::string& account);

/// Answers to queries that need nothing but what the router holds.
command_result answer(const config::fleet_config& config, const command_context& context,
                      const show_key_owner& asked);
command_result answer(const config::fleet_config& config, const command_context& context,
                      const show_slot_owner& asked);
command_result answer(const command_context& context, const show_target_slots& asked);
command_result answer(const config::fleet_config& config, const show_account& asked);
command_result answer(const config::fleet_config& config, const show_config& asked);
command_result show_in_force(const command_context& context);
command_result show_targets(const config::fleet_config& config, const command_context& context);
command_result show_routers(const command_context& context);
command_result show_rulings(const config::fleet_config& config);
command_result show_status(const config::fleet_config& config, const command_context& context);

}  // namespace mimosavalve::command
