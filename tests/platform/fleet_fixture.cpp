#include "fleet_fixture.hpp"
#include "mimosavalve/gateway/key_map.hpp"

#include <fcntl.h>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

#include <csignal>
#include <cstdio>
#include <filesystem>
#include <fstream>
#include <nlohmann/json.hpp>
#include <sstream>

#include "mimosavalve/gateway/peer_messages.hpp"
#include "wire_names.hpp"

namespace mimosavalve::platform::testing {

namespace {

using gateway::milliseconds;
using nlohmann::json;

constexpr unsigned caller_port = 8548;
constexpr unsigned ready_port = 8542;
constexpr unsigned store_port = 8541;
constexpr unsigned target_port = 8600;
constexpr unsigned internal_port = 7540;
constexpr auto slice = milliseconds(10);
constexpr const char* domain = "north-a";

gateway::tcp::endpoint endpoint_of(const std::string& address, unsigned port) {
    return {boost::asio::ip::make_address(address), static_cast<unsigned short>(port)};
}

}  // namespace

fleet_fixture::fleet_fixture() : store(context), callers_(context, 64) {
    const auto number = static_cast<unsigned>(getpid());
    // Loopback addresses that no other test process uses.
    network_ =
        "127." + std::to_string(100 + number / 256 % 100) + "." + std::to_string(number % 256);
    folder_ =
        (std::filesystem::temp_directory_path() / ("mv-fleet-" + std::to_string(number))).string();
    std::filesystem::create_directories(folder_);
}

fleet_fixture::~fleet_fixture() {
    for (const auto& [host, placed] : routers_) {
        if (placed.process > 0) {
            kill(placed.process, SIGKILL);
            waitpid(placed.process, nullptr, 0);
        }
    }
    if (std::getenv("MV_KEEP_LOGS") == nullptr) {
        std::filesystem::remove_all(folder_);
    }
}

std::string fleet_fixture::address_of(unsigned host_number) const {
    return network_ + "." + std::to_string(host_number);
}

void fleet_fixture::add_default_targets() {
    add_target("k1", "status", true);
    add_target("k2", "status", true);
    add_target("o1", "orders", false);
    add_target("o2", "orders", false);
}

target_standin& fleet_fixture::add_target(const std::string& id, const std::string& service,
                                          bool keyed) {
    target_standin::target_options what;
    what.id = id;
    what.service = service;
    what.failure_domain = domain;
    what.address = endpoint_of(address_of(next_host_number_++), target_port);
    what.keyed = keyed;
    auto& placed = targets[id];
    placed = std::make_unique<target_standin>(context, what, group_, history);
    write_store_entry(*placed);
    return *placed;
}

target_standin& fleet_fixture::replace_without_store_update(const std::string& id,
                                                            const std::string& new_id) {
    auto what = targets.at(id)->options();
    targets.erase(id);
    run_for(slice);  // Until the listening socket is closed.
    what.id = new_id;
    auto& placed = targets[new_id];
    placed = std::make_unique<target_standin>(context, what, group_, history);
    return *placed;
}

void fleet_fixture::remove_target(const std::string& id) {
    targets.erase(id);
    store.remove(wire::target_prefix + id);
}

void fleet_fixture::write_store_entry(const target_standin& target) {
    store.put(wire::target_prefix + target.options().id, target.store_entry());
}

void fleet_fixture::put_config(unsigned version, const std::string& orders_service) {
    const auto route = [](const std::string& name, const std::string& kind,
                          const std::string& service, unsigned attempts) {
        return json({{"resourceKind", "routes"},
                     {"metadata", {{"name", name}}},
                     {"spec",
                      {{"host", "desk.example"},
                       {"prefix", "/" + name + "/"},
                       {"kind", kind},
                       {"service", service},
                       {"timeoutMs", 2000},
                       {"targetLatencyMs", 800},
                       {"priority", 1},
                       {"maxAttempts", attempts},
                       {"allowedRegions", json::array()}}}});
    };
    const auto service = [](const std::string& name, bool keyed) {
        return json({{"resourceKind", "services"},
                     {"metadata", {{"name", name}}},
                     {"spec", {{"maxConnections", 130}, {"sharded", keyed}}}});
    };
    char digits[9];
    std::snprintf(digits, sizeof digits, "%08x", version);
    store.put(
        wire::config_key,
        json({{"version", digits},
              {"resources",
               {route("status", "safe", "status", 2), route("orders", "unsafe", orders_service, 1),
                service("status", true), service("orders", false), service("orders-new", false)}}})
            .dump());
}

void fleet_fixture::write_settings(const std::string& host, const router& placed) const {
    std::ofstream out(folder_ + "/" + host + ".yaml");
    const auto store_address = placed.address;
    out << "node: \"" << host << "\"\nzone: \"" << domain << "\"\nregion: \"north\"\n"
        << "zones: {" << domain << ": \"north\"}\nip: \"" << placed.address << "\"\n"
        << "listen: {front: \"" << placed.address << ":" << caller_port << "\", ready: \""
        << placed.address << ":" << ready_port << "\"}\ninternalPorts: [" << internal_port
        << ", 7555]\nbounds: {drainMs: 2500, graceS: 6, holdMaxMs: 10000}\nplatform: {address: \""
        << store_address << ":" << store_port << "\", ttlMinMs: 1000}\n";
}

void fleet_fixture::start_router(const std::string& host) {
    auto& placed = routers_[host];
    if (placed.address.empty()) {
        placed.address = address_of(next_host_number_++);
        placed.log_path = folder_ + "/" + host + ".log";
        store.listen(host, endpoint_of(placed.address, store_port));
        write_settings(host, placed);
    }
    const std::string program = std::string(MV_BINARY_DIR) + "/mimosavalve-gate";
    const std::string settings = folder_ + "/" + host + ".yaml";
    std::vector<std::string> words{program, "--settings", settings};
    std::vector<char*> arguments;
    arguments.reserve(words.size() + 1);
    for (auto& word : words) {
        arguments.push_back(word.data());
    }
    arguments.push_back(nullptr);
    posix_spawn_file_actions_t actions;
    posix_spawn_file_actions_init(&actions);
    posix_spawn_file_actions_addopen(&actions, STDOUT_FILENO, placed.log_path.c_str(),
                                     O_WRONLY | O_CREAT | O_APPEND, 0600);
    // Listening sockets of the stand-ins must not live on in the routers.
    posix_spawn_file_actions_addclosefrom_np(&actions, STDERR_FILENO + 1);
    posix_spawn(&placed.process, program.c_str(), &actions, nullptr, arguments.data(), environ);
    posix_spawn_file_actions_destroy(&actions);
}

void fleet_fixture::signal_router(const std::string& host, int signal) {
    auto& placed = routers_.at(host);
    if (placed.process <= 0) {
        return;
    }
    kill(placed.process, signal);
    if (signal == SIGKILL) {
        waitpid(placed.process, nullptr, 0);
        placed.process = -1;
    }
}

bool fleet_fixture::has_ended(const std::string& host) {
    auto& placed = routers_.at(host);
    if (placed.process > 0 && waitpid(placed.process, nullptr, WNOHANG) == placed.process) {
        placed.process = -1;
    }
    return placed.process <= 0;
}

std::string fleet_fixture::log_of(const std::string& host) const {
    std::ifstream in(routers_.at(host).log_path);
    std::stringstream text;
    text << in.rdbuf();
    return text.str();
}

std::string fleet_fixture::leader() const {
    const auto* value = store.value_of(std::string(wire::product_prefix) + "leader");
    const auto identity = value == nullptr ? std::nullopt : gateway::decode_leader_identity(*value);
    return identity ? identity->host : std::string();
}

void fleet_fixture::run_for(milliseconds time) {
    context.restart();
    context.run_for(time);
}

bool fleet_fixture::run_until(const std::function<bool()>& done, milliseconds timeout) {
    const auto end = std::chrono::steady_clock::now() + timeout;
    while (!done()) {
        if (std::chrono::steady_clock::now() >= end) {
            return false;
        }
        run_for(slice);
    }
    return true;
}

bool fleet_fixture::run_until_serving() {
    return run_until([this] {
        for (const auto& [host, placed] : routers_) {
            constexpr std::uint32_t last_key = gateway::key_count - 1;
            if (placed.process > 0 &&
                (request_and_wait(host, "/status/x", 0).status != 200 ||
                 request_and_wait(host, "/status/x", last_key).status != 200)) {
                return false;
            }
        }
        return true;
    });
}

std::shared_ptr<caller_outcome> fleet_fixture::request(const std::string& host,
                                                       const std::string& method,
                                                       const std::string& path, std::uint32_t key) {
    auto outcome = std::make_shared<caller_outcome>();
    gateway::call what;
    what.method = method;
    what.target = path;
    if (method == "POST") {
        what.content_type = "text/plain";
        what.body = "order";
    }
    what.fields = {{wire::request_id_header, "request-" + std::to_string(next_request_++)},
                   {wire::deadline_header, "3000"},
                   {wire::key_header, std::to_string(key)}};
    what.host = "desk.example";
    callers_.send(endpoint_of(routers_.at(host).address, caller_port), std::move(what),
                  std::chrono::steady_clock::now() + std::chrono::seconds(4),
                  [outcome](std::error_code error, const gateway::call_answer& answer) {
                      if (!error) {
                          outcome->status = answer.head.status;
                          outcome->body = answer.body;
                      } else {
                          outcome->status = 599;
                      }
                  });
    return outcome;
}

caller_outcome fleet_fixture::request_and_wait(const std::string& host, const std::string& path,
                                               std::uint32_t key) {
    const auto outcome = request(host, path.starts_with("/orders/") ? "POST" : "GET", path, key);
    run_until([&] { return outcome->status != 0; }, std::chrono::seconds(5));
    return *outcome;
}

std::size_t fleet_fixture::repeated_runs() const {
    std::size_t repeated = 0;
    for (const auto& [id, runs] : history.runs_by_request) {
        repeated += runs > 1 ? 1 : 0;
    }
    return repeated;
}

}  // namespace mimosavalve::platform::testing
