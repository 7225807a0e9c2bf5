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
constexpr auto poll_interval = milliseconds(10);
constexpr const char* failure_domain = "north-a";

gateway::tcp::endpoint endpoint_of(const std::string& address, unsigned port) {
    return {boost::asio::ip::make_address(address), static_cast<unsigned short>(port)};
}

}  // namespace

fleet_fixture::fleet_fixture() : store(context), callers_(context, 64) {
    const auto process_id = static_cast<unsigned>(getpid());
    // Loopback addresses that no other test process uses.
    network_ = "127." + std::to_string(100 + process_id / 256 % 100) + "." +
               std::to_string(process_id % 256);
    folder_ = (std::filesystem::temp_directory_path() / ("mv-fleet-" + std::to_string(process_id)))
                  .string();
    std::filesystem::create_directories(folder_);
}

fleet_fixture::~fleet_fixture() {
    for (const auto& [host, entry] : routers_) {
        if (entry.process > 0) {
            kill(entry.process, SIGKILL);
            waitpid(entry.process, nullptr, 0);
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
    target_standin::target_options options;
    options.id = id;
    options.service = service;
    options.failure_domain = failure_domain;
    options.address = endpoint_of(address_of(next_host_number_++), target_port);
    options.keyed = keyed;
    auto& target = targets[id];
    target = std::make_unique<target_standin>(context, options, group_, history);
    write_store_entry(*target);
    return *target;
}

target_standin& fleet_fixture::replace_without_store_update(const std::string& id,
                                                            const std::string& new_id) {
    auto options = targets.at(id)->options();
    targets.erase(id);
    run_for(poll_interval);  // Lets the listening socket close.
    options.id = new_id;
    auto& target = targets[new_id];
    target = std::make_unique<target_standin>(context, options, group_, history);
    return *target;
}

void fleet_fixture::remove_target(const std::string& id) {
    targets.erase(id);
    store.remove(wire::target_prefix + id);
}

void fleet_fixture::write_store_entry(target_standin& target) {
    store.put(wire::target_prefix + target.options().id, target.next_store_entry());
}

void fleet_fixture::restore_store(milliseconds away) {
    for (const auto& [host, entry] : routers_) {
        store.set_access(host, store_access::refused);
    }
    run_for(away);
    store.restore_copy();
    for (const auto& [host, entry] : routers_) {
        store.set_access(host, store_access::served);
    }
}

void fleet_fixture::put_config(unsigned version, const std::string& orders_service,
                               milliseconds orders_timeout, int added_routes) {
    const auto route = [&](const std::string& name, const std::string& kind,
                           const std::string& service, unsigned attempts) {
        const auto timeout = name == "orders" ? orders_timeout : milliseconds(2000);
        return json({{"resourceKind", "routes"},
                     {"metadata", {{"name", name}}},
                     {"spec",
                      {{"host", "desk.example"},
                       {"prefix", "/" + name + "/"},
                       {"kind", kind},
                       {"service", service},
                       {"timeoutMs", timeout.count()},
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
    json resources = {route("status", "safe", "status", 2),
                      route("orders", "unsafe", orders_service, 1), service("status", true),
                      service("orders", false), service("orders-new", false)};
    for (int number = 0; number < added_routes; ++number) {
        resources.push_back(route("added-" + std::to_string(number), "safe", "status", 2));
    }
    store.put(wire::config_key, json({{"version", digits}, {"resources", resources}}).dump());
}

void fleet_fixture::write_settings(const std::string& host, const router& entry) const {
    std::ofstream out(folder_ + "/" + host + ".yaml");
    const auto store_ip = entry.address;
    out << "node: \"" << host << "\"\nzone: \"" << failure_domain << "\"\nregion: \"north\"\n"
        << "zones: {" << failure_domain << ": \"north\"}\nip: \"" << entry.address << "\"\n"
        << "listen: {front: \"" << entry.address << ":" << caller_port << "\", ready: \""
        << entry.address << ":" << ready_port << "\"}\ninternalPorts: [" << internal_port
        << ", 7555]\nbounds: {drainMs: 2500, graceS: 6, holdMaxMs: 10000}\nplatform: {address: \""
        << store_ip << ":" << store_port << "\", ttlMinMs: 1000}\n";
}

void fleet_fixture::start_router(const std::string& host) {
    auto& entry = routers_[host];
    if (entry.address.empty()) {
        entry.address = address_of(next_host_number_++);
        entry.log_path = folder_ + "/" + host + ".log";
        store.listen(host, endpoint_of(entry.address, store_port));
        write_settings(host, entry);
    }
    const std::string program = std::string(MV_BINARY_DIR) + "/mimosavalve-gate";
    const std::string settings = folder_ + "/" + host + ".yaml";
    std::vector<std::string> command{program, "--settings", settings};
    std::vector<char*> arguments;
    arguments.reserve(command.size() + 1);
    for (auto& argument : command) {
        arguments.push_back(argument.data());
    }
    arguments.push_back(nullptr);
    posix_spawn_file_actions_t actions;
    posix_spawn_file_actions_init(&actions);
    posix_spawn_file_actions_addopen(&actions, STDOUT_FILENO, entry.log_path.c_str(),
                                     O_WRONLY | O_CREAT | O_APPEND, 0600);
    // The routers must not inherit the listening sockets of the stand-ins and keep them open.
    posix_spawn_file_actions_addclosefrom_np(&actions, STDERR_FILENO + 1);
    posix_spawn(&entry.process, program.c_str(), &actions, nullptr, arguments.data(), environ);
    posix_spawn_file_actions_destroy(&actions);
}

void fleet_fixture::signal_router(const std::string& host, int signal) {
    auto& entry = routers_.at(host);
    if (entry.process <= 0) {
        return;
    }
    kill(entry.process, signal);
    if (signal == SIGKILL) {
        waitpid(entry.process, nullptr, 0);
        entry.process = -1;
    }
}

bool fleet_fixture::has_ended(const std::string& host) {
    auto& entry = routers_.at(host);
    if (entry.process > 0 && waitpid(entry.process, nullptr, WNOHANG) == entry.process) {
        entry.process = -1;
    }
    return entry.process <= 0;
}

std::string fleet_fixture::log_of(const std::string& host) const {
    std::ifstream in(routers_.at(host).log_path);
    std::stringstream text;
    text << in.rdbuf();
    return text.str();
}

std::string fleet_fixture::leader() const {
    const auto* value = store.value_of(std::string(wire::fleet_prefix) + "leader");
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
        run_for(poll_interval);
    }
    return true;
}

bool fleet_fixture::run_until_serving() {
    return run_until([this] {
        for (const auto& [host, entry] : routers_) {
            constexpr std::uint32_t last_key = gateway::key_count - 1;
            if (entry.process > 0 &&
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
    gateway::call call;
    call.method = method;
    call.request_target = path;
    if (method == "POST") {
        call.content_type = "text/plain";
        call.body = "order";
    }
    call.fields = {{wire::request_id_header, "request-" + std::to_string(next_request_++)},
                   {wire::deadline_header, std::to_string(caller_deadline.count())},
                   {wire::key_header, std::to_string(key)}};
    call.host = "desk.example";
    callers_.send(endpoint_of(routers_.at(host).address, caller_port), std::move(call),
                  std::chrono::steady_clock::now() + caller_deadline + std::chrono::seconds(1),
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
    std::size_t repeated_count = 0;
    for (const auto& [id, runs] : history.runs_by_request) {
        repeated_count += runs > 1 ? 1 : 0;
    }
    return repeated_count;
}

}  // namespace mimosavalve::platform::testing
