#pragma once

#include <chrono>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "mimosavalve/core/types.hpp"
#include "mimosavalve/ports/host_list.hpp"

namespace mimosavalve::standins {

using hosts_by_id = std::map<std::string, ports::listed_host, std::less<>>;

/// A change that the list does not show yet.
struct hosts_change {
    steady_time shown_at;
    std::string id;
    std::optional<ports::listed_host> host;  ///< Empty: the host is removed.
};

/// Contents of the host list stand-in: the truth, and what the list shows of it.
struct hosts_data {
    std::chrono::milliseconds lag{0};  ///< After which a change is shown.
    hosts_by_id present;
    hosts_by_id shown;
    std::deque<hosts_change> pending;
};

/// Adds hosts that are shown at once.
void add_initial_hosts(hosts_data& data, const std::vector<ports::listed_host>& hosts);

/// Adds or replaces a host.
void put_host(hosts_data& data, ports::listed_host host, steady_time now);

/// False when there is no such host.
bool remove_host(hosts_data& data, std::string_view id, steady_time now);
bool mark_leaving(hosts_data& data, std::string_view id, steady_time now);

/// The list as it is shown at `now`, sorted by id.
std::vector<ports::listed_host> shown_hosts(hosts_data& data, steady_time now);

}  // namespace mimosavalve::standins
