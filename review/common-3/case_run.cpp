#include "case_run.hpp"

#include <unistd.h>

#include <algorithm>
#include <cstdlib>

namespace mimosavalve::review {

namespace {

constexpr unsigned caller_port = 8548;  // See tests/platform/fleet_fixture.cpp.

}  // namespace

case_run::case_run(const std::vector<std::string>& arguments)
    : record_(arguments.size() > 1 ? arguments[1] : "record.txt") {
    const auto* const trouble = std::getenv("TROUBLE");
    has_trouble_ = trouble == nullptr || std::string(trouble) != "0";
    note(has_trouble_ ? "with the disruption" : "without the disruption");
}

void case_run::note(const std::string& line) {
    record_ << now_ms() << " ms: " << line << std::endl;
}

void case_run::add_target(const std::string& id, const std::string& service, bool keyed) {
    fleet.add_target(id, service, keyed);
    ++next_address_;
}

void case_run::start_routers(const std::vector<std::string>& hosts) {
    // The addresses that the fixture gives out.
    const auto process_id = static_cast<unsigned>(getpid());
    for (const auto& host : hosts) {
        fleet.start_router(host);
        const auto address = "127." + std::to_string(100 + process_id / 256 % 100) + "." +
                             std::to_string(process_id % 256) + "." +
                             std::to_string(next_address_++);
        callers_[host] = {boost::asio::ip::make_address(address), caller_port};
    }
}

void case_run::add_client(const std::string& host, const kept_client::options& chosen) {
    auto named = chosen;
    named.address = callers_.at(host);
    named.name = host + "-client" + std::to_string(clients_.size());
    clients_.push_back(std::make_unique<kept_client>(fleet.context, named, requests));
}

void case_run::stop_clients() {
    for (auto& client : clients_) {
        client->stop();
    }
    fleet.run_until(
        [&] {
            return std::none_of(clients_.begin(), clients_.end(),
                                [](const auto& client) { return client->is_waiting(); });
        },
        gateway::milliseconds(5000));
}

outcome case_run::finish(const std::vector<std::string>& violations) {
    for (const auto& request : requests) {
        const auto runs = fleet.history.runs_by_request.find(request.id);
        record_ << request.method << ' ' << request.path << ' ' << request.id << ": sent at "
                << request.sent_ms << " ms on a " << (request.on_kept_connection ? "kept" : "new")
                << " connection, "
                << (request.closed ? std::string("closed without an answer")
                                   : "status " + std::to_string(request.status))
                << " at " << request.ended_ms << " ms, runs "
                << (runs == fleet.history.runs_by_request.end() ? 0 : runs->second) << '\n';
    }
    for (const auto& violation : fleet.history.violations) {
        record_ << "targets: " << violation << '\n';
    }
    for (const auto& violation : violations) {
        record_ << "broken: " << violation << '\n';
    }
    record_ << (violations.empty() ? "held" : "broken") << std::endl;
    return violations.empty() ? outcome::held : outcome::broken;
}

outcome case_run::give_up(const std::string& reason) {
    note("could not run: " + reason);
    return outcome::could_not_run;
}

}  // namespace mimosavalve::review
