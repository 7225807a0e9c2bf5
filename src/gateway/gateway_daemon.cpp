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
#include "event_loop.hpp"
#include "fleet_control.hpp"
#include "internal_server.hpp"
#include "mimosavalve/gateway/gateway_metrics.hpp"
#include "peer_paths.hpp"
#include "router_core.hpp"

namespace mimosavalve::gateway {

namespace detail {

using steady = std::chrono::steady_clock;

// Interval of the checks for idle and slow callers and for ended idle links.
constexpr milliseconds sweep_interval{500};
// Maximum interval between attempts to dispatch waiting requests, since rate limits, the avoidance
// of targets and the remaining wait for an owner of keys change with time.
constexpr milliseconds redispatch_interval{25};
// Interval of the checks of the settings file, which may change without a signal.
constexpr milliseconds settings_check_interval{1000};
// Time after which the balancer sends a stopping host no more callers: two failed checks, one each
// second.
constexpr milliseconds balancer_removal_time{2500};
// Time from the final answers until the platform kills the process, in which callers read them.
constexpr milliseconds final_answer_margin{400};
// Time reserved for the exit itself before the platform kills the process.
constexpr milliseconds exit_margin{200};
// Maximum interval of the steps of a stop.
constexpr milliseconds stop_step_interval{100};
// Maximum number of connections to one target for grants.
constexpr std::size_t max_grant_connections = 6;
// Maximum number of connections to one target for releases.
constexpr std::size_t max_release_connections = 8;
// Maximum body of a target's answer to a command, which holds a few fields at most.
constexpr std::uint64_t max_command_answer_bytes = 16U << 10U;

struct file_version {
    std::int64_t seconds = 0;
    std::int64_t nanoseconds = 0;
    std::int64_t size = 0;
    bool operator==(const file_version&) const = default;
};

file_version file_version_of(const std::string& path) {
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
          client_(context_),
          grant_client_(context_, max_grant_connections, max_command_answer_bytes),
          release_client_(context_, max_release_connections, max_command_answer_bytes),
          control_(core_, client_),
          sweep_timer_(context_),
          redispatch_timer_(context_),
          deadline_timer_(context_),
          settings_timer_(context_),
          stop_timer_(context_),
          signals_(context_, SIGTERM, SIGINT, SIGHUP),
          settings_version_(file_version_of(binding.settings_path)) {
        core_.platform =
            binding_.make_platform({&client_, &grant_client_, &release_client_}, core_.settings);
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
        caller_listener_ = std::make_unique<listener>(context_, endpoint(settings.caller_address),
                                                      [this](std::unique_ptr<stream> connection) {
                                                          add_caller(std::move(connection), false);
                                                      });
        if (!settings.forward_address.empty()) {
            forward_listener_ =
                std::make_unique<listener>(context_, endpoint(settings.forward_address),
                                           [this](std::unique_ptr<stream> connection) {
                                               add_caller(std::move(connection), true);
                                           });
        }
        const auto handle = [this](const message_head& head, const std::string& body,
                                   internal_server::respond respond) {
            serve_internal(head, body, std::move(respond));
        };
        const auto on_malformed = [this] { record_unreadable_message(core_, "http request", {}); };
        ready_server_ = std::make_unique<internal_server>(
            context_, endpoint(settings.ready_address), handle, on_malformed);
        peer_server_ = std::make_unique<internal_server>(context_, endpoint(settings.peer_address),
                                                         handle, on_malformed);
        metrics_server_ = std::make_unique<internal_server>(
            context_, endpoint(settings.metrics_address), handle, on_malformed);
        log_.write_always("start", {{"host", settings.host},
                                    {"failure_domain", settings.failure_domain},
                                    {"callers", settings.caller_address}});
        wait_for_signal();
        sweep();
        watch_settings();
        control_.start();
        run_event_loop(context_, [this](const std::exception& error) {
            count(core_.metrics, "handlers_failed");
            log_.write("handler_failed", {{"error", error.what()}});
            control_.on_failed_handler();
        });
        log_.write_always(
            "stop",
            {{"host", settings.host},
             {"requests", static_cast<std::int64_t>(core_.metrics.counters["requests_finished"])}});
    }

private:
    void apply_settings() {
        core_.state.regions = core_.settings.regions;
        core_.state.own_host = core_.settings.host;
        core_.state.own_domain = core_.settings.failure_domain;
        core_.state.own_region = core_.settings.region;
        core_.state.bounds = core_.settings.bounds;
    }

    void add_caller(std::unique_ptr<stream> connection, bool is_forwarding) {
        const auto on_closed = [this](caller_session* closed) {
            boost::asio::post(context_, [this, closed] {
                sessions_.erase(closed);
                exit_if_no_sessions();
            });
        };
        auto session = std::make_unique<caller_session>(core_, std::move(connection), on_closed,
                                                        is_forwarding);
        auto* key = session.get();
        sessions_.emplace(key, std::move(session));
    }

    void serve_internal(const message_head& head, const std::string& body,
                        internal_server::respond respond) {
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
        } else if (path == peer_paths::config) {
            control_.serve_config(body, respond);
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
            redispatch_waiting();
        });
    }

