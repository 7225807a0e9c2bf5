#include "fleet_control.hpp"

#include <algorithm>
#include <chrono>
#include <random>

#include "control_timing.hpp"
#include "peer_paths.hpp"
#include "store_listing.hpp"

namespace mimosavalve::gateway {

namespace detail {

constexpr milliseconds control_tick{50};
// Interval at which a router that gets no replies from its leader reads the recorded owners.
constexpr milliseconds records_interval{1500};
// A router whose registry is older than this fraction of the leave time reads it itself, so that
// one read may fail before a target that is leaving must get no more requests.
constexpr int reads_within_leave_time = 3;
// A router that has known for this time that the leader has a newer configuration reads it from the
// store; a configuration must be in force 2.5 s after its acknowledgement.
constexpr milliseconds max_config_lag{1500};
// Silence of the leader after which a router reads the operators' items; a change of the leader
// takes less.
constexpr milliseconds max_leader_silence{2000};
// A configuration that all routers can read in this time is read without waiting for a new leader.
constexpr std::chrono::duration<double, std::milli> max_small_config_read{500};
// Number of routers that read the operators' items besides the leader: a sixteenth of them, which
// the link between the regions can carry.
constexpr std::uint32_t min_other_readers = 2;
constexpr std::uint32_t routers_per_reader = 16;
// Time over which the reads of all routers are spread at most, since a configuration must be in
// force in time.
constexpr std::chrono::duration<double, std::milli> max_read_spread{1000};
// Size of a route in an answer of the store, and the assumed rate of the link between regions.
constexpr double stored_route_bytes = 280;
constexpr double link_bytes_per_ms =
    3750;  // 30 Mbit/s, see the users' workloads in docs/design.md.

// Time in which all routers can read the whole configuration over a link between two regions.
std::chrono::duration<double, std::milli> config_read_time(const routing_state& state) {
    const auto bytes = stored_route_bytes * static_cast<double>(state.config.routes.size());
    return std::chrono::duration<double, std::milli>(bytes * state.router_count /
                                                     link_bytes_per_ms);
}

double random_turn() {
    std::random_device device;
    return static_cast<double>(device()) / static_cast<double>(std::random_device::max());
}
// Targets close connections of a host that has lost power after this idle time: 10 s for both
// users' services.
constexpr milliseconds former_connection_timeout{10000};

std::uint64_t random_instance() {
    std::random_device device;
    return (std::uint64_t{device()} << 20U) ^ device();
}

}  // namespace detail

fleet_control::fleet_control(router_core& core, call_client& calls)
    : core_(core),
      calls_(calls),
      decider_(core, [this] { state_changed(); }),
      server_(core, fleet_,
              {[this](const auto& loads) { decider_.add_loads(loads); },
               [this](sync_reply& reply) {
                   reply.operators_revision = operators_.revision();
                   reply.evacuated_domains = operators_.evacuated();
               },
               [this](std::uint64_t version) { return operators_.config_since(version); },
               [this] { return lease_.wants_long_holds(); },
               [this](const std::string& address) { fetch_config(address); },
               [this](const std::string& host, const sync_request& reports) {
                   decider_.add_contradictions(host, reports);
               }}),
      client_(core, fleet_, calls, {[this](const sync_reply& reply) { apply_reply(reply); }}),
      registry_(core, fleet_,
                [this] {
                    server_.on_registry_change();
                    state_changed();
                }),
      operators_(core, fleet_,
                 {[this] { state_changed(); },
                  [this] { registry_.set_evacuated(operators_.evacuated()); }}),
      election_(core, fleet_,
                {[this] { client_.make_due(); }, [this] { begin_term(); },
                 [this] { continue_term(); }, [this] { end_term(); },
                 [this](std::error_code error) {
                     decider_.set_store_unavailable(static_cast<bool>(error));
                 },
                 [this] { return lease_.valid_until(); }}),
      lease_(
          core, fleet_, calls, [this](boot_time now) { return server_.evidence(now); },
          [this](boot_time now) { return server_.recent_followers(now); }),
      read_turn_(detail::random_turn()) {
    fleet_.instance = detail::random_instance();
    core_.state.router_count = assumed_router_count;
    core_.state.router_rank = assumed_router_count - 1;
}

void fleet_control::start() {
    core_.state.former_connections_until = core_.now() + detail::former_connection_timeout;
    operators_.start();
    election_.start();
    run_every(core_.context, detail::control_tick, life_, [this] { tick(); });
}

void fleet_control::stop() {
    fleet_.stopping = true;
    if (fleet_.leading) {
        election_.resign("stopping");
    }
}

void fleet_control::watch_loop() {
    const auto max_lag =
        record_check(core_.loop, std::chrono::steady_clock::now(), detail::control_tick);
    record_latency(core_.metrics, "loop_lag", core_.loop.lag);
    const auto now = core_.now();
    record_lag(fleet_.placement.lag, core_.loop.lag, now);
    if (record_check(readiness_, fleet_.placement, core_.loop.lag, now)) {
        core_.log.write_always("unready_by_lag",
                               {{"lag_ms", recent_lag(fleet_.placement.lag).count()}});
        count(core_.metrics, "unready_by_lag");
    }
    if (max_lag) {
        core_.log.write_always("loop_late",
                               {{"lag_ms", max_lag->count()},
                                {"waiting", static_cast<std::int64_t>(core_.waiting.size())},
                                {"leading", std::int64_t{fleet_.leading}}});
    }
}

void fleet_control::tick() {
    watch_loop();
    const auto now = core_.now();
    election_.tick(now);
    if (fleet_.leader.epoch != known_epoch_) {
        known_epoch_ = fleet_.leader.epoch;
        leader_known_at_ = now;
    }
    if (fleet_.leading) {
        lead(now);
    } else {
        client_.tick(now);
    }
    if (must_read_registry(now)) {
        registry_.read_when_due(now);
    }
    operators_.set_reading(must_read_operators(now));
    if (!fleet_.leading && !client_.is_up_to_date(now) && !fleet_.stopping) {
        read_key_records(now);
    }
}

bool fleet_control::must_read_registry(boot_time now) const {
    const auto age = now - core_.state.registry_known_at;
    return fleet_.leading ||
           age >= core_.settings.bounds.leave_time / detail::reads_within_leave_time;
}

bool fleet_control::must_read_operators(boot_time now) const {
    // The leader may be slow, so some others read as well, and the leader gets changes from them.
    const auto readers =
        std::max(detail::min_other_readers, core_.state.router_count / detail::routers_per_reader);
    if (fleet_.leading || core_.state.config.version == 0 || core_.state.router_rank <= readers) {
        return true;
    }
    // All routers that read a large configuration at once would fill the link between the regions,
    // so that the leader's replies are late as well.
    const auto read_time = detail::config_read_time(core_.state);
    const auto delay = std::chrono::duration_cast<milliseconds>(
        std::min(read_time, detail::max_read_spread) * read_turn_);
    // A new leader, or one that the store has been keeping from its work, needs time to be heard.
    const auto silent_since =
        read_time <= detail::max_small_config_read
            ? client_.heard_at()
            : std::max({client_.heard_at(), leader_known_at_, fleet_.store_lost_at});
    return now - silent_since >= detail::max_leader_silence + delay ||
           (config_behind_since_ && now - *config_behind_since_ >= detail::max_config_lag + delay);
}

void fleet_control::record_announced_config(const sync_reply& reply, boot_time now) {
    if (reply.config_version <= core_.state.config.version) {
        config_behind_since_.reset();
    } else if (!config_behind_since_) {
        config_behind_since_ = now;
    }
}

void fleet_control::fetch_config(const std::string& address) {
    const auto source = parse_endpoint(address);
    if (!source || is_fetching_config_) {
        return;
    }
    is_fetching_config_ = true;
    calls_.send(*source,
                {"POST",
                 peer_paths::config,
                 peer_paths::body_type,
                 encode_config_request(core_.state.config.version),
                 {},
                 {}},
                detail::deadline_in(detail::sync_call_time),
                life_.guard([this, address](std::error_code error, const call_answer& answer) {
                    is_fetching_config_ = false;
                    constexpr unsigned ok = 200;
                    const auto update = !error && answer.head.status == ok
                                            ? decode_config_update(answer.body)
                                            : std::nullopt;
                    if (update) {
                        operators_.apply_update(*update, address);
                    } else {
                        if (!error && answer.head.status == ok) {
                            record_unreadable_message(core_, "config", answer.body);
                        }
                        core_.log.write_always("config_not_received",
                                               {{"from", address}, {"error", error.message()}});
                    }
                }));
}

void fleet_control::serve_config(const std::string& body, const internal_server::respond& respond) {
    constexpr unsigned ok = 200;
    constexpr unsigned bad_request = 400;
    constexpr unsigned unavailable = 503;
    const auto version = decode_config_request(body);
    if (!version) {
        record_unreadable_message(core_, "config call", body);
        respond({bad_request, "text/plain", "", {}});
    } else if (*version >= core_.state.config.version) {
        respond({unavailable, "text/plain", "", {}});
    } else {
        auto changes = encode(operators_.config_since(*version));
        count(core_.metrics, "config_bytes_sent", changes.size());
        respond({ok, peer_paths::body_type, std::move(changes), {}});
    }
}

void fleet_control::lead(boot_time now) {
    lease_.tick(now, election_.lease_until());
    if (lease_.inherited_end()) {
        // Again on each tick: what this leader sees of the network changes.
        decider_.set_inherited_end(*lease_.inherited_end() + decider_.longest_transit(now));
    }
    decider_.set_long_holds(lease_.may_grant_long_holds(), lease_.own_long_holds_end());
    decider_.extend(lease_.valid_until());
    // Renewals of grants go first: targets refuse requests for keys whose hold has ended.
    decider_.tick();
    server_.tick(now);
    transfer_leadership(now);
}

void fleet_control::on_failed_handler() {
    if (fleet_.leading && !election_.is_resigning()) {
        election_.resign("a handler has failed");
    }
}

void fleet_control::transfer_leadership(boot_time now) {
    if (election_.is_resigning()) {
        return;
    }
    auto& placement = fleet_.placement;
    const auto successor = placement.transfer.successor;
    if (!successor.empty()) {
        if (!fleet_.store_responsive || fleet_.stopping) {
            core_.log.write_always("transfer_ended", {{"to", successor}});
            record_successor(placement, "", fleet_.leader.epoch, now);
        } else if (server_.has_called_since(successor, successor_named_at_) ||
                   now - successor_named_at_ >= max_successor_wait) {
            election_.resign("transferred");
        }
        return;
    }
    const auto planned = plan_transfer(
        placement,
        {core_.settings.capacity, server_.term_began(), fleet_.store_responsive, fleet_.stopping},
        server_.successors(now), now);
    if (!planned) {
        return;
    }
    const bool by_capacity = planned->reason == transfer_reason::capacity;
    core_.log.write_always("transfer", {{"to", planned->successor},
                                        {"why", by_capacity ? "capacity" : "lag"},
                                        {"lag_ms", recent_lag(placement.lag).count()}});
    count(core_.metrics, "leader_transfers");
    record_successor(placement, planned->successor, fleet_.leader.epoch, now);
    successor_named_at_ = now;
    server_.on_state_change();
}

void fleet_control::begin_term() {
    record_successor(fleet_.placement, "", fleet_.leader.epoch, core_.now());
    lease_.begin();
    server_.begin();
    decider_.begin(
        {fleet_.leader.epoch, election_.key(), election_.lease_until(), fleet_.store_came_back});
    registry_.make_due();
}

void fleet_control::continue_term() {
    server_.continue_term();
    lease_.continue_term();
    decider_.continue_term(
        {fleet_.leader.epoch, election_.key(), election_.lease_until(), fleet_.store_came_back});
    registry_.make_due();
}

void fleet_control::end_term() {
    decider_.end();
    server_.end();
    client_.make_due();
}

void fleet_control::serve_sync(const std::string& body, internal_server::respond respond) {
    server_.serve(body, std::move(respond));
}

void fleet_control::serve_announcement(const std::string& body,
                                       const internal_server::respond& respond) {
    constexpr unsigned ok = 200;
    constexpr unsigned bad_request = 400;
    const auto announcement = decode_leader_identity(body);
    if (announcement) {
        election_.on_announcement(*announcement);
    } else {
        record_unreadable_message(core_, "announcement", body);
    }
    respond({announcement ? ok : bad_request, "text/plain", "", {}});
}

bool fleet_control::is_ready() const {
    if (core_.state.config.version == 0 || core_.state.targets.empty() ||
        !gateway::is_ready(readiness_, core_.now())) {
        return false;
    }
    return std::all_of(core_.state.config.services.begin(), core_.state.config.services.end(),
                       [&](const auto& named) {
                           if (!named.second.keyed) {
                               return true;
                           }
                           const auto map = core_.state.keys.find(named.first);
                           return map != core_.state.keys.end() &&
                                  map->second.segments.front().fence > 0;
                       });
}

void fleet_control::apply_reply(const sync_reply& reply) {
    const auto now = core_.now();
    core_.state.router_count = reply.routers;
    core_.state.router_rank = reply.rank;
    fleet_.placement.top_capacity = reply.top_capacity;
    record_successor(fleet_.placement, reply.successor, reply.epoch, now);
    operators_.apply_from_leader(reply);
    record_announced_config(reply, now);
    if (!reply.config_source.empty()) {
        fetch_config(reply.config_source);
    }
    if (reply.registry) {
        registry_.apply_from_leader(*reply.registry);
    }
    registry_.set_evacuated(operators_.evacuated());
    if (reply.concurrency_quotas) {
        core_.state.concurrency_quotas.clear();
        core_.state.concurrency_quotas.insert(reply.concurrency_quotas->begin(),
                                              reply.concurrency_quotas->end());
    }
    if (reply.rate_quotas) {
        apply_rate_quotas(core_.state, *reply.rate_quotas);
    }
    if (reply.dispatchers || reply.epoch != dispatchers_epoch_) {
        // A leader of an earlier version of the program names none.
        apply_dispatchers(core_.state.dispatchers, reply.dispatchers.value_or(dispatcher_names()));
        dispatchers_epoch_ = reply.epoch;
    }
    core_.state.dispatchers.valid_until = now + dispatch_validity;
    if (reply.overflow) {
        apply_overflow(core_.state.overflow, *reply.overflow);
    }
    core_.state.overflow.valid_until = now + overflow_validity;
    for (const auto& [id, work_ms] : reply.work_ms) {
        const auto found = core_.state.targets.find(id);
        if (found != core_.state.targets.end()) {
            set_work_ms(core_.state, *found->second, work_ms);
        }
    }
    if (reply.crashes) {
        core_.announced_crashes = *reply.crashes;
    }
    for (const auto& [service, update] : reply.maps) {
        auto& updated_at = core_.state.keys_received_at[service];
        apply(core_.state.keys[service], update,
              std::chrono::duration_cast<milliseconds>(now - updated_at));
        updated_at = now;
    }
    if (!reply.maps.empty()) {
        core_.wake_waiting();
    }
}

void fleet_control::read_key_records(boot_time now) {
    if (now < next_records_) {
        return;
    }
    next_records_ = now + detail::records_interval;
    const auto prefix = core_.platform.keys.fleet + "keys/";
    list_all(core_.platform.store, prefix, detail::store_call_time,
             life_.guard([this, prefix](std::error_code error, const store_items& items) {
                 record_store_call(core_, fleet_, !error, "list keys");
                 if (error || fleet_.leading) {
                     return;
                 }
                 record_skipped_items(core_, "list keys", items);
                 bool changed = false;
                 for (const auto& item : items.items) {
                     auto map = decode_key_map(item.value);
                     if (!map) {
                         core_.log.write_always("record_unreadable", {{"key", item.key}});
                         continue;
                     }
                     auto& known = core_.state.keys[item.key.substr(prefix.size())];
                     // A store that came back from a copy has owners from before the last moves.
                     if (highest_fence(*map) >= highest_fence(known)) {
                         known = std::move(*map);
                         changed = true;
                     }
                 }
                 if (changed) {
                     client_.discard_maps();
                     state_changed();
                 }
             }));
}

void fleet_control::state_changed() {
    if (fleet_.leading) {
        server_.on_state_change();
    }
    core_.wake_waiting();
}

}  // namespace mimosavalve::gateway
