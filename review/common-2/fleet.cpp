#include "fleet.hpp"

#include <fcntl.h>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <chrono>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <filesystem>
#include <nlohmann/json.hpp>
#include <sstream>

#include "../../tests/platform/store_standin.hpp"
#include "gateway/internal_server.hpp"
#include "gateway/lifetime.hpp"
#include "mimosavalve/gateway/peer_messages.hpp"

namespace mimosavalve::review {

namespace {

using gateway::boot_clock;
using nlohmann::json;

constexpr unsigned client_port = 8548;
constexpr unsigned ready_port = 8542;
constexpr unsigned store_port = 8541;
constexpr unsigned worker_port = 8600;
constexpr unsigned internal_port = 7540;
constexpr unsigned last_internal_port = 7555;
constexpr milliseconds heartbeat{870};
constexpr milliseconds entry_lifetime = heartbeat * 3;
constexpr milliseconds grace{6000};
constexpr milliseconds restart_delay{300};
constexpr milliseconds poll_interval{10};
constexpr std::size_t max_queued = 16;
constexpr const char* host_name = "desk.example";

constexpr unsigned ok = 200;
constexpr unsigned conflict = 409;
constexpr unsigned misdirected = 421;
constexpr unsigned unavailable = 503;

gateway::tcp::endpoint endpoint_of(const std::string& address, unsigned port) {
    return {boost::asio::ip::make_address(address), static_cast<unsigned short>(port)};
}

}  // namespace

event_record::event_record(const std::string& path)
    : out_(path, std::ios::trunc), began_(boot_clock::now()) {}

std::int64_t event_record::age_ms() const {
    return std::chrono::duration_cast<milliseconds>(boot_clock::now() - began_).count();
}

void event_record::write(const std::string& line) {
    out_ << age_ms() << " " << line << std::endl;
}

struct worker::implementation {
    struct queued_request {
        gateway::message_head head;
        gateway::internal_server::respond respond;
    };

    void start();
    void crash();
    [[nodiscard]] std::string next_entry();
    [[nodiscard]] bool holds(std::uint32_t key) const;
    [[nodiscard]] std::string hold_text(std::uint32_t key) const;
    void serve(const gateway::message_head& head, const std::string& body,
               const gateway::internal_server::respond& respond);
    unsigned grant(const std::string& body);
    void release(const std::string& body, const gateway::internal_server::respond& respond);
    void accept_request(const gateway::message_head& head,
                        const gateway::internal_server::respond& respond);
    void run(const queued_request& request);
    void answer(const queued_request& request, unsigned status, const std::string& body,
                bool has_run);

