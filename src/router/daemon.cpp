#include "mimosavalve/router/daemon.hpp"

#include <algorithm>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <csignal>
#include <filesystem>
#include <fstream>
#include <mutex>
#include <random>

#include "mimosavalve/adapters/http_front_end.hpp"
#include "mimosavalve/adapters/http_host_list.hpp"
#include "mimosavalve/adapters/http_store.hpp"
#include "mimosavalve/adapters/http_target_control.hpp"
#include "mimosavalve/adapters/zmq_peers.hpp"
#include "mimosavalve/command/config_bootstrap.hpp"
#include "mimosavalve/config/fleet_config_codec.hpp"
#include "mimosavalve/control/control_plane.hpp"
#include "mimosavalve/core/error.hpp"
#include "mimosavalve/observe/event_log.hpp"
#include "mimosavalve/observe/log.hpp"
#include "router/admin_server.hpp"
#include "router/clock.hpp"
#include "router/event_codec.hpp"
#include "router/evidence_merge.hpp"
#include "router/operator_service.hpp"

namespace mimosavalve::router {

namespace detail {

constexpr std::chrono::milliseconds tick_interval{10};
constexpr std::chrono::milliseconds report_interval{50};

// The successor of a lost leader acts after more than a second at the earliest. A claim doesn't
// wait for it, since that would only occupy the caller's connection. The caller may retry the
// request.
constexpr std::chrono::milliseconds max_claim_wait{300};

// For one attempt to read or record the initial configuration.
constexpr std::chrono::seconds initial_config_timeout{10};

// An upload of 64 MB over the inter-region link takes about 17 s.
constexpr std::chrono::seconds max_stop_duration{60};

std::uint64_t random_number() {
    std::random_device device;
    return (std::uint64_t{device()} << 32U) | device();
}

adapters::claim_result claim_result_of(control::claim_status status) {
    switch (status) {
        case control::claim_status::granted:
            return adapters::claim_result::granted;
        case control::claim_status::duplicate:
            return adapters::claim_result::duplicate;
        case control::claim_status::too_old:
            return adapters::claim_result::too_old;
        case control::claim_status::no_leader:
            break;
    }
    return adapters::claim_result::unavailable;
}

control::timing timing_of(const config::timing_settings& settings) {
    control::timing intervals;
    intervals.heartbeat_interval = settings.heartbeat;
    intervals.lease_window = settings.lease_window;
    intervals.start_window = settings.start_window;
    intervals.store_lease_ttl = settings.store_lease;
    return intervals;
}

std::string_view port_of(std::string_view address) {
    return address.substr(address.rfind(':') + 1);
}

std::optional<config::fleet_config> decode_config(std::string_view bytes) {
    std::error_code error;
    return config::decode_fleet_config(bytes, error);
}

}  // namespace detail

struct daemon::implementation {
    explicit implementation(daemon_options daemon_options);

    std::error_code start();
    void write_port_file() const;
    void start_control();
    void record_initial_config();
    void schedule_tick();
    void tick();
    void continue_planned_stop(steady_time now);
    void claim(const adapters::claim_request& request,
               const adapters::front_end_hooks::claim_handler& handler);
    void add_evidence(const std::vector<adapters::target_evidence>& evidence);
    void report_evidence(steady_time now);
    adapters::front_end_hooks hooks();
    void record(const control::event& event);
    [[nodiscard]] std::vector<command::status_counter> counters() const;
    [[nodiscard]] std::string metrics_text() const;

