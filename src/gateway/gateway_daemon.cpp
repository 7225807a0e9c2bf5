#include "mimosavalve/gateway/gateway_daemon.hpp"

#include <malloc.h>
#include <sys/stat.h>
#include <unistd.h>

#include <boost/asio/post.hpp>
#include <boost/asio/signal_set.hpp>
#include <csignal>
#include <iostream>
#include <unordered_map>

#include "caller_session.hpp"
#include "fleet_control.hpp"
#include "mimosavalve/gateway/gateway_metrics.hpp"
#include "peer_paths.hpp"
#include "router_core.hpp"
#include "small_server.hpp"

namespace mimosavalve::gateway {

namespace detail {

using steady = std::chrono::steady_clock;

// Sessions are looked at for idle and slow callers this often.
constexpr milliseconds sweep_time{500};
// A waiting request is tried again at least this often, since holds and limits change with time.
constexpr milliseconds waiting_time{25};
// The settings file may change without a signal.
constexpr milliseconds settings_time{1000};
// The balancer takes a stopping host out after two failed checks, one each second.
constexpr milliseconds balancer_time{2500};
// Time kept for the exit itself before the platform kills the process.
constexpr milliseconds exit_margin{400};

struct file_stamp {
    std::int64_t seconds = 0;
    std::int64_t nanoseconds = 0;
    std::int64_t size = 0;
    bool operator==(const file_stamp&) const = default;
};

file_stamp stamp_of(const std::string& path) {
    struct stat found {};
    if (stat(path.c_str(), &found) != 0) {
        return {};
    }
    return {found.st_mtim.tv_sec, found.st_mtim.tv_nsec, found.st_size};
}

class daemon {
public:
    daemon(const daemon_binding& binding, gateway_settings settings)
        : binding_(binding),
          log_(STDOUT_FILENO),
          core_(context_, std::move(settings), log_),
          calls_(context_),
          grants_(context_, 6),
          releases_(context_),
          control_(core_, calls_),
          sweep_(context_),
          waiting_(context_),
          deadline_(context_),
          settings_timer_(context_),
          stop_timer_(context_),
          signals_(context_, SIGTERM, SIGINT, SIGHUP),
          stamp_(stamp_of(binding.settings_path)) {
        core_.platform = binding_.make_platform({&calls_, &grants_, &releases_}, core_.settings);
        core_.defer = [this](std::function<void()> step) {
            boost::asio::post(context_, std::move(step));
        };
        core_.wake_waiting = [this] { wake_waiting(); };
        core_.deadlines_changed = [this] { arm_deadline(); };
        apply_settings();
    }

    void run() {
        const auto endpoint = [](const std::string& text) { return parse_endpoint(text).value(); };
        const auto& settings = core_.settings;
        callers_ = std::make_unique<listener>(
            context_, endpoint(settings.caller_address),
            [this](std::unique_ptr<stream> connection) { add_caller(std::move(connection)); });
        const auto handle = [this](const message_head& head, const std::string& body,
                                   small_server::respond respond) {
            serve_internal(head, body, std::move(respond));
        };
        ready_ = std::make_unique<small_server>(context_, endpoint(settings.ready_address), handle);
        peers_ = std::make_unique<small_server>(context_, endpoint(settings.peer_address), handle);
        metrics_ =
            std::make_unique<small_server>(context_, endpoint(settings.metrics_address), handle);
        log_.write_always("start", {{"host", settings.host},
                                    {"failure_domain", settings.failure_domain},
                                    {"callers", settings.caller_address}});
        wait_for_signal();
        sweep();
        watch_settings();
        control_.start();
        context_.run();
        log_.write_always(
            "stop",
            {{"host", settings.host},
             {"requests", static_cast<std::int64_t>(core_.metrics.counters["requests_finished"])}});
    }

private:
    void apply_settings() {
        core_.state.regions = core_.settings.regions;
        core_.state.own_domain = core_.settings.failure_domain;
        core_.state.own_region = core_.settings.region;
        core_.state.bounds = core_.settings.bounds;
    }