    void redispatch_waiting() {
        dispatch_waiting(core_);
        if (!core_.waiting.empty() && !redispatch_armed_) {
            redispatch_armed_ = true;
            redispatch_timer_.expires_after(redispatch_interval);
            redispatch_timer_.async_wait([this](auto error) {
                redispatch_armed_ = false;
                if (!error) {
                    redispatch_waiting();
                }
            });
        }
    }

    void arm_deadline() {
        if (core_.deadlines.empty()) {
            return;
        }
        const auto first = core_.deadlines.begin()->first;
        if (deadline_armed_ && deadline_timer_.expiry() <= first) {
            return;
        }
        deadline_armed_ = true;
        deadline_timer_.expires_at(first);
        deadline_timer_.async_wait([this](auto error) {
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
                const bool is_usable = link->is_still_usable();
                const auto found = core_.state.targets.find(idle.first);
                if (!is_usable && found != core_.state.targets.end() &&
                    found->second->number == link->counted_by) {
                    --found->second->open_connections;
                }
                return !is_usable;
            });
        }
        sweep_timer_.expires_after(sweep_interval);
        sweep_timer_.async_wait([this](auto error) {
            if (!error) {
                sweep();
            }
        });
    }

    void watch_settings() {
        settings_timer_.expires_after(settings_check_interval);
        settings_timer_.async_wait([this](auto error) {
            if (error) {
                return;
            }
            const auto version = file_version_of(binding_.settings_path);
            if (!(version == settings_version_)) {
                settings_version_ = version;
                reload("file changed");
            }
            watch_settings();
        });
    }

    void reload(std::string_view reason) {
        std::string problem;
        auto settings = binding_.read_settings(problem);
        log_.write_always("reload", {{"why", reason}, {"problem", problem}});
        if (settings) {
            // Only bounds and regions can change while the process runs; the sockets of the
            // addresses are open.
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
        stop_started_at_ = steady::now();
        core_.answers_until =
            stop_started_at_ + core_.settings.bounds.stop_time - final_answer_margin;
        // Callers that come later use kept connections, and reach another router when refused.
        core_.estimates_until = stop_started_at_ + balancer_removal_time;
        advance_stop();
    }

    // Callers still arrive until the balancer has detected the stop. After that, idle connections
    // are closed at once and busy ones after their answer. Requests are sent as long as they are
    // expected to be answered before the process ends; those that still have no answer then get
    // one.
    void advance_stop() {
        const auto now = steady::now();
        const auto exit_at = stop_started_at_ + core_.settings.bounds.stop_time - exit_margin;
        std::vector<caller_session*> sessions;
        sessions.reserve(sessions_.size());
        for (const auto& [session, owned] : sessions_) {
            sessions.push_back(session);
        }
        if (now >= stop_started_at_ + balancer_removal_time) {
            for (auto* session : sessions) {
                session->close_if_idle();
            }
            exit_if_no_sessions();
        }
        // Those that wait in the router are refused once too little time is left.
        redispatch_waiting();
        if (now >= *core_.answers_until) {
            for (auto* session : sessions) {
                session->end_with_process();
            }
        }
        if (now >= exit_at) {
            context_.stop();
            return;
        }
        auto next = now + stop_step_interval;
        for (const auto phase : {*core_.answers_until, exit_at}) {
            next = phase > now ? std::min(next, phase) : next;
        }
        stop_timer_.expires_at(next);
        stop_timer_.async_wait([this](auto error) {
            if (!error) {
                advance_stop();
            }
        });
    }

    void exit_if_no_sessions() {
        if (core_.stopping && sessions_.empty() &&
            steady::now() - stop_started_at_ >= balancer_removal_time) {
            context_.stop();
        }
    }

    daemon_binding binding_;
    boost::asio::io_context context_{1};
    observe::decision_log log_;
    router_core core_;
    call_client client_;
    call_client grant_client_;  // Few connections, since they count against a target's maximum.
    call_client release_client_;
    fleet_control control_;
    std::unordered_map<caller_session*, std::unique_ptr<caller_session>> sessions_;
    std::unique_ptr<listener> caller_listener_;
    std::unique_ptr<listener> forward_listener_;
    std::unique_ptr<internal_server> ready_server_;
    std::unique_ptr<internal_server> peer_server_;
    std::unique_ptr<internal_server> metrics_server_;
    boost::asio::steady_timer sweep_timer_;
    boost::asio::steady_timer redispatch_timer_;
    boost::asio::steady_timer deadline_timer_;
    boost::asio::steady_timer settings_timer_;
    boost::asio::steady_timer stop_timer_;
    boost::asio::signal_set signals_;
    file_version settings_version_;
    steady::time_point stop_started_at_;
    bool wake_posted_ = false;
    bool redispatch_armed_ = false;
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
    // Returns freed memory to the system early, since hosts are billed by their peak memory.
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
