#include "history/simulation.hpp"

#include <algorithm>

#include "ownership/shard_state_codec.hpp"

namespace mimosavalve::test {

namespace {

const shard_id first_shard{"bagmati", 0};

std::string slot_name(const std::string& service, ownership::slot_number slot) {
    return service + "/" + std::to_string(slot);
}

}  // namespace

void scheduler::at(steady_time when, std::function<void()> action) {
    events_.emplace(std::pair{std::max(when, now_), next_++}, std::move(action));
}

void scheduler::after(steady_time::duration delay, std::function<void()> action) {
    at(now_ + delay, std::move(action));
}

void scheduler::run_until(steady_time end) {
    while (!events_.empty() && events_.begin()->first.first <= end) {
        auto event = events_.extract(events_.begin());
        now_ = event.key().first;
        event.mapped()();
    }
    now_ = end;
}

simulation::simulation(const sim_options& options)
    : options_(options), random_(options.seed), started_(clock_.now()) {
    config_.version = 1;
    config_.regions = {{"bagmati", {"a", "b"}}, {"gandaki", {"c"}}};
    config_.services = {{"status", true, options.slots, true},
                        {"orders", true, options.slots, false}};
    change_config([](config::fleet_config&) {});
    for (std::size_t index = 0; index < options.targets; ++index) {
        sim_target target;
        target.id = "t" + std::to_string(index);
        target.address = "10.1.0." + std::to_string(index) + ":80";
        target.failure_domain = index % 2 == 0 ? "a" : "b";
        target.checks_fence = index < options.fence_checking_targets;
        targets.push_back(std::move(target));
    }
    const auto count = 2 * options.hosts_per_domain + 1;
    hosts.resize(count);
    for (std::size_t index = 0; index < count; ++index) {
        auto& host = hosts[index];
        const bool remote = index + 1 == count;
        host.index = index;
        host.settings.self.host = "h" + std::to_string(index);
        host.settings.address = "10.0.0." + std::to_string(index) + ":7000";
        host.settings.region = remote ? "gandaki" : "bagmati";
        host.settings.failure_domain = remote ? "c" : (index % 2 == 0 ? "a" : "b");
        host.clock_rate = options.fast_host == index ? 1.01 : 1.0;
        clock_.after(milliseconds(7 * index), [this, index] { start_host(index); });
    }
}

void simulation::run_for(steady_time::duration length) {
    clock_.run_until(clock_.now() + length);
}

void simulation::run_after(steady_time::duration delay, std::function<void()> action) {
    clock_.after(delay, std::move(action));
}

steady_time simulation::local_time(const sim_host& host) const {
    const auto passed = std::chrono::duration<double>(clock_.now() - started_) * host.clock_rate;
    // The hosts' clocks share their rate, apart from a fast host's, but not their origin.
    return started_ + std::chrono::seconds(1000 * (host.index + 1)) +
           std::chrono::duration_cast<steady_time::duration>(passed);
}

steady_time simulation::true_time(const sim_host& host, steady_time local) const {
    const auto ahead = std::chrono::duration<double>(local - local_time(host)) / host.clock_rate;
    return clock_.now() + std::chrono::duration_cast<steady_time::duration>(ahead);
}

bool simulation::chance(double probability) {
    return std::uniform_real_distribution<double>(0, 1)(random_) < probability;
}

milliseconds simulation::random_delay() {
    const auto extra = max_extra_delay.count() > 0 ? std::uniform_int_distribution<long>(
                                                         0, max_extra_delay.count())(random_)
                                                   : 0;
    return milliseconds(std::uniform_int_distribution<long>(1, 3)(random_) + extra);
}

bool simulation::connected(const std::string& left, const std::string& right) const {
    return left == right || (!cut_domains.contains(left) && !cut_domains.contains(right));
}

void simulation::deliver(std::size_t index, std::uint64_t instance, std::function<void()> input) {
    auto& host = hosts[index];
    if (!host.alive || host.instance != instance) {
        return;
    }
    if (host.paused) {
        host.held_back.push_back(std::move(input));
    } else {
        input();
    }
}

void simulation::start_host(std::size_t index) {
    auto& host = hosts[index];
    host.alive = true;
    host.paused = false;
    host.held_back.clear();
    ++host.instance;
    host.settings.self.number = 1000 * (index + 1) + host.instance;
    host.settings.seed = options_.seed * 1000 + host.settings.self.number;
    host.snapshot = nullptr;
    host.newest_held.clear();
    host.newest_activated.clear();
    host.newest_config_version = 0;
    control::control_outputs outputs;
    outputs.publish = [this, index](std::shared_ptr<const router::routing_snapshot> snapshot) {
        hosts[index].snapshot = std::move(snapshot);
        check_published(hosts[index]);
    };
    outputs.record = [this](control::event happened) {
        events[happened.kind].push_back(std::move(happened));
    };
    const auto decode = [this](std::string_view bytes) -> std::optional<config::fleet_config> {
        const auto found = configs_.find(std::stoull(std::string(bytes)));
        return found == configs_.end() ? std::nullopt : std::optional(found->second);
    };
    host.plane = std::make_unique<control::control_plane>(host.settings, ports_for(host),
                                                          std::move(outputs), decode);
    tick(index, host.instance);
}

void simulation::kill_host(std::size_t index) {
    auto& host = hosts[index];
    host.alive = false;
    host.held_back.clear();
    host.snapshot = nullptr;
    host.plane.reset();
}

void simulation::pause_host(std::size_t index) {
    hosts[index].paused = true;
}

void simulation::resume_host(std::size_t index) {
    auto& host = hosts[index];
    if (!host.alive || !host.paused) {
        return;
    }
    host.paused = false;
    auto inputs = std::move(host.held_back);
    host.held_back.clear();
    for (auto& input : inputs) {
        input();
    }
}

void simulation::tick(std::size_t index, std::uint64_t instance) {
    deliver(index, instance, [this, index, instance] {
        auto& host = hosts[index];
        if (traffic_enabled) {
            send_requests(host);
        }
        control::traffic_report report;
        for (auto& [id, seen] : host.evidence) {
            report.evidence.push_back(seen);
        }
        host.evidence.clear();
        host.plane->on_traffic_report(report, local_time(host));
        host.plane->on_tick(local_time(host));
        clock_.after(milliseconds(10), [this, index, instance] { tick(index, instance); });
    });
}

control::control_ports simulation::ports_for(sim_host& host) {
    control::control_ports ports;
    const auto index = host.index;
    ports.store = store_for(host);
    ports.targets = targets_for(host);
    ports.now = [this, index] { return local_time(hosts[index]); };
    ports.unix_ms = [this] {
        return static_cast<std::uint64_t>(
            std::chrono::duration_cast<milliseconds>(clock_.now().time_since_epoch()).count());
    };
    ports.peers.send = [this, index](const std::string& address, const wire::Envelope& message) {
        send(index, address, message);
    };
    ports.host_list.read = [this, index, instance = host.instance](steady_time,
                                                                   ports::host_list::handler done) {
        clock_.after(random_delay(), [this, index, instance, done = std::move(done)] {
            deliver(index, instance, [done, list = host_list()] { done({}, list); });
        });
    };
    return ports;
}

void simulation::send(std::size_t from, const std::string& address, const wire::Envelope& message) {
    const auto to = std::find_if(hosts.begin(), hosts.end(), [&](const sim_host& host) {
        return host.settings.address == address;
    });
    ++messages;
    const auto& sender = hosts[from];
    const bool lost = to == hosts.end() || sender.isolated || to->isolated || sender.peers_cut ||
                      to->peers_cut ||
                      !connected(sender.settings.failure_domain, to->settings.failure_domain) ||
                      chance(message_loss);
    if (lost) {
        return;
    }
    const auto distance =
        sender.settings.region == to->settings.region ? milliseconds(0) : milliseconds(20);
    clock_.after(distance + random_delay(), [this, index = to->index, message] {
        deliver(index, hosts[index].instance, [this, index, message] {
            hosts[index].plane->on_message(message, local_time(hosts[index]));
        });
    });
}

std::vector<ports::listed_host> simulation::host_list() const {
    std::vector<ports::listed_host> list;
    for (const auto& host : hosts) {
        ports::listed_host line;
        line.id = host.settings.self.host;
        line.role = "router";
        line.address = host.settings.address;
        line.region = host.settings.region;
        line.failure_domain = host.settings.failure_domain;
        list.push_back(std::move(line));
    }
    for (const auto& target : targets) {
        ports::listed_host line;
        line.id = target.id;
        line.role = "target";
        line.service = target.checks_fence ? "status" : "orders";
        line.address = target.address;
        line.region = "bagmati";
        line.failure_domain = target.failure_domain;
        line.slots = 4;
        line.connections = 130;
        line.leaving = target.leaving;
        list.push_back(std::move(line));
    }
    return list;
}

void simulation::change_config(const std::function<void(config::fleet_config&)>& change) {
    change(config_);
    if (store_.contains("config")) {
        ++config_.version;
    }
    configs_[config_.version] = config_;
    store_["config"] = {std::to_string(config_.version), next_revision_++, 0};
    wake_watches("config");
}

std::optional<ownership::shard_state> simulation::stored_state() const {
    const auto found = store_.find("shards/" + to_string(first_shard));
    if (found == store_.end()) {
        return std::nullopt;
    }
    std::error_code error;
    return ownership::decode_shard_state(found->second.value, error);
}

std::optional<std::size_t> simulation::leader() const {
    const auto state = stored_state();
    for (const auto& host : hosts) {
        if (state && host.settings.self == state->leader) {
            return host.index;
        }
    }
    return std::nullopt;
}

std::vector<std::string> simulation::slot_names() const {
    std::vector<std::string> names;
    for (const auto& service : config_.services) {
        const bool has_targets = std::any_of(
            targets.begin(), targets.end(),
            [&](const sim_target& target) { return target.checks_fence == service.checks_fence; });
        for (ownership::slot_number slot = 0; has_targets && slot < options_.slots; ++slot) {
            names.push_back(slot_name(service.name, slot));
        }
    }
    return names;
}

std::vector<std::string> simulation::unserved_since(steady_time since) const {
    auto names = slot_names();
    std::erase_if(names, [&](const std::string& name) {
        const auto found = last_starts_.find(name);
        return found != last_starts_.end() && found->second.at >= since;
    });
    return names;
}

void simulation::start_measuring() {
    measured_since_ = clock_.now();
    max_pauses_.clear();
}

std::pair<milliseconds, std::string> simulation::max_pause() const {
    std::pair<milliseconds, std::string> max_pause_and_slot{0, ""};
    for (const auto& name : slot_names()) {
        const auto last = last_starts_.find(name);
        auto length =
            clock_.now() - (last == last_starts_.end() ? measured_since_ : last->second.at);
        if (const auto found = max_pauses_.find(name); found != max_pauses_.end()) {
            length = std::max(length, found->second);
        }
        max_pause_and_slot =
            std::max(max_pause_and_slot, {std::chrono::ceil<milliseconds>(length), name});
    }
    return max_pause_and_slot;
}

void simulation::check_published(sim_host& host) {
    if (host.snapshot->config->version < host.newest_config_version) {
        violations.push_back("configuration version went back at " + host.settings.self.host);
    }
    host.newest_config_version = host.snapshot->config->version;
    for (const auto& view : host.snapshot->shards) {
        auto& held = host.newest_held[view.state->shard];
        auto& activated = host.newest_activated[view.state->shard];
        if (view.state->at < held || view.activated < activated) {
            violations.push_back("version went back at " + host.settings.self.host);
        }
        held = view.state->at;
        activated = view.activated;
    }
}

}  // namespace mimosavalve::test