    void add_caller(std::unique_ptr<stream> connection) {
        auto session = std::make_unique<caller_session>(
            core_, std::move(connection), [this](caller_session* closed) {
                boost::asio::post(context_, [this, closed] {
                    sessions_.erase(closed);
                    check_stopped();
                });
            });
        auto* key = session.get();
        sessions_.emplace(key, std::move(session));
    }

    void serve_internal(const message_head& head, const std::string& body,
                        small_server::respond respond) {
        constexpr unsigned ok = 200;
        constexpr unsigned unavailable = 503;
        constexpr unsigned not_found = 404;
        const auto path = path_of(head);
        if (path == core_.platform.ready_path) {
            const bool is_ready = !core_.stopping && control_.is_ready();
            if (is_ready != was_ready_) {
                log_.write_always(is_ready ? "ready" : "not_ready", {});
                was_ready_ = is_ready;
            }
            respond({is_ready ? ok : unavailable, "text/plain", is_ready ? "ready\n" : "", {}});
        } else if (path == peer_paths::sync) {
            control_.serve_sync(body, std::move(respond));
        } else if (path == peer_paths::leader) {
            control_.serve_announcement(body, respond);
        } else if (path == "/metrics") {
            respond({ok, "text/plain", metrics_text(), {}});
        } else {
            respond({not_found, "text/plain", "", {}});
        }
    }

    std::string metrics_text() {
        auto text = format_metrics(core_.metrics);
        text += "mimosavalve_sessions " + std::to_string(sessions_.size()) + "\n";
        text += "mimosavalve_waiting " + std::to_string(core_.waiting.size()) + "\n";
        text += "mimosavalve_targets " + std::to_string(core_.state.targets.size()) + "\n";
        text += "mimosavalve_config_version " + std::to_string(core_.state.config.version) + "\n";
        text += "mimosavalve_log_lines_dropped " + std::to_string(log_.dropped()) + "\n";
        return text;
    }

    void wake_waiting() {
        if (wake_posted_ || core_.waiting.empty()) {
            return;
        }
        wake_posted_ = true;
        boost::asio::post(context_, [this] {
            wake_posted_ = false;
            try_waiting();
        });
    }

    void try_waiting() {
        const std::vector<exchange*> waiting(core_.waiting.begin(), core_.waiting.end());
        for (auto* request : waiting) {
            // An answer to one may change the list.
            if (std::find(core_.waiting.begin(), core_.waiting.end(), request) !=
                core_.waiting.end()) {
                request->redispatch_if_waiting();
            }
        }
        if (!core_.waiting.empty() && !waiting_armed_) {
            waiting_armed_ = true;
            waiting_.expires_after(waiting_time);
            waiting_.async_wait([this](auto error) {
                waiting_armed_ = false;
                if (!error) {
                    try_waiting();
                }
            });
        }
    }

    void arm_deadline() {
        if (core_.deadlines.empty()) {
            return;
        }
        const auto first = core_.deadlines.begin()->first;
        if (deadline_armed_ && deadline_.expiry() <= first) {
            return;
        }
        deadline_armed_ = true;
        deadline_.expires_at(first);
        deadline_.async_wait([this](auto error) {
            if (error) {
                return;
            }
            deadline_armed_ = false;
            const auto now = steady::now();
            while (!core_.deadlines.empty() && core_.deadlines.begin()->first <= now) {
                auto* request = core_.deadlines.begin()->second;
                core_.deadlines.erase(core_.deadlines.begin());
                request->expire();
            }
            arm_deadline();
        });
    }

    void sweep() {
        const auto now = steady::now();
        std::vector<caller_session*> sessions;
        sessions.reserve(sessions_.size());
        for (const auto& [session, owned] : sessions_) {
            sessions.push_back(session);
        }
        for (auto* session : sessions) {
            session->check_time(now);
        }
        for (auto& idle : core_.idle_links) {
            std::erase_if(idle.second, [&](const auto& link) {
                const bool quiet = link->is_still_usable();
                const auto found = core_.state.targets.find(idle.first);
                if (!quiet && found != core_.state.targets.end()) {
                    --found->second->open_connections;
                }
                return !quiet;
            });
        }
        sweep_.expires_after(sweep_time);
        sweep_.async_wait([this](auto error) {
            if (!error) {
                sweep();
            }
        });
    }