    daemon_options options;
    boost::asio::io_context context{1};
    adapters::http_store store;
    command::writer_environment config_writer;
    adapters::http_target_control targets;
    adapters::http_host_list hosts;
    adapters::zmq_peers peers;
    std::unique_ptr<control::control_plane> plane;
    std::mutex evidence_mutex;
    evidence_merge evidence;  ///< Guarded by `evidence_mutex`.
    adapters::http_front_end front_end;
    std::unique_ptr<observe::event_log> event_log;
    std::unique_ptr<operator_service> operators;
    std::unique_ptr<admin_server> admin;
    boost::asio::steady_timer tick_timer;
    boost::asio::signal_set signals;
    steady_time next_report;
    std::optional<steady_time> stop_deadline;  ///< Set once the planned stop has begun.
};

namespace detail {

adapters::zmq_peers_options peer_options_of(const config::process_settings& settings) {
    adapters::zmq_peers_options options;
    options.address = settings.peers;
    return options;
}

adapters::front_end_settings front_end_settings_of(const config::process_settings& settings) {
    adapters::front_end_settings options;
    options.listen_address = settings.callers;
    options.threads = settings.traffic_threads;
    options.start_window = settings.timing.start_window;
    return options;
}

}  // namespace detail

daemon::implementation::implementation(daemon_options daemon_options)
    : options(std::move(daemon_options)),
      store(context, {options.settings.store}),
      config_writer(make_writer_environment(context, store.port())),
      targets(context),
      hosts(context, {options.settings.host_list}),
      peers(context, detail::peer_options_of(options.settings),
            [this](const wire::Envelope& message) {
                if (!operators->on_message(message)) {
                    plane->on_message(message, steady_now());
                }
            }),
      front_end(detail::front_end_settings_of(options.settings), hooks()),
      tick_timer(context),
      signals(context, SIGTERM, SIGINT) {}

adapters::front_end_hooks daemon::implementation::hooks() {
    adapters::front_end_hooks hooks;
    hooks.claim = [this](adapters::claim_request request,
                         adapters::front_end_hooks::claim_handler handler) {
        boost::asio::post(context, [this, request = std::move(request),
                                    handler = std::move(handler)] { claim(request, handler); });
    };
    hooks.evidence = [this](const std::vector<adapters::target_evidence>& changed) {
        add_evidence(changed);
    };
    hooks.quarantined = [this](std::uint64_t fingerprint) {
        boost::asio::post(context, [this, fingerprint] {
            plane->add_quarantined({&fingerprint, 1}, steady_now());
        });
    };
    // The control thread reports a drained version at once, which shortens the interruption of a
    // planned move.
    hooks.drained = [this] {
        boost::asio::post(context, [this] { plane->on_tick(steady_now()); });
    };
    return hooks;
}

std::error_code daemon::implementation::start() {
    if (const auto error = peers.listen()) {
        return error;
    }
    start_control();
    if (const auto error = front_end.start()) {
        return error;
    }
    admin = std::make_unique<admin_server>(context, options.settings.admin, *plane, *operators,
                                           [this] { return metrics_text(); });
    if (const auto error = admin->listen()) {
        return error;
    }
    write_port_file();
    schedule_tick();
    signals.async_wait([this](const boost::system::error_code& error, int) {
        if (!error) {
            observe::write_log({config::log_level::info, "daemon", "", "planned stop begins"});
            stop_deadline = steady_now() + detail::max_stop_duration;
            front_end.begin_stop();
        }
    });
    return {};
}

void daemon::implementation::start_control() {
    control::control_settings settings;
    settings.self = {options.settings.host, detail::random_number()};
    // With port 0 only the bound address contains the port that the system has chosen.
    const bool has_advertised_address = options.settings.advertised_peer != options.settings.peers;
    settings.address = has_advertised_address ? options.settings.advertised_peer : peers.address();
    settings.region = options.settings.region;
    settings.failure_domain = options.settings.failure_domain;
    settings.intervals = detail::timing_of(options.settings.timing);
    settings.seed = detail::random_number();
    control::control_ports ports;
    ports.store = store.port();
    ports.host_list = hosts.port();
    ports.targets = targets.port();
    ports.peers = peers.port();
    ports.now = steady_now;
    ports.unix_ms = unix_ms_now;
    control::control_outputs outputs;
    outputs.publish = [this](const std::shared_ptr<const routing_snapshot>& snapshot) {
        front_end.publish(snapshot);
    };
    outputs.drained = [this](const shard_id& shard) { return front_end.drained_version(shard); };
    outputs.record = [this](const control::event& event) { record(event); };
    event_log = std::make_unique<observe::event_log>(settings.self);
    operator_environment operators_environment;
    operators_environment.host = options.settings.host;
    operators_environment.region = options.settings.region;
    operators_environment.failure_domain = options.settings.failure_domain;
    operators_environment.peer_address = settings.address;
    operators_environment.self = settings.self;
    operators_environment.store = store.port();
    operators_environment.peers = peers.port();
    operators_environment.events = event_log.get();
    operators_environment.counters = [this] { return counters(); };
    plane = std::make_unique<control::control_plane>(std::move(settings), std::move(ports),
                                                     std::move(outputs), detail::decode_config);
    operators_environment.plane = plane.get();
    operators = std::make_unique<operator_service>(context, std::move(operators_environment));
    if (options.initial_config) {
        record_initial_config();
    }
}

/// Retries until the store has answered, since a router may start during an outage of the store.
void daemon::implementation::record_initial_config() {
    command::load_or_record_config(
        config_writer, options.initial_config, steady_now() + detail::initial_config_timeout,
        [this](std::error_code error, const command::stored_config&) {
            if (error == errc::store_unavailable) {
                record_initial_config();
            } else if (error) {
                observe::write_log(
                    {config::log_level::error, "daemon", "",
                     "cannot load the stored configuration or record the initial one: " +
                         error.message()});
            }
        });
}

void daemon::implementation::write_port_file() const {
    if (options.port_file.empty()) {
        return;
    }
    const auto partial = options.port_file + ".partial";
    {
        std::ofstream file(partial);
        file << "callers " << front_end.port() << '\n'
             << "peers " << detail::port_of(peers.address()) << '\n'
             << "admin " << detail::port_of(admin->address()) << '\n';
    }
    // The complete file is renamed, so that a process that waits for it never reads a part of it.
    std::filesystem::rename(partial, options.port_file);
}

void daemon::implementation::schedule_tick() {
    tick_timer.expires_after(detail::tick_interval);
    tick_timer.async_wait([this](const boost::system::error_code& error) {
        if (!error) {
            tick();
        }
    });
}

void daemon::implementation::tick() {
    const auto now = steady_now();
    if (now >= next_report) {
        next_report = now + detail::report_interval;
        report_evidence(now);
    }
    plane->on_tick(now);
    operators->on_tick(now);
    if (stop_deadline) {
        continue_planned_stop(now);
    }
    if (!context.stopped()) {
        schedule_tick();
    }
}

void daemon::implementation::continue_planned_stop(steady_time now) {
    const bool is_overdue = now >= *stop_deadline;
    // The router keeps its serving leases until all connections of callers have ended.
    if (front_end.open_connections() > 0 && !is_overdue) {
        return;
    }
    plane->start_shutdown(now);
    if (plane->can_exit(now) || is_overdue) {
        observe::write_log(
            {config::log_level::info, "daemon", "",
             is_overdue ? "planned stop ends at its time limit" : "planned stop ends"});
        context.stop();
    }
}

void daemon::implementation::add_evidence(const std::vector<adapters::target_evidence>& changed) {
    const std::lock_guard lock(evidence_mutex);
    merge_evidence(evidence, changed);
}

void daemon::implementation::report_evidence(steady_time now) {
    control::traffic_report report;
    {
        const std::lock_guard lock(evidence_mutex);
        report = extract_report(evidence);
    }
    if (!report.evidence.empty()) {
        plane->on_traffic_report(report, now);
    }
}

void daemon::implementation::claim(const adapters::claim_request& request,
                                   const adapters::front_end_hooks::claim_handler& handler) {
    const auto deadline = std::min(request.deadline, steady_now() + detail::max_claim_wait);
    plane->claim(
        request.shard, request.key, request.first_attempt_unix_ms, deadline,
        [handler](control::claim_status status) { handler(detail::claim_result_of(status)); });
}

void daemon::implementation::record(const control::event& event) {
    observe::log_line line;
    const auto message = event.kind + " " + event.subject +
                         " shard=" + (event.shard ? to_string(*event.shard) : "-") +
                         " version=" + to_string(event.state_version) + " cause: " + event.cause;
    line.component = "control";
    line.message = message;
    observe::write_log(line);
    for (auto& entry : to_records(event, unix_ms_now())) {
        event_log->append(std::move(entry));
    }
}

std::vector<command::status_counter> daemon::implementation::counters() const {
    const auto& transport = peers.counts();
    return {{"peer_messages_sent", transport.sent},
            {"peer_messages_received", transport.received},
            {"peer_messages_dropped", transport.dropped},
            {"peer_messages_malformed", transport.malformed + transport.oversized},
            {"caller_connections", front_end.open_connections()},
            {"event_records_dropped", event_log->dropped()}};
}

std::string daemon::implementation::metrics_text() const {
    std::string text;
    for (const auto& counter : counters()) {
        text += "mimosavalve_" + counter.name + " " + std::to_string(counter.value) + "\n";
    }
    return text + front_end.exposition();
}

daemon::daemon(daemon_options options)
    : implementation_(std::make_unique<implementation>(std::move(options))) {}

daemon::~daemon() = default;

std::error_code daemon::start() {
    return implementation_->start();
}

void daemon::run() {
    implementation_->context.run();
    implementation_->front_end.stop(steady_now());
}

}  // namespace mimosavalve::router
