#include "fleet.hpp"

#include <fcntl.h>
#include <netinet/tcp.h>
#include <spawn.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <boost/asio/post.hpp>
#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <nlohmann/json.hpp>
#include <sstream>
#include <utility>

#include "../../tests/platform/store_standin.hpp"

namespace review {

namespace {

using nlohmann::json;
using std::chrono::milliseconds;

constexpr std::uint16_t worker_port = 8600;
constexpr std::uint16_t store_port = 8541;
constexpr std::uint16_t ready_port = 8542;
constexpr milliseconds heartbeat{870};

std::int64_t unix_ms() {
    return std::chrono::duration_cast<milliseconds>(
               std::chrono::system_clock::now().time_since_epoch())
        .count();
}

}  // namespace

void recorder::line(const std::string& text) {
    const std::lock_guard lock(guard_);
    out_ << std::chrono::duration_cast<milliseconds>(clock::now() - began_).count() << " " << text
         << std::endl;
}

worker::worker(options chosen, std::string address, handler serve)
    : options_(std::move(chosen)),
      address_(std::move(address)),
      serve_(std::move(serve)),
      born_(unix_ms()),
      listener_(listen_on(address_, worker_port)),
      acceptor_([this] { accept(); }) {}

worker::~worker() {
    is_ending_ = true;
    shutdown(listener_, SHUT_RDWR);
    acceptor_.join();
    close(listener_);
    {
        const std::lock_guard lock(guard_);
        for (const int descriptor : open_) {
            shutdown(descriptor, SHUT_RDWR);
        }
    }
    for (auto& thread : threads_) {
        thread.join();
    }
}

void worker::accept() {
    while (!is_ending_) {
        const int descriptor = accept4(listener_, nullptr, nullptr, SOCK_CLOEXEC);
        if (descriptor < 0) {
            continue;
        }
        const int on = 1;
        setsockopt(descriptor, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
        const std::lock_guard lock(guard_);
        open_.push_back(descriptor);
        threads_.emplace_back([this, descriptor] {
            connection from(descriptor);
            while (!is_ending_) {
                auto request =
                    from.read_request(clock::now() + std::chrono::seconds(10), reads_heads_only);
                if (request.how != ending::complete) {
                    break;
                }
                if (has_crashed_ || !serve_(*this, request.content, from) || has_crashed_) {
                    break;
                }
            }
            if (has_crashed_) {
                from.reset();
            }
            const std::lock_guard closing(guard_);
            std::erase(open_, descriptor);
        });
    }
}

bool worker::work_for(milliseconds time) const {
    const auto end = clock::now() + time;
    while (!has_crashed_ && clock::now() < end) {
        std::this_thread::sleep_for(milliseconds(2));
    }
    return !has_crashed_;
}

void worker::crash() {
    has_crashed_ = true;
    is_ending_ = true;
    shutdown(listener_, SHUT_RDWR);
    const std::lock_guard lock(guard_);
    for (const int descriptor : open_) {
        // Wakes the thread of the connection, which resets it.
        shutdown(descriptor, SHUT_RD);
    }
}

std::int64_t worker::cold_ms() const {
    const auto left =
        std::chrono::duration_cast<milliseconds>(cold_until_.load() - clock::now()).count();
    return std::max<std::int64_t>(left, 0);
}

std::string worker::next_entry() {
    return json({{"service", options_.service},
                 {"address", address_ + ":" + std::to_string(worker_port)},
                 {"zone", options_.zone},
                 {"version", "1"},
                 {"slots", options_.slots},
                 {"state", "ready"},
                 {"warmupLeftMs", cold_ms()},
                 {"sequence", ++sequence_},
                 {"born", born_}})
        .dump();
}

std::string worker::answer_head(unsigned status, const message& request) const {
    return "HTTP/1.1 " + std::to_string(status) +
           " Answer\r\nRequest-Id: " + request.value_of("Request-Id") +
           "\r\nInstance-Id: " + options_.id + "\r\nKeep-Alive: timeout=10\r\n" +
           (status < 300 ? "Server-Signature: signature-" + request.value_of("Request-Id") + "\r\n"
                         : "");
}

bool worker::answer(connection& to, const message& request, const std::string& body) const {
    return to.send(answer_head(200, request) + "Content-Length: " + std::to_string(body.size()) +
                   "\r\n\r\n" + body);
}

bool worker::refuse(connection& to, const message& request) const {
    return to.send(answer_head(503, request) + "Not-Executed: 1\r\nContent-Length: 0\r\n\r\n");
}

fleet::fleet(recorder& record)
    : record_(record),
      work_(boost::asio::make_work_guard(context_)),
      store_(std::make_unique<mimosavalve::platform::testing::store_standin>(context_)) {
    const auto process = static_cast<unsigned>(getpid());
    network_ =
        "127." + std::to_string(100 + process / 256 % 100) + "." + std::to_string(process % 256);
    folder_ = (std::filesystem::temp_directory_path() / ("mv-review-" + std::to_string(process)))
                  .string();
    std::filesystem::create_directories(folder_);
    store_thread_ = std::thread([this] { context_.run(); });
    heart_ = std::thread([this] { beat(); });
}

fleet::~fleet() {
    for (const auto& [node, entry] : routers_) {
        if (entry.process > 0) {
            kill(entry.process, SIGKILL);
            waitpid(entry.process, nullptr, 0);
        }
    }
    is_ending_ = true;
    heart_.join();
    workers_.clear();
    work_.reset();
    context_.stop();
    store_thread_.join();
    if (std::getenv("KEEP_LOGS") == nullptr) {
        std::filesystem::remove_all(folder_);
    }
}

std::string fleet::next_address() {
    return network_ + "." + std::to_string(next_host_++);
}

void fleet::with_store(
    const std::function<void(mimosavalve::platform::testing::store_standin&)>& step) {
    std::promise<void> done;
    boost::asio::post(context_, [&] {
        step(*store_);
        done.set_value();
    });
    done.get_future().wait();
}

void fleet::write_settings(const std::string& node, const router& entry) const {
    std::ofstream out(folder_ + "/" + node + ".yaml");
    out << "node: \"" << node << "\"\nrole: \"router\"\nmachineClass: \"front\"\nserves:\n"
        << "  - \"front\"\nip: \"" << entry.address << "\"\nzone: \"" << entry.zone
        << "\"\nregion: \"" << (entry.zone.starts_with("pkr") ? "gandaki" : "bagmati")
        << "\"\nzones:\n  ktm-a: \"bagmati\"\n  pkr-a: \"gandaki\"\n  ltp-b: \"bagmati\"\n"
        << "  pkr-b: \"gandaki\"\nlisten:\n"
        << "  front: \"" << entry.address << ":" << front_port << "\"\n  ready: \"" << entry.address
        << ":" << ready_port
        << "\"\ninternalPorts:\n  - 7540\n  - 7555\nfirstStart: true\nheartbeatMs: 870\nbounds:\n"
        << "  seedLagS: 3\n  reuseAfterS: 2\n  contactMs: 3000\n  ackMs: 4000\n  drainMs: 2500\n"
        << "  graceS: 6\n  lossSlackMs: 200\n  configApplyMs: 2500\n  rollbackSlackMs: 250\n"
        << "  maxStretchMs: 5000\n  retryBudgetRatio: 0.2\n  budgetWindowS: 10\n"
        << "  budgetExtraRetries: 62\n  coldOver: 1.5\n  coldSlack: 5\n  evacMs: 5000\n"
        << "  recoverS: 15\n  holdMaxMs: 10000\n  thawSlackMs: 300\ngrants: \"call\"\nplatform:\n"
        << "  address: \"" << entry.address << ":" << store_port
        << "\"\n  form: \"kv\"\n  writesPerS: 400\n  readsPerS: 2000\n  historyS: 20\n"
        << "  valueBytes: 1048576\n  ttlMinMs: 1000\n";
}

bool fleet::start_routers() {
    const std::map<std::string, int> counts{{"ktm-a", 3}, {"pkr-a", 3}, {"ltp-b", 3}, {"pkr-b", 2}};
    for (const auto& [zone, count] : counts) {
        for (int number = 1; number <= count; ++number) {
            start_router("front-" + zone + "-" + std::to_string(number), zone);
        }
    }
    const auto all = nodes();
    return std::all_of(all.begin(), all.end(),
                       [this](const std::string& node) { return wait_ready(node); });
}

std::vector<std::string> fleet::nodes() const {
    std::vector<std::string> out;
    out.reserve(routers_.size());
    for (const auto& [node, entry] : routers_) {
        out.push_back(node);
    }
    return out;
}

void fleet::start_router(const std::string& node, const std::string& zone) {
    auto& entry = routers_[node];
    if (entry.address.empty()) {
        entry.address = next_address();
        entry.zone = zone;
        with_store([&](auto& store) {
            store.listen(node, {boost::asio::ip::make_address(entry.address), store_port});
        });
        write_settings(node, entry);
    }
    const auto settings = "MIMOSAVALVE_SETTINGS=" + folder_ + "/" + node + ".yaml";
    std::vector<std::string> environment{settings, "PATH=/usr/bin:/bin", "HOME=/", "LANG=C"};
    std::vector<char*> variables;
    variables.reserve(environment.size() + 1);
    for (auto& each : environment) {
        variables.push_back(each.data());
    }
    variables.push_back(nullptr);
    std::string program = "target/mimosavalve-gate";
    std::vector<char*> arguments{program.data(), nullptr};
    posix_spawn_file_actions_t actions;
    posix_spawn_file_actions_init(&actions);
    posix_spawn_file_actions_addopen(&actions, STDOUT_FILENO,
                                     (folder_ + "/" + node + ".log").c_str(),
                                     O_WRONLY | O_CREAT | O_APPEND, 0600);
    posix_spawn_file_actions_addclosefrom_np(&actions, STDERR_FILENO + 1);
    posix_spawn(&entry.process, program.c_str(), &actions, nullptr, arguments.data(),
                variables.data());
    posix_spawn_file_actions_destroy(&actions);
    record_.line("router " + node + " started as process " + std::to_string(entry.process));
}

const std::string& fleet::address_of(const std::string& node) const {
    return routers_.at(node).address;
}

void fleet::signal_router(const std::string& node, int signal) {
    auto& entry = routers_.at(node);
    record_.line("router " + node + " gets signal " + std::to_string(signal));
    kill(entry.process, signal);
    if (signal == SIGKILL) {
        waitpid(entry.process, nullptr, 0);
        entry.process = -1;
    }
}

bool fleet::has_ended(const std::string& node) {
    auto& entry = routers_.at(node);
    int status = 0;
    if (entry.process <= 0 || waitpid(entry.process, &status, WNOHANG) != entry.process) {
        return false;
    }
    record_.line("router " + node + " has ended, status " + std::to_string(status));
    entry.process = -1;
    return true;
}

worker& fleet::add_worker(worker::options chosen, worker::handler serve) {
    const std::lock_guard lock(guard_);
    workers_.push_back(
        std::make_unique<worker>(std::move(chosen), next_address(), std::move(serve)));
    return *workers_.back();
}

void fleet::write_entry(worker& of) {
    with_store([&](auto& store) { store.put("servers/" + of.settings().id, of.next_entry()); });
}

void fleet::beat() {
    auto next = clock::now() + heartbeat;
    while (!is_ending_) {
        std::this_thread::sleep_for(milliseconds(10));
        if (clock::now() < next) {
            continue;
        }
        next += heartbeat;
        const std::lock_guard lock(guard_);
        for (auto& each : workers_) {
            if (!each->has_crashed() && !each->is_cut_off()) {
                missed_beats_[each->settings().id] = 0;
                write_entry(*each);
            } else if (++missed_beats_[each->settings().id] == 3) {
                const auto key = "servers/" + each->settings().id;
                with_store([&](auto& store) { store.remove(key); });
                record_.line("the store removes " + key);
            }
        }
    }
}

void fleet::put_config(unsigned version, const std::vector<route>& routes,
                       const std::vector<std::string>& services, double cold_per_s) {
    json resources = json::array();
    for (const auto& each : routes) {
        resources.push_back({{"resourceKind", "routes"},
                             {"metadata", {{"name", each.name}}},
                             {"spec",
                              {{"host", "desk.example"},
                               {"prefix", "/" + each.name + "/"},
                               {"kind", each.kind},
                               {"service", each.service},
                               {"timeoutMs", each.timeout_ms},
                               {"targetLatencyMs", each.objective_ms},
                               {"priority", 1},
                               {"maxAttempts", each.attempts},
                               {"allowedRegions", json::array()}}}});
    }
    for (const auto& name : services) {
        resources.push_back({{"resourceKind", "services"},
                             {"metadata", {{"name", name}}},
                             {"spec",
                              {{"healthPath", "/health"},
                               {"maxConnections", 130},
                               {"warmupS", 3},
                               {"warmupPerS", cold_per_s},
                               {"sharded", false}}}});
    }
    resources.push_back({{"resourceKind", "limits"},
                         {"metadata", {{"name", "limits"}}},
                         {"spec",
                          {{"maxHeaderBytes", 16384},
                           {"maxBodyBytes", 8388608},
                           {"headerTimeoutMs", 5000},
                           {"idleTimeoutMs", 10000}}}});
    std::ostringstream digits;
    digits << std::hex;
    digits.width(8);
    digits.fill('0');
    digits << version;
    with_store([&](auto& store) {
        store.put("op/config", json({{"version", digits.str()}, {"resources", resources}}).dump());
    });
}

bool fleet::wait_ready(const std::string& node) {
    const auto end = clock::now() + std::chrono::seconds(15);
    while (clock::now() < end) {
        if (auto probe = connection::open(address_of(node), ready_port)) {
            probe->send("GET /api/ready HTTP/1.1\r\nHost: ready\r\n\r\n");
            if (probe->read_answer(clock::now() + std::chrono::seconds(1)).content.status == 200) {
                return true;
            }
        }
        std::this_thread::sleep_for(milliseconds(50));
    }
    record_.line("router " + node + " is not ready after 15 s");
    return false;
}

std::string fleet::leader() {
    // The record is a CBOR map, written by the router itself; the node's name is in it as text.
    std::string found;
    with_store([&](auto& store) {
        const auto* value = store.value_of("mimosavalve/leader");
        for (const auto& [node, entry] : routers_) {
            if (value != nullptr && value->find(node) != std::string::npos) {
                found = node;
            }
        }
    });
    return found;
}

std::string fleet::log_of(const std::string& node) const {
    std::ifstream in(folder_ + "/" + node + ".log");
    std::stringstream text;
    text << in.rdbuf();
    return text.str();
}

std::string request_head(std::string_view method, std::string_view path, std::string_view id,
                         int deadline_ms, const std::vector<field>& more) {
    std::ostringstream out;
    out << method << " " << path << " HTTP/1.1\r\nHost: desk.example\r\nRequest-Id: " << id
        << "\r\nDeadline-Ms: " << deadline_ms << "\r\n";
    for (const auto& each : more) {
        out << each.name << ": " << each.value << "\r\n";
    }
    out << "\r\n";
    return out.str();
}

std::string record_path() {
    const char* path = std::getenv("RECORD");
    return path == nullptr ? "record.txt" : path;
}

bool has_trouble() {
    const char* wanted = std::getenv("TROUBLE");
    return wanted == nullptr || std::string_view(wanted) != "0";
}

}  // namespace review