    worker& self;
    boost::asio::io_context& context;
    event_record& record;
    worker_options& options;
    gateway::tcp::endpoint address;
    std::uint64_t born_ms = 0;
    std::uint64_t sequence = 0;
    std::uint32_t running = 0;
    std::deque<queued_request> queue{};
    std::vector<boot_time> held_until{};
    std::vector<std::uint64_t> fences{};
    gateway::lifetime life{};
    std::unique_ptr<gateway::internal_server> server{};
};

worker::worker(boost::asio::io_context& context, event_record& record, worker_options options,
               const gateway::tcp::endpoint& address)
    : options_(std::move(options)),
      implementation_(new implementation{*this, context, record, options_, address}) {}

worker::~worker() = default;

void worker::start() {
    implementation_->start();
}

void worker::start_as(const std::string& id) {
    options_.id = id;
    start();
}

void worker::crash() {
    implementation_->crash();
}

bool worker::is_up() const {
    return implementation_->server != nullptr;
}

std::string worker::next_entry() {
    return implementation_->next_entry();
}

bool worker::holds(std::uint32_t key) const {
    return implementation_->holds(key);
}

std::string worker::hold_text(std::uint32_t key) const {
    return implementation_->hold_text(key);
}

void worker::implementation::start() {
    born_ms = static_cast<std::uint64_t>(std::chrono::duration_cast<milliseconds>(
                                             std::chrono::system_clock::now().time_since_epoch())
                                             .count());
    sequence = 0;
    running = 0;
    queue.clear();
    held_until.assign(key_count, {});
    fences.assign(key_count, 0);
    server = std::make_unique<gateway::internal_server>(
        context, address,
        [this](const gateway::message_head& head, const std::string& body,
               const gateway::internal_server::respond& respond) { serve(head, body, respond); });
    record.write("worker " + options.id + " starts");
}

void worker::implementation::crash() {
    record.write("worker " + options.id + " ends");
    life.cancel_handlers();
    server.reset();
    held_until.assign(key_count, {});
}

std::string worker::implementation::next_entry() {
    return json({{"service", options.service},
                 {"address", address.address().to_string() + ":" + std::to_string(address.port())},
                 {"zone", options.zone},
                 {"version", "v1"},
                 {"slots", options.slots},
                 {"state", "ready"},
                 {"warmupLeftMs", 0},
                 {"sequence", ++sequence},
                 {"born", born_ms}})
        .dump();
}

bool worker::implementation::holds(std::uint32_t key) const {
    return (server != nullptr) && boot_clock::now() < held_until[key];
}

std::string worker::implementation::hold_text(std::uint32_t key) const {
    return options.id + " with fence " + std::to_string(fences[key]) + ", " +
           std::to_string(gateway::milliseconds_until(held_until[key], boot_clock::now())) +
           " ms left";
}

void worker::implementation::serve(const gateway::message_head& head, const std::string& body,
                                   const gateway::internal_server::respond& respond) {
    const auto path = gateway::path_of(head);
    const auto expected = gateway::field_of(head, "Expected-Instance");
    if (path == "/health") {
        respond({ok, "text/plain", "", {{"Instance-Id", options.id}}});
    } else if (path == "/api/grant" && !expected.empty() && expected != options.id) {
        respond({misdirected, "application/json", "{}", {{"Instance-Id", options.id}}});
    } else if (path == "/api/grant") {
        respond({grant(body), "application/json", "{}", {}});
    } else if (path == "/api/release") {
        release(body, respond);
    } else {
        accept_request(head, respond);
    }
}

unsigned worker::implementation::grant(const std::string& body) {
    const auto call = json::parse(body);
    const std::uint32_t first = call.at("from");
    const std::uint32_t last = call.at("to");
    const std::uint64_t fence = call.at("fence");
    const milliseconds hold(call.at("holdMs").get<std::int64_t>());
    record.write("grant to " + options.id + " " + call.dump());
    for (auto key = first; key <= last; ++key) {
        if (fences[key] > fence) {
            return conflict;
        }
    }
    const auto until = boot_clock::now() + hold;
    for (auto key = first; key <= last; ++key) {
        fences[key] = fence;
        held_until[key] = std::max(held_until[key], until);
    }
    return ok;
}

void worker::implementation::release(const std::string& body,
                                     const gateway::internal_server::respond& respond) {
    const auto call = json::parse(body);
    const std::uint32_t first = call.at("from");
    const std::uint32_t last = call.at("to");
    const std::uint64_t fence = call.at("fence");
    record.write("release at " + options.id + " " + call.dump());
    for (auto key = first; key <= last; ++key) {
        fences[key] = std::max(fences[key], fence);
        held_until[key] = {};
    }
    // The answer follows once the work that was running on the keys has ended.
    gateway::run_after(
        context, running > 0 ? options.work_time : milliseconds(0), life, [this, respond] {
            respond({ok, "application/json", "{}", {{"Handover", "from-" + options.id}}});
        });
}

void worker::implementation::accept_request(const gateway::message_head& head,
                                            const gateway::internal_server::respond& respond) {
    const queued_request request{head, respond};
    const auto expected = gateway::field_of(head, "Expected-Instance");
    const auto key = std::string(gateway::field_of(head, "Shard-Key"));
    const bool is_held =
        !options.keyed || (!key.empty() && holds(static_cast<std::uint32_t>(std::stoul(key))));
    if (!is_held || (!expected.empty() && expected != options.id)) {
        answer(request, misdirected, "", false);
    } else if (running < options.slots) {
        run(request);
    } else if (queue.size() < max_queued) {
        queue.push_back(request);
    } else {
        answer(request, unavailable, "", false);
    }
}

void worker::implementation::run(const queued_request& request) {
    const std::string path(gateway::path_of(request.head));
    record.write("run " + std::string(gateway::field_of(request.head, "Request-Id")) + " " + path +
                 " at " + options.id);
    self.runs.push_back({options.id, path, record.age_ms()});
    if (!self.crash_path.empty() && path == self.crash_path) {
        // Not within the handler of the connection that the crash closes.
        gateway::run_after(context, milliseconds(5), life, [this, path] {
            crash();
            if (self.on_crash) {
                self.on_crash(self, path);
            }
        });
        return;
    }
    ++running;
    gateway::run_after(context, options.work_time, life, [this, request] {
        --running;
        answer(request, ok, "done by " + options.id, true);
        if (!queue.empty()) {
            const auto next = queue.front();
            queue.pop_front();
            run(next);
        }
    });
}

void worker::implementation::answer(const queued_request& request, unsigned status,
                                    const std::string& body, bool has_run) {
    gateway::internal_answer result{status, "text/plain", body, {}};
    result.fields.push_back(
        {"Request-Id", std::string(gateway::field_of(request.head, "Request-Id"))});
    result.fields.push_back({"Instance-Id", options.id});
    result.fields.push_back({"Server-Load", std::to_string(running) + "," +
                                                std::to_string(queue.size()) + "," +
                                                std::to_string(options.slots)});
    if (has_run) {
        result.fields.push_back({"Server-Signature", options.id});
    } else {
        result.fields.push_back({"Not-Executed", "1"});
    }
    if (self.says_it_leaves) {
        result.fields.push_back({"Server-Leaving", "1"});
    }
    request.respond(result);
}

struct fleet::platform_state {
    platform::testing::store_standin store;
    gateway::lifetime life{};
};

fleet::fleet(const std::string& record_path)
    : record(record_path),
      clients_(context, 256),
      platform_(new platform_state{platform::testing::store_standin(context)}) {
    const auto process_id = static_cast<unsigned>(getpid());
    constexpr unsigned octet = 256;
    constexpr unsigned first_network = 100;
    // Loopback addresses that no other case uses at the same time.
    network_ = "127." + std::to_string(first_network + process_id / octet % first_network) + "." +
               std::to_string(process_id % octet);
    folder_ = (std::filesystem::temp_directory_path() / ("mv-review-" + std::to_string(process_id)))
                  .string();
    std::filesystem::create_directories(folder_);
    every(poll_interval, [this] { watch_routers(); });
    every(poll_interval, [this] { beat(); });
}

fleet::~fleet() {
    for (const auto& [host, entry] : routers_) {
        if (entry.process > 0) {
            kill(entry.process, SIGKILL);
            waitpid(entry.process, nullptr, 0);
        }
    }
    if (std::getenv("KEEP_LOGS") == nullptr) {
        std::filesystem::remove_all(folder_);
    } else {
        std::fprintf(stderr, "logs: %s\n", folder_.c_str());
    }
}

std::string fleet::next_address() {
    return network_ + "." + std::to_string(next_host_++);
}

worker& fleet::add_worker(const worker_options& options) {
    auto& added = workers[options.id];
    added = std::make_unique<worker>(context, record, options,
                                     endpoint_of(next_address(), worker_port));
    added->start();
    return *added;
}

void fleet::remove_entry(const std::string& id) {
    removed_.insert(id);
    platform_->store.remove("servers/" + id);
}

void fleet::put_config(unsigned version, const std::vector<route_text>& routes,
                       const std::vector<service_text>& services) {
    json resources = json::array();
    for (const auto& route : routes) {
        resources.push_back({{"resourceKind", "routes"},
                             {"metadata", {{"name", route.name}}},
                             {"spec",
                              {{"host", host_name},
                               {"prefix", "/" + route.name + "/"},
                               {"kind", route.kind},
                               {"service", route.service},
                               {"timeoutMs", route.timeout_ms},
                               {"targetLatencyMs", 800},
                               {"priority", 1},
                               {"maxAttempts", 2},
                               {"allowedRegions", json::array()}}}});
    }
    for (const auto& service : services) {
        resources.push_back({{"resourceKind", "services"},
                             {"metadata", {{"name", service.name}}},
                             {"spec",
                              {{"healthPath", "/health"},
                               {"maxConnections", 130},
                               {"warmupS", 3.0},
                               {"warmupPerS", 5.0},
                               {"sharded", service.sharded}}}});
    }
    resources.push_back({{"resourceKind", "limits"},
                         {"metadata", json::object()},
                         {"spec",
                          {{"maxHeaderBytes", 16384},
                           {"maxBodyBytes", 67108864},
                           {"headerTimeoutMs", 3000},
                           {"idleTimeoutMs", 15000}}}});
    char digits[9];
    std::snprintf(digits, sizeof digits, "%08x", version);
    platform_->store.put("op/config", json({{"version", digits}, {"resources", resources}}).dump());
    record.write("configuration " + std::string(digits) + " is acknowledged");
}

void fleet::write_settings(const std::string& host, const router& entry) const {
    std::ofstream out(folder_ + "/" + host + ".yaml");
    const auto address = [&](unsigned port) {
        return "\"" + entry.address + ":" + std::to_string(port) + "\"";
    };
    out << "node: \"" << host << "\"\nrole: \"router\"\nmachineClass: \"front\"\n"
        << "serves: [\"front\"]\nip: \"" << entry.address << "\"\nzone: \"" << entry.options.zone
        << "\"\nregion: \"north\"\nzones: {north-a: \"north\", north-b: \"north\"}\n"
        << "listen: {front: " << address(client_port) << ", ready: " << address(ready_port)
        << "}\ninternalPorts: [" << internal_port << ", " << last_internal_port
        << "]\nfirstStart: true\nlimits: {cpuShare: " << entry.options.cpu_share
        << ", cores: 1, memoryMb: 260, maxFds: 4100, linkMbps: 1000.0, diskMb: 0}\n"
        << "dataDir: null\ndiscovery: \"platform\"\nheartbeatMs: " << heartbeat.count()
        << "\nbounds: {seedLagS: 3, reuseAfterS: 2, contactMs: 3000, ackMs: 4000, catchUpS: 4, "
           "drainMs: 2500, graceS: 6, lossSlackMs: 200, configApplyMs: 2500, rollbackSlackMs: 250, "
           "maxStretchMs: 5000, retryBudgetRatio: 0.2, budgetWindowS: 10, budgetExtraRetries: 62, "
           "coldOver: 1.5, coldSlack: 5, evacMs: 5000, recoverS: 15, holdMaxMs: 10000, "
           "thawSlackMs: 300}\ngrants: \"call\"\nplatform: {address: "
        << address(store_port)
        << ", form: \"kv\", writesPerS: 400, readsPerS: 2000, historyS: 20, valueBytes: 1048576, "
           "ttlMinMs: 1000}\n";
}

void fleet::spawn(const std::string& host, router& entry) {
    // The word `run` of deploy/system.toml; the working directory is the repository.
    std::string program = "target/mimosavalve-gate";
    std::vector<char*> arguments{program.data(), nullptr};
    std::string settings = "MIMOSAVALVE_SETTINGS=" + folder_ + "/" + host + ".yaml";
    std::string path = "PATH=/usr/bin:/bin";
    std::vector<char*> environment{settings.data(), path.data(), nullptr};
    const auto log = folder_ + "/" + host + ".log";
    posix_spawn_file_actions_t actions;
    posix_spawn_file_actions_init(&actions);
    posix_spawn_file_actions_addopen(&actions, STDOUT_FILENO, log.c_str(),
                                     O_WRONLY | O_CREAT | O_APPEND, 0600);
    // The routers must not keep the listening sockets of the stand-ins open.
    posix_spawn_file_actions_addclosefrom_np(&actions, STDERR_FILENO + 1);
    if (posix_spawn(&entry.process, program.c_str(), &actions, nullptr, arguments.data(),
                    environment.data()) != 0) {
        entry.process = -1;
    }
    posix_spawn_file_actions_destroy(&actions);
    entry.kill_at = {};
    entry.start_at = {};
    record.write("router " + host + " starts");
}

void fleet::start_router(const std::string& host, const router_options& options) {
    auto& entry = routers_[host];
    entry.options = options;
    if (entry.address.empty()) {
        entry.address = next_address();
        platform_->store.listen(host, endpoint_of(entry.address, store_port));
        write_settings(host, entry);
    }
    spawn(host, entry);
}

void fleet::signal_router(const std::string& host, int signal) {
    record.write("signal " + std::to_string(signal) + " to router " + host);
    if (routers_.at(host).process > 0) {
        kill(routers_.at(host).process, signal);
    }
}

void fleet::stop_router(const std::string& host) {
    signal_router(host, SIGTERM);
    routers_.at(host).kill_at = boot_clock::now() + grace;
}

void fleet::remove_router(const std::string& host) {
    auto& entry = routers_.at(host);
    record.write("router " + host + " is gone for good");
    if (entry.process > 0) {
        kill(entry.process, SIGKILL);
        waitpid(entry.process, nullptr, 0);
    }
    routers_.erase(host);
}

bool fleet::is_running(const std::string& host) const {
    return routers_.at(host).process > 0;
}

void fleet::watch_routers() {
    const auto now = boot_clock::now();
    for (auto& [host, entry] : routers_) {
        if (entry.process > 0 && entry.kill_at != boot_time{} && now >= entry.kill_at) {
            kill(entry.process, SIGKILL);
        }
        if (entry.process > 0 && waitpid(entry.process, nullptr, WNOHANG) == entry.process) {
            record.write("router " + host + " has ended");
            entry.process = -1;
            entry.start_at = now + restart_delay;
        }
        if (entry.process <= 0 && entry.start_at != boot_time{} && now >= entry.start_at) {
            spawn(host, entry);
        }
    }
}

void fleet::beat() {
    const auto now = boot_clock::now();
    for (auto& [id, each] : workers) {
        const auto last = beats_.find(id);
        const bool is_due = last == beats_.end() || now - last->second >= heartbeat;
        if (each->is_up() && each->reaches_store && !store_down_ && is_due &&
            !removed_.contains(id)) {
            beats_[id] = now;
            platform_->store.put("servers/" + id, each->next_entry());
        }
    }
    for (const auto& [id, at] : beats_) {
        const bool runs_out = !store_down_ || entries_run_out_;
        if (runs_out && now - at >= entry_lifetime &&
            platform_->store.value_of("servers/" + id) != nullptr) {
            record.write("entry of worker " + id + " runs out");
            platform_->store.remove("servers/" + id);
        }
    }
}

std::string fleet::leader() const {
    const auto* value = platform_->store.value_of("mimosavalve/leader");
    const auto identity = value == nullptr ? std::nullopt : gateway::decode_leader_identity(*value);
    return identity ? identity->host : std::string();
}

std::string fleet::log_of(const std::string& host) const {
    std::ifstream in(folder_ + "/" + host + ".log");
    std::stringstream text;
    text << in.rdbuf();
    return text.str();
}

std::vector<std::string> fleet::hosts() const {
    std::vector<std::string> names;
    for (const auto& [host, entry] : routers_) {
        names.push_back(host);
    }
    return names;
}

void fleet::set_store_down(bool down, bool entries_run_out) {
    if (store_down_ && !down && !entries_run_out_) {
        for (auto& [id, at] : beats_) {
            at = boot_clock::now();
        }
    }
    store_down_ = down;
    entries_run_out_ = entries_run_out;
    record.write(down ? "the store is down" : "the store is back");
    for (const auto& [host, entry] : routers_) {
        platform_->store.set_access(host, down ? platform::testing::store_access::refused
                                               : platform::testing::store_access::served);
    }
}

std::shared_ptr<client_outcome> fleet::request(const std::string& host, const std::string& method,
                                               const std::string& path, std::uint32_t key,
                                               bool has_key) {
    constexpr milliseconds deadline{3000};
    auto outcome = std::make_shared<client_outcome>();
    const auto id = "request-" + std::to_string(next_request_++);
    gateway::call call;
    call.method = method;
    call.request_target = path;
    if (method == "POST") {
        call.content_type = "text/plain";
        call.body = "order";
    }
    call.fields = {{"Request-Id", id}, {"Deadline-Ms", std::to_string(deadline.count())}};
    if (has_key) {
        call.fields.push_back({"Shard-Key", std::to_string(key)});
    }
    call.host = host_name;
    record.write("sent " + id + " " + method + " " + path + " key " + std::to_string(key) +
                 " to router " + host);
    clients_.send(
        endpoint_of(routers_.at(host).address, client_port), std::move(call),
        std::chrono::steady_clock::now() + deadline + milliseconds(500),
        [this, outcome, id, host](std::error_code error, const gateway::call_answer& answer) {
            outcome->done = true;
            if (!error) {
                outcome->status = answer.head.status;
                outcome->says_worker_leaves =
                    gateway::field_of(answer.head, "Server-Leaving") == "1";
                outcome->signature = gateway::field_of(answer.head, "Server-Signature");
                const std::string pause(gateway::field_of(answer.head, "Retry-After"));
                constexpr double ms_per_s = 1000;
                outcome->may_return_at =
                    boot_clock::now() + milliseconds(static_cast<std::int64_t>(
                                            std::strtod(pause.c_str(), nullptr) * ms_per_s));
            }
            record.write("answer " + id + " from router " + host + " status " +
                         std::to_string(outcome->status) + " signature " + outcome->signature +
                         (outcome->says_worker_leaves ? " Server-Leaving: 1" : "") +
                         (error ? " error " + error.message() : ""));
        });
    return outcome;
}

void fleet::restart_later(worker& crashed, milliseconds pause) {
    gateway::run_after(context, pause, platform_->life, [this, old_id = crashed.options().id] {
        auto moved = workers.extract(old_id);
        // The part before the instance number stays.
        const auto id = old_id.substr(0, old_id.find('-')) + "-" + std::to_string(next_instance_++);
        moved.key() = id;
        moved.mapped()->start_as(id);
        workers.insert(std::move(moved));
    });
}

void fleet::run_for(milliseconds time) {
    context.restart();
    context.run_for(time);
}

bool fleet::run_until(const std::function<bool()>& done, milliseconds timeout) {
    const auto end = boot_clock::now() + timeout;
    while (!done()) {
        if (boot_clock::now() >= end) {
            return false;
        }
        run_for(poll_interval);
    }
    return true;
}

void fleet::every(milliseconds period, const std::function<void()>& step) {
    gateway::run_every(context, period, platform_->life, step);
}

bool fleet::run_until_serving(const std::vector<std::string>& paths, milliseconds timeout) {
    const auto end = boot_clock::now() + timeout;
    for (const auto& [host, entry] : routers_) {
        for (const auto& path : paths) {
            while (true) {
                const auto method = path.starts_with("/order") ? "POST" : "GET";
                const auto outcome = request(host, method, path, 0);
                run_until([&] { return outcome->done; }, milliseconds(4000));
                if (outcome->status == ok) {
                    break;
                }
                if (boot_clock::now() >= end) {
                    return false;
                }
                run_for(milliseconds(100));
            }
        }
    }
    return true;
}

bool has_trouble() {
    // Called before there are other threads.
    const char* value = std::getenv("TROUBLE");  // NOLINT(concurrency-mt-unsafe)
    return value == nullptr || std::string(value) != "0";
}

}  // namespace mimosavalve::review