    void watch_settings() {
        settings_timer_.expires_after(settings_time);
        settings_timer_.async_wait([this](auto error) {
            if (error) {
                return;
            }
            const auto stamp = stamp_of(binding_.settings_path);
            if (!(stamp == stamp_)) {
                stamp_ = stamp;
                reload("file changed");
            }
            watch_settings();
        });
    }

    void reload(std::string_view why) {
        std::string problem;
        auto settings = binding_.read_settings(problem);
        log_.write_always("reload", {{"why", why}, {"problem", problem}});
        if (settings) {
            // Addresses stay as they were: the sockets are open.
            core_.settings.bounds = settings->bounds;
            core_.settings.regions = settings->regions;
            apply_settings();
        }
    }

    void wait_for_signal() {
        signals_.async_wait([this](auto error, int number) {
            if (error) {
                return;
            }
            if (number == SIGHUP) {
                reload("signal");
            } else {
                stop();
            }
            wait_for_signal();
        });
    }

    void stop() {
        if (core_.stopping) {
            return;
        }
        core_.stopping = true;
        log_.write_always("stopping", {{"sessions", static_cast<std::int64_t>(sessions_.size())}});
        control_.stop();
        stop_begin_ = steady::now();
        stop_step();
    }

    // Callers are sent here until the balancer has noticed; then idle connections are closed, and
    // busy ones with their answer.
    void stop_step() {
        const auto now = steady::now();
        const auto passed = now - stop_begin_;
        if (passed >= balancer_time) {
            core_.refuses_new_requests = true;
            std::vector<caller_session*> sessions;
            for (const auto& [session, owned] : sessions_) {
                sessions.push_back(session);
            }
            for (auto* session : sessions) {
                session->close_if_idle();
            }
            check_stopped();
        }
        if (passed >= core_.settings.bounds.stop_time - exit_margin) {
            context_.stop();
            return;
        }
        stop_timer_.expires_after(milliseconds(100));
        stop_timer_.async_wait([this](auto error) {
            if (!error) {
                stop_step();
            }
        });
    }

    void check_stopped() {
        if (core_.stopping && sessions_.empty() && steady::now() - stop_begin_ >= balancer_time) {
            context_.stop();
        }
    }

    daemon_binding binding_;
    boost::asio::io_context context_{1};
    observe::decision_log log_;
    router_core core_;
    call_client calls_;
    call_client grants_;  // Few connections: they count against the bound of a target.
    call_client releases_;
    fleet_control control_;
    std::unordered_map<caller_session*, std::unique_ptr<caller_session>> sessions_;
    std::unique_ptr<listener> callers_;
    std::unique_ptr<small_server> ready_;
    std::unique_ptr<small_server> peers_;
    std::unique_ptr<small_server> metrics_;
    boost::asio::steady_timer sweep_;
    boost::asio::steady_timer waiting_;
    boost::asio::steady_timer deadline_;
    boost::asio::steady_timer settings_timer_;
    boost::asio::steady_timer stop_timer_;
    boost::asio::signal_set signals_;
    file_stamp stamp_;
    steady::time_point stop_begin_;
    bool wake_posted_ = false;
    bool waiting_armed_ = false;
    bool deadline_armed_ = false;
    bool was_ready_ = false;
};

}  // namespace detail

int run_gateway(const daemon_binding& binding) {
    constexpr int exit_settings = 2;
    constexpr int exit_failure = 1;
    std::string problem;
    auto settings = binding.read_settings(problem);
    if (!settings) {
        std::cerr << "mimosavalve: " << problem << "\n";
        return exit_settings;
    }
    // Freed memory goes back early: hosts are paid by their peak.
    constexpr int trim_bytes = 64 * 1024;
    mallopt(M_TRIM_THRESHOLD, trim_bytes);
    mallopt(M_MMAP_THRESHOLD, trim_bytes);
    std::signal(SIGPIPE, SIG_IGN);
    try {
        detail::daemon(binding, std::move(*settings)).run();
    } catch (const std::exception& error) {
        std::cerr << "mimosavalve: " << error.what() << "\n";
        return exit_failure;
    }
    return 0;
}

}  // namespace mimosavalve::gateway
