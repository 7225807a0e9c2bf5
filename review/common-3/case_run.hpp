#pragma once

#include <cstdint>
#include <fstream>
#include <memory>
#include <string>
#include <vector>

#include "../../tests/platform/fleet_fixture.hpp"
#include "kept_client.hpp"
#include "target_faults.hpp"

namespace mimosavalve::review {

/// Exit codes of a case.
enum class outcome : int { held = 0, broken = 1, could_not_run = 2 };

/// A fleet of three routers with clients on kept connections, and the record of what happened.
class case_run {
public:
    /// Writes to the file that the first argument of the program names.
    explicit case_run(const std::vector<std::string>& arguments);

    /// Whether the run is to have the disruption (variable TROUBLE, 1 by default).
    [[nodiscard]] bool has_trouble() const { return has_trouble_; }
    void note(const std::string& line);

    void add_target(const std::string& id, const std::string& service, bool keyed);
    void start_routers(const std::vector<std::string>& hosts);
    /// Adds a client of a router, with requests that `chosen` describes.
    void add_client(const std::string& host, const kept_client::options& chosen);
    /// Ends all clients after the answers to their running requests.
    void stop_clients();

    /// Writes all requests and the verdict, and returns the exit code.
    outcome finish(const std::vector<std::string>& violations);
    outcome give_up(const std::string& reason);

    platform::testing::fleet_fixture fleet;
    std::vector<client_request> requests;

private:
    bool has_trouble_ = true;
    std::ofstream record_;
    unsigned next_address_ = 1;
    std::map<std::string, gateway::tcp::endpoint> callers_;
    std::vector<std::unique_ptr<kept_client>> clients_;
};

}  // namespace mimosavalve::review
