#pragma once

#include <string>
#include <vector>

#include "mimosavalve/check/history_check.hpp"
#include "mimosavalve/load/settings_reader.hpp"

namespace mimosavalve::check {

/// Reads the home regions of accounts from YAML: `accounts`, a list of maps with `name` and
/// `home_regions`.
home_regions read_home_regions(const std::string& file,
                               std::vector<load::settings_problem>& problems);

}  // namespace mimosavalve::check
