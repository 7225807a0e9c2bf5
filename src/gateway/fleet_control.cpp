#include "fleet_control.hpp"

#include <algorithm>
#include <cmath>
#include <random>

#include "mimosavalve/core/error.hpp"
#include "store_listing.hpp"

namespace mimosavalve::gateway {

namespace detail {

// The leader's right ends this long after its last renewal arrived; holds of keys outlast it.
constexpr milliseconds lease_time{1200};
constexpr milliseconds lease_keep_time{350};
// The leader stops this much before the store may have ended its lease.
constexpr milliseconds lease_margin{150};
// Candidates wait a random part of this, so that mostly one of them writes.
constexpr milliseconds election_spread{120};
// Pause after a failed candidacy: the watch tells meanwhile who leads.
constexpr milliseconds election_pause{600};
constexpr milliseconds store_call_time{800};
// A watch is one call however long it waits; keep-alive probes find a silent connection sooner.
constexpr milliseconds watch_time{20000};
constexpr milliseconds watch_slack{2000};
// After failed calls, the pause grows up to a bit over a second: every refused call is charged and
// loads a store that is in trouble.
constexpr milliseconds first_pause{200};
constexpr milliseconds longest_pause{1200};
// A leaving target has to be known everywhere within 2.5 s (leave time of the platform).
constexpr milliseconds registry_time{300};
constexpr milliseconds own_registry_time{800};
// The leader also lists the operators' items: a watch may miss changes while the store drops its
// history, and a configuration has to be in force within 2.5 s.
constexpr milliseconds operators_check_time{900};
// Silence of the leader after which a router reads the store itself.
constexpr milliseconds leader_silence{900};
constexpr milliseconds records_time{1500};
// The leader keeps a router's call this long when there is nothing new.
constexpr milliseconds reply_wait{200};
constexpr milliseconds sync_call_time{900};
constexpr milliseconds sync_retry{150};
// A router that was not heard of for this long no longer shares limits. Longer than a cut after
// which a router may go on sending without our knowledge.
constexpr milliseconds follower_life{10000};
constexpr milliseconds control_tick{50};
// Places are divided again, and work times passed on, this often.
constexpr milliseconds lending_time{200};
constexpr milliseconds work_time{1000};
// Weight of one answer in a target's mean work time.
constexpr double work_weight = 0.1;
// A router that was heard of within this time counts as running.
constexpr milliseconds members_time{1500};
constexpr const char* sync_path = "/sync";
constexpr const char* notice_path = "/leader";
// Pause between notices of a new leader to the routers that do not follow it yet, and the time that
// one may take: a router that is cut off does not answer.
constexpr milliseconds notice_pause{500};
constexpr const char* cbor_type = "application/cbor";

call_deadline call_in(milliseconds time) {
    return std::chrono::steady_clock::now() + time;
}

milliseconds next_pause(milliseconds pause) {
    return std::min(std::max(pause * 2, first_pause), longest_pause);
}

std::uint64_t random_number() {
    std::random_device device;
    return (std::uint64_t{device()} << 20U) ^ device();
}

}  // namespace detail

fleet_control::fleet_control(router_core& core, call_client& calls)
    : core_(core),
      calls_(calls),
      decider_(core, [this] { state_changed(); }),
      run_(detail::random_number()) {
    // Until the leader tells the number of routers, as many as a fleet of today's size has.
    constexpr std::uint32_t assumed_routers = 16;
    core_.state.routers = assumed_routers;
    core_.state.rank = assumed_routers - 1;
}

fleet_control::~fleet_control() = default;

void fleet_control::every(milliseconds period, std::function<void()> step) {
    auto& timer =
        *timers_.emplace_back(std::make_unique<boost::asio::steady_timer>(core_.context, period));
    auto repeat = std::make_shared<std::function<void()>>();
    *repeat = [this, &timer, period, step = std::move(step),
               again = std::weak_ptr<std::function<void()>>(repeat)] {
        timer.async_wait(
            [this, &timer, period, step, again, alive = std::weak_ptr<bool>(alive_)](auto error) {
                if (error || alive.expired()) {
                    return;
                }
                timer.expires_after(period);
                step();
                if (const auto next = again.lock()) {
                    (*next)();
                }
            });
    };
    (*repeat)();
    repeats_.push_back(std::move(repeat));
}

void fleet_control::start() {
    list_operators();
    list_leader();
    every(detail::control_tick, [this] {
        const auto now = boot_clock::now();
        if (leading_) {
            keep_lease();
            if (!members_loaded_ && !members_running_) {
                load_members();
            }
            check_take_over(now);
            notify_members(now);
            record_members(now);
            renew_right(now);
            if (now >= next_check_) {
                check_operators();
            }
            if (now >= next_lending_) {
                auto own = make_request();
                take_reports(core_.settings.host, own, now);
                lend(now);
            }
            decider_.tick();
            for (auto& waiting : waiting_replies_) {
                if (now >= waiting.due) {
                    reply_to(waiting);
                }
            }
            std::erase_if(waiting_replies_, [](const auto& waiting) { return !waiting.respond; });
        } else if (!sync_running_ && now >= next_sync_) {
            sync();
        }
        if (leader_epoch_ == 0 && leader_revision_ != 0) {
            stand_for_election();
        }
        const bool followed = !leading_ && now - synced_ < detail::leader_silence;
        if (!followed && now >= next_registry_ && !stopping_) {
            read_registry();
        }
        if (!leading_ && !followed && now >= next_records_ && !stopping_) {
            read_key_records();
        }
    });
}

void fleet_control::stop() {
    stopping_ = true;
    if (leading_) {
        hand_over();
    }
}

// Ends the lease, so that a successor can be elected at once. While the store is lost there can be
// none: the leader goes on to the end of its process, by the confirmations of the other routers.
void fleet_control::hand_over() {
    core_.platform.store.end_lease(
        lease_, detail::call_in(detail::store_call_time),
        [this](std::error_code error, std::uint64_t) {
            if (!leading_) {
                return;
            }
            if (!error || error == errc::store_lease_expired) {
                step_down("stopping");
                return;
            }
            note_store(false, "end lease");
            // The lease may have ended all the same.
            lease_until_ = std::min(lease_until_, boot_clock::now());
            auto timer =
                std::make_shared<boost::asio::steady_timer>(core_.context, detail::first_pause);
            timer->async_wait([this, timer, alive = std::weak_ptr<bool>(alive_)](auto failed) {
                if (!failed && !alive.expired() && leading_) {
                    hand_over();
                }
            });
        });
}

bool fleet_control::is_ready() const {
    if (core_.state.config.version == 0 || core_.state.targets.empty()) {
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

// --- The operators' items ---

void fleet_control::list_operators() {
    operators_running_ = true;
    list_all(core_.platform.store, core_.platform.keys.operators,
             detail::call_in(detail::store_call_time),
             [this](std::error_code error, const store_items& items) {
                 operators_running_ = false;
                 note_store(!error, "list operators");
                 if (error) {
                     retry_operators();
                     return;
                 }
                 operators_pause_ = {};
                 take_operators(items);
                 watch_operators();
             });
}

void fleet_control::watch_operators() {
    core_.platform.store.watch(
        core_.platform.keys.operators, operators_revision_, detail::watch_time,
        detail::call_in(detail::watch_time + detail::watch_slack),
        [this](std::error_code error, const store_items& items) {
            if (error) {
                note_store(error == errc::history_lost, "watch operators");
                retry_operators();
                return;
            }
            note_store(true, "watch operators");
            operators_revision_ = std::max(items.revision, operators_revision_);
            for (const auto& item : items.items) {
                take_operator_item(item);
            }
            apply_evacuations();
            watch_operators();
        });
}

void fleet_control::check_operators() {
    next_check_ = boot_clock::now() + detail::operators_check_time;
    list_all(core_.platform.store, core_.platform.keys.operators,
             detail::call_in(detail::store_call_time),
             [this](std::error_code error, const store_items& items) {
                 note_store(!error, "check operators");
                 if (!error && items.revision >= operators_revision_) {
                     take_operators(items);
                 }
             });
}

void fleet_control::take_operators(const store_items& items) {
    operators_revision_ = items.revision;
    const auto& prefix = core_.platform.keys.evacuations;
    std::set<std::string> listed;
    for (const auto& item : items.items) {
        take_operator_item(item);
        if (item.key.starts_with(prefix)) {
            listed.insert(item.key.substr(prefix.size()));
        }
    }
    for (const auto& domain : std::set<std::string>(evacuated_)) {
        if (!listed.contains(domain)) {
            take_operator_item({prefix + domain, "", 0, items.revision, 0});
        }
    }
    apply_evacuations();
}

void fleet_control::retry_operators() {
    operators_pause_ = detail::next_pause(operators_pause_);
    auto timer = std::make_shared<boost::asio::steady_timer>(core_.context, operators_pause_);
    timer->async_wait([this, timer, alive = std::weak_ptr<bool>(alive_)](auto error) {
        if (!error && !alive.expired() && !operators_running_) {
            list_operators();
        }
    });
}

void fleet_control::take_operator_item(const store_item& item) {
    const auto& keys = core_.platform.keys;
    if (item.key == keys.config && item.revision != 0) {
        take_config(item.value, item.revision);
    } else if (item.key.starts_with(keys.evacuations)) {
        const auto domain = item.key.substr(keys.evacuations.size());
        const bool on = item.revision != 0;
        if (on != evacuated_.contains(domain)) {
            core_.log.write_always("evacuation",
                                   {{"failure_domain", domain}, {"on", std::int64_t{on}}});
        }
        if (on) {
            evacuated_.insert(domain);
        } else {
            evacuated_.erase(domain);
        }
    }
}

void fleet_control::apply_evacuations() {
    if (core_.state.registry.evacuated_domains != evacuated_) {
        auto next = core_.state.registry;
        next.evacuated_domains = evacuated_;
        take_registry(next);
    }
}

void fleet_control::take_config(const std::string& text, std::uint64_t revision) {
    std::string problem;
    auto config = core_.platform.decode_config(text, problem);
    if (config && config->version == core_.state.config.version) {
        return;
    }
    if (config) {
        problem = problem_of(*config, core_.state.config.version);
    }
    if (!problem.empty()) {
        core_.log.write_always(
            "config_rejected",
            {{"problem", problem},
             {"revision", static_cast<std::int64_t>(revision)},
             {"in_force", static_cast<std::int64_t>(core_.state.config.version)}});
        count(core_.metrics, "configs_rejected");
        return;
    }
    core_.state.config = std::move(*config);
    core_.state.routes = route_index(core_.state.config);
    config_text_ = text;
    core_.log.write_always(
        "config_in_force",
        {{"version", static_cast<std::int64_t>(core_.state.config.version)},
         {"revision", static_cast<std::int64_t>(revision)},
         {"routes", static_cast<std::int64_t>(core_.state.config.routes.size())}});
    count(core_.metrics, "configs_applied");
    state_changed();
}

// --- The leader ---

void fleet_control::list_leader() {
    list_all(core_.platform.store, core_.platform.keys.own + "leader",
             detail::call_in(detail::store_call_time),
             [this](std::error_code error, const store_items& items) {
                 note_store(!error, "list leader");
                 if (error) {
                     retry_leader();
                     return;
                 }
                 leader_pause_ = {};
                 leader_revision_ = items.revision;
                 if (items.items.empty()) {
                     take_leader_item({});
                 } else {
                     take_leader_item(items.items.front());
                 }
                 watch_leader();
             });
}

void fleet_control::watch_leader() {
    core_.platform.store.watch(core_.platform.keys.own + "leader", leader_revision_,
                               detail::watch_time,
                               detail::call_in(detail::watch_time + detail::watch_slack),
                               [this](std::error_code error, const store_items& items) {
                                   if (error) {
                                       note_store(error == errc::history_lost, "watch leader");
                                       retry_leader();
                                       return;
                                   }
                                   note_store(true, "watch leader");
                                   leader_revision_ = std::max(items.revision, leader_revision_);
                                   if (!items.items.empty()) {
                                       take_leader_item(items.items.back());
                                   }
                                   watch_leader();
                               });
}

void fleet_control::retry_leader() {
    leader_pause_ = detail::next_pause(leader_pause_);
    auto timer = std::make_shared<boost::asio::steady_timer>(core_.context, leader_pause_);
    timer->async_wait([this, timer, alive = std::weak_ptr<bool>(alive_)](auto error) {
        if (!error && !alive.expired()) {
            list_leader();
        }
    });
}

void fleet_control::take_leader_item(const store_item& item) {
    if (item.revision == 0) {
        if (leader_epoch_ != 0) {
            core_.log.write_always("leader_gone", {{"host", leader_host_}});
        }
        leader_epoch_ = 0;
        if (leading_) {
            step_down("lease ended");
        }
        stand_for_election();
        return;
    }
    auto leader = decode_leader_identity(item.value);
    if (!leader) {
        core_.log.write_always("record_unreadable", {{"key", item.key}});
        leader.emplace();  // Nobody can be followed, and nobody may stand while the item lasts.
    }
    leader->epoch = item.created;
    take_leader(*leader);
}

void fleet_control::take_leader(const leader_identity& leader) {
    if (leader.epoch < newest_epoch_) {
        return;
    }
    newest_epoch_ = leader.epoch;
    leader_host_ = leader.host;
    leader_address_ = leader.address;
    if (leader.epoch != leader_epoch_) {
        core_.log.write_always(
            "leader_known",
            {{"host", leader_host_}, {"epoch", static_cast<std::int64_t>(leader.epoch)}});
    }
    leader_epoch_ = leader.epoch;
    if (leading_ && leader.run != run_) {
        step_down("another leader is on record");
    }
    next_sync_ = {};
}

leader_identity fleet_control::own_identity() const {
    return {core_.settings.host, core_.settings.peer_address, run_, leading_ ? leader_epoch_ : 0};
}

void fleet_control::stand_for_election() {
    if (standing_ || stopping_ || leading_ || boot_clock::now() < next_election_) {
        return;
    }
    standing_ = true;
    next_election_ = boot_clock::now() + detail::election_pause;
    const auto pause = milliseconds(static_cast<std::int64_t>(detail::random_number()) %
                                    detail::election_spread.count());
    auto timer = std::make_shared<boost::asio::steady_timer>(core_.context, pause);
    timer->async_wait([this, timer, alive = std::weak_ptr<bool>(alive_)](auto error) {
        if (error || alive.expired()) {
            return;
        }
        if (leader_epoch_ != 0 || stopping_) {
            standing_ = false;
            return;
        }
        try_to_lead();
    });
}

void fleet_control::try_to_lead() {
    const auto sent = boot_clock::now();
    const auto ttl = std::max(detail::lease_time, core_.settings.shortest_lease);
    core_.platform.store.open_lease(ttl, detail::call_in(detail::store_call_time),
                                    [this, sent, ttl](std::error_code error, std::uint64_t lease) {
                                        if (error || lease == 0) {
                                            standing_ = false;
                                            note_store(false, "open lease");
                                            return;
                                        }
                                        lease_ = lease;
                                        store_batch batch;
                                        const auto key = core_.platform.keys.own + "leader";
                                        batch.conditions = {{key, 0}};
                                        batch.writes = {{key, encode(own_identity()), lease}};
                                        core_.platform.store.write(
                                            batch, detail::call_in(detail::store_call_time),
                                            [this, until = sent + ttl - detail::lease_margin](
                                                std::error_code failed, std::uint64_t revision) {
                                                standing_ = false;
                                                if (!failed) {
                                                    lead(revision, until);
                                                }
                                                // Without an answer the watch tells who leads; the
                                                // lease lapses.
                                            });
                                    });
}

void fleet_control::lead(std::uint64_t epoch, boot_time valid_until) {
    leading_ = true;
    leader_epoch_ = epoch;
    newest_epoch_ = std::max(newest_epoch_, epoch);
    leader_host_ = core_.settings.host;
    lease_until_ = valid_until;
    next_keep_ = boot_clock::now() + detail::lease_keep_time;
    followers_.clear();
    members_loaded_ = false;
    members_running_ = false;
    members_in_doubt_ = false;
    taken_over_ = false;
    may_act_ = true;
    ++registry_number_;
    core_.log.write_always("leader_began", {{"epoch", static_cast<std::int64_t>(epoch)}});
    count(core_.metrics, "terms_as_leader");
    decider_.begin({epoch, core_.platform.keys.own + "leader", valid_until});
    next_registry_ = {};
}

void fleet_control::step_down(std::string_view why) {
    leading_ = false;
    decider_.end();
    core_.log.write_always("leader_ended", {{"why", why}});
    for (auto& waiting : waiting_replies_) {
        waiting.respond({503, "text/plain", ""});
    }
    waiting_replies_.clear();
    next_sync_ = {};
}

void fleet_control::keep_lease() {
    const auto now = boot_clock::now();
    if (keep_running_ || now < next_keep_) {
        return;
    }
    keep_running_ = true;
    next_keep_ = now + detail::lease_keep_time;
    const auto ttl = std::max(detail::lease_time, core_.settings.shortest_lease);
    core_.platform.store.keep_lease(
        lease_, detail::call_in(detail::lease_keep_time),
        [this, now, ttl, lease = lease_](std::error_code error, std::uint64_t) {
            keep_running_ = false;
            if (!leading_ || lease != lease_) {
                return;
            }
            note_store(!error || error == errc::store_lease_expired, "keep lease");
            decider_.set_store_trouble(static_cast<bool>(error));
            if (!error && !stopping_) {
                lease_until_ = std::max(lease_until_, now + ttl - detail::lease_margin);
            } else if (error == errc::store_lease_expired) {
                step_down("lease ended in the store");
                leader_epoch_ = 0;
            }
        });
}

// The lease gives the right to act; without the store, the confirmations of the other routers do.
// A leader without either waits for the store: its lease may have been paused.
void fleet_control::renew_right(boot_time now) {
    auto until = lease_until_;
    bool confirmed = false;
    if (!store_good_) {
        auto heard = evidence(now);
        for (const auto* recorded : {&members_, &pending_members_}) {
            if (recorded == &pending_members_ && !members_in_doubt_) {
                continue;
            }
            const auto right = right_without_store(*recorded, heard);
            if (!right) {
                confirmed = false;
                until = lease_until_;
                break;
            }
            confirmed = true;
            until = until == lease_until_ ? *right : std::min(until, *right);
        }
        until = std::max(until, lease_until_);
    }
    if (confirmed != confirmed_without_store_) {
        core_.log.write_always("right_without_store", {{"on", std::int64_t{confirmed}}});
        confirmed_without_store_ = confirmed;
    }
    const bool acts = now < until;
    if (acts != may_act_) {
        core_.log.write_always(acts ? "leader_acts" : "leader_waits",
                               {{"epoch", static_cast<std::int64_t>(leader_epoch_)}});
        may_act_ = acts;
    }
    const auto heard = evidence(now);
    decider_.set_long_holds(wants_long_holds() && may_hold_long(members_, heard) &&
                            (!members_in_doubt_ || may_hold_long(pending_members_, heard)));
    decider_.extend(until);
}

// A leader that ends while the store is lost has no successor yet: its last grants should last.
bool fleet_control::wants_long_holds() const {
    return leading_ && stopping_ && confirmed_without_store_;
}

evidence_by_host fleet_control::evidence(boot_time now) const {
    evidence_by_host heard;
    for (const auto& [host, known] : followers_) {
        heard.emplace(host, known.evidence);
    }
    heard[core_.settings.host] = {run_, now, store_good_ ? boot_time{} : now,
                                  wants_long_holds() ? now : boot_time{}, told_long_holds_};
    return heard;
}

void fleet_control::check_take_over(boot_time now) {
    if (taken_over_ || !members_loaded_) {
        return;
    }
    const auto heard = evidence(now);
    if (!has_taken_over(members_, heard)) {
        return;
    }
    taken_over_ = true;
    const auto end =
        inherited_holds_end(key_decider::hold_bounds(core_.settings.bounds), heard, now);
    decider_.set_inherited_end(end);
    core_.log.write_always("leader_took_over",
                           {{"runs_recorded", static_cast<std::int64_t>(members_.size())},
                            {"inherited_holds_ms", milliseconds_until(end, now)}});
}

// A successor acts fully only when most routers follow it. Those that do not reach the store would
// stay with its predecessor until the store is back.
void fleet_control::notify_members(boot_time now) {
    if (taken_over_ || !members_loaded_ || now < next_notice_) {
        return;
    }
    next_notice_ = now + detail::notice_pause;
    const auto body = encode(own_identity());
    for (const auto& [host, known] : members_) {
        const auto to = parse_endpoint(known.address);
        if (!to || host == core_.settings.host || followers_.contains(host)) {
            continue;
        }
        calls_.send(*to, {"POST", detail::notice_path, detail::cbor_type, body, {}},
                    detail::call_in(detail::notice_pause),
                    [this, host = host](std::error_code error, const call_answer&) {
                        // The next round tells it again.
                        core_.log.write("leader_notice",
                                        {{"host", host}, {"error", error ? error.message() : ""}});
                    });
    }
}

void fleet_control::serve_notice(const std::string& body, const small_server::respond& respond) {
    constexpr unsigned ok = 200;
    constexpr unsigned bad_request = 400;
    const auto notice = decode_leader_identity(body);
    if (!notice) {
        respond({bad_request, "text/plain", ""});
        return;
    }
    // A notice that was long on its way may speak of a leader that has ended.
    if (notice->epoch > newest_epoch_) {
        take_leader(*notice);
    }
    respond({ok, "text/plain", ""});
}

void fleet_control::load_members() {
    members_running_ = true;
    core_.platform.store.read(
        members_key(), detail::call_in(detail::store_call_time),
        [this, epoch = leader_epoch_](std::error_code error, const store_item& item,
                                      std::uint64_t) {
            members_running_ = false;
            if (!leading_ || epoch != leader_epoch_ || (error && error != errc::not_found)) {
                return;
            }
            members_ =
                error ? router_runs{} : decode_router_runs(item.value).value_or(router_runs{});
            members_loaded_ = true;
            members_in_doubt_ = false;
        });
}

// Keeps the record of the router runs that count when the store is lost.
void fleet_control::record_members(boot_time now) {
    if (members_running_ || !taken_over_ || now >= lease_until_ || now < next_members_) {
        return;
    }
    next_members_ = now + detail::members_time;
    router_runs current;
    current.emplace(core_.settings.host, router_run(run_, core_.settings.peer_address));
    for (const auto& [host, known] : followers_) {
        if (now - known.seen < detail::members_time) {
            current.emplace(host, router_run(known.evidence.run, known.address));
        }
    }
    if (current == members_ && !members_in_doubt_) {
        return;
    }
    pending_members_ = current;
    members_in_doubt_ = true;
    members_running_ = true;
    store_batch batch;
    batch.conditions = {{core_.platform.keys.own + "leader", leader_epoch_}};
    batch.writes = {{members_key(), encode(current), 0}};
    core_.platform.store.write(batch, detail::call_in(detail::store_call_time),
                               [this, epoch = leader_epoch_](std::error_code error, std::uint64_t) {
                                   members_running_ = false;
                                   if (leading_ && epoch == leader_epoch_ && !error) {
                                       members_ = pending_members_;
                                       members_in_doubt_ = false;
                                   }
                               });
}

std::string fleet_control::members_key() const {
    return core_.platform.keys.own + "routers";
}

// --- The registry ---

void fleet_control::note_store(bool good, std::string_view call) {
    if (good != store_good_) {
        core_.log.write_always(good ? "store_regained" : "store_lost", {{"call", call}});
        count(core_.metrics, good ? "store_regained" : "store_lost");
    }
    store_good_ = good;
}

void fleet_control::read_registry() {
    if (registry_running_) {
        return;
    }
    registry_running_ = true;
    next_registry_ =
        boot_clock::now() + (leading_ ? detail::registry_time : detail::own_registry_time);
    list_all(core_.platform.store, core_.platform.keys.targets,
             detail::call_in(detail::store_call_time),
             [this](std::error_code error, const store_items& items) {
                 registry_running_ = false;
                 const auto now = boot_clock::now();
                 if (error) {
                     note_store(false, "list targets");
                     note_registry_outage(registry_memory_, now);
                     next_registry_ = now + detail::own_registry_time;
                     return;
                 }
                 if (!store_good_) {
                     note_registry_outage(registry_memory_, now);
                 }
                 note_store(true, "list targets");
                 registry_read_ = now;
                 registry_reading reading;
                 reading.revision = items.revision;
                 reading.evacuated_domains = evacuated_;
                 for (const auto& item : items.items) {
                     const auto id =
                         std::string_view(item.key).substr(core_.platform.keys.targets.size());
                     auto entry = core_.platform.decode_target(id, item.value);
                     if (entry) {
                         reading.targets.push_back(std::move(*entry));
                     } else {
                         ++reading.ignored_entries;
                     }
                 }
                 if (reading.ignored_entries > 0) {
                     count(core_.metrics, "registry_entries_ignored", reading.ignored_entries);
                 }
                 take_registry(merge_reading(core_.state.registry, reading, registry_memory_, now));
             });
}

void fleet_control::take_registry(const registry_state& next) {
    const bool changed = differs_in_use(core_.state.registry, next);
    for (const auto& [id, entry] : next.targets) {
        const auto known = core_.state.registry.targets.find(id);
        if (known == core_.state.registry.targets.end() || known->second.leaving != entry.leaving ||
            known->second.started_unix_ms != entry.started_unix_ms) {
            core_.log.write("target_state",
                            {{"target", id},
                             {"service", entry.service},
                             {"leaving", std::int64_t{entry.leaving}},
                             {"revision", static_cast<std::int64_t>(next.revision)}});
        }
    }
    for (const auto& [id, entry] : core_.state.registry.targets) {
        if (!next.targets.contains(id)) {
            core_.log.write(
                "target_gone",
                {{"target", id}, {"revision", static_cast<std::int64_t>(next.revision)}});
        }
    }
    core_.state.registry = next;
    for (auto& removed : update_targets(core_.state, boot_clock::now())) {
        core_.idle_links.erase(removed->entry.id);
    }
    if (changed) {
        ++registry_number_;
        state_changed();
    }
}

void fleet_control::read_key_records() {
    next_records_ = boot_clock::now() + detail::records_time;
    const auto prefix = core_.platform.keys.own + "keys/";
    list_all(core_.platform.store, prefix, detail::call_in(detail::store_call_time),
             [this, prefix](std::error_code error, const store_items& items) {
                 note_store(!error, "list keys");
                 if (error || leading_) {
                     return;
                 }
                 for (const auto& item : items.items) {
                     if (auto map = decode_key_map(item.value)) {
                         core_.state.keys.insert_or_assign(item.key.substr(prefix.size()),
                                                           std::move(*map));
                     }
                 }
                 followed_maps_.clear();
                 state_changed();
             });
}

// --- Following, and being followed ---

sync_request fleet_control::make_request() {
    sync_request out;
    out.host = core_.settings.host;
    out.address = core_.settings.peer_address;
    out.failure_domain = core_.settings.failure_domain;
    out.run = run_;
    out.epoch = leader_epoch_;
    const auto now = boot_clock::now();
    out.store_lost = !store_good_;
    out.knows_long_holds = long_holds_announced_ && followed_epoch_ == leader_epoch_;
    if (out.knows_long_holds) {
        told_long_holds_ = now;
    }
    if (told_long_holds_) {
        out.long_holds_age_ms =
            static_cast<std::uint64_t>(-milliseconds_until(*told_long_holds_, now));
    }
    out.config_version = core_.state.config.version;
    if (followed_epoch_ == leader_epoch_) {
        out.registry_number = followed_registry_;
        out.map_numbers = followed_maps_;
    }
    out.key_loads = std::move(core_.key_loads);
    core_.key_loads.clear();
    out.demand = std::move(core_.demand);
    core_.demand.clear();
    for (auto& [id, target] : core_.state.targets) {
        if (target->work_count > 0) {
            out.work[id] = {target->work_count, target->work_sum_ms};
            target->work_count = 0;
            target->work_sum_ms = 0;
        }
    }
    return out;
}

void fleet_control::sync() {
    const auto to = parse_endpoint(leader_address_);
    if (leader_epoch_ == 0 || !to || leader_host_ == core_.settings.host || stopping_) {
        next_sync_ = boot_clock::now() + detail::sync_retry;
        return;
    }
    sync_running_ = true;
    const auto epoch = leader_epoch_;
    calls_.send(*to, {"POST", detail::sync_path, detail::cbor_type, encode(make_request()), {}},
                detail::call_in(detail::sync_call_time),
                [this, epoch](std::error_code error, const call_answer& answer) {
                    sync_running_ = false;
                    constexpr unsigned ok = 200;
                    const auto reply = !error && answer.head.status == ok
                                           ? decode_sync_reply(answer.body)
                                           : std::nullopt;
                    if (!reply || reply->epoch != epoch) {
                        ++sync_failures_;
                        if (sync_failures_ == 2) {
                            core_.log.write_always("leader_silent", {{"host", leader_host_}});
                        }
                        next_sync_ = boot_clock::now() + detail::sync_retry;
                        return;
                    }
                    if (sync_failures_ >= 2) {
                        core_.log.write_always("leader_heard", {{"host", leader_host_}});
                    }
                    sync_failures_ = 0;
                    take_sync(*reply);
                    next_sync_ = {};
                    sync();
                });
}

void fleet_control::take_sync(const sync_reply& reply) {
    const auto now = boot_clock::now();
    if (leading_) {
        return;
    }
    if (milliseconds(reply.store_age_ms) < detail::leader_silence) {
        synced_ = now;
        registry_read_ = now;
    }
    core_.state.routers = reply.routers;
    core_.state.rank = reply.rank;
    followed_epoch_ = reply.epoch;
    long_holds_announced_ = reply.long_holds;
    followed_registry_ = reply.registry_number;
    followed_maps_ = reply.map_numbers;
    if (!reply.config_text.empty()) {
        take_config(reply.config_text, 0);
    }
    core_.state.places.clear();
    core_.state.places.insert(reply.places.begin(), reply.places.end());
    take_rates(reply.rates);
    for (const auto& [id, work_ms] : reply.work_ms) {
        const auto found = core_.state.targets.find(id);
        if (found != core_.state.targets.end()) {
            found->second->work_ms = work_ms;
        }
    }
    bool changed = false;
    for (const auto& [service, map] : reply.maps) {
        core_.state.keys.insert_or_assign(service, map);
        core_.state.keys_at[service] = now;
        changed = true;
    }
    if (reply.operators_revision > operators_revision_) {
        evacuated_ = reply.evacuated_domains;
    }
    if (reply.registry && reply.registry->revision >= core_.state.registry.revision) {
        auto next = *reply.registry;
        next.evacuated_domains = evacuated_;
        take_registry(next);
    }
    apply_evacuations();
    if (changed) {
        core_.wake_waiting();
    }
}

void fleet_control::serve_sync(const std::string& body, small_server::respond respond) {
    constexpr unsigned bad_request = 400;
    constexpr unsigned unavailable = 503;
    auto request = decode_sync_request(body);
    if (!request) {
        respond({bad_request, "text/plain", ""});
        return;
    }
    if (!leading_ || request->epoch != leader_epoch_) {
        respond({unavailable, "text/plain", ""});
        return;
    }
    const auto now = boot_clock::now();
    auto& from = followers_[request->host];
    // The router sent this after our last answer, which may have been long on its way.
    const auto surely_sent = from.evidence.run == request->run ? from.replied : boot_time{};
    from.evidence.run = request->run;
    from.evidence.follows = surely_sent;
    from.evidence.store_lost = request->store_lost ? surely_sent : boot_time{};
    if (request->knows_long_holds) {
        from.evidence.knows_long_holds = now;
    }
    if (request->long_holds_age_ms < never_ms) {
        from.evidence.told_long_holds = now - milliseconds(request->long_holds_age_ms);
    }
    from.address = request->address;
    from.failure_domain = request->failure_domain;
    from.seen = now;
    take_reports(request->host, *request, now);
    pending_reply waiting{std::move(*request), std::move(respond), now + detail::reply_wait};
    bool is_behind = waiting.request.config_version < core_.state.config.version ||
                     waiting.request.registry_number != registry_number_;
    for (const auto& [service, number] : map_numbers_) {
        const auto known = waiting.request.map_numbers.find(service);
        is_behind =
            is_behind || known == waiting.request.map_numbers.end() || known->second != number;
    }
    if (is_behind) {
        reply_to(waiting);
    } else {
        waiting_replies_.push_back(std::move(waiting));
    }
}

void fleet_control::take_reports(const std::string& host, sync_request& request, boot_time now) {
    decider_.add_loads(request.key_loads);
    for (const auto& [service, load] : request.key_loads) {
        const auto map = core_.state.keys.find(service);
        if (map == core_.state.keys.end()) {
            continue;
        }
        for (const auto& [key, requests] : load.counts) {
            note_demand(demand_, segment_of(map->second, key).owner, host, requests, now);
        }
    }
    request.key_loads.clear();
    for (const auto& [service, requests] : request.demand) {
        note_demand(demand_, service, host, requests, now);
    }
    for (const auto& [id, report] : request.work) {
        const auto found = core_.state.targets.find(id);
        if (found == core_.state.targets.end() || report.count == 0) {
            continue;
        }
        auto& known = found->second->work_ms;
        const double mean = report.sum_ms / report.count;
        const double weight = std::min(report.count * detail::work_weight, 1.0);
        known = known == 0 ? mean : known + (mean - known) * weight;
    }
}

void fleet_control::lend(boot_time now) {
    next_lending_ = now + detail::lending_time;
    forget_old_demand(demand_, now);
    lent_places_.clear();
    lent_rates_.clear();
    for (const auto& [name, kind] : core_.state.config.services) {
        lend_service(kind, now);
    }
    const auto own = lent_places_.find(core_.settings.host);
    core_.state.places.clear();
    if (own != lent_places_.end()) {
        core_.state.places.insert(own->second.begin(), own->second.end());
    }
    take_rates(lent_rates_[core_.settings.host]);
}

void fleet_control::lend_service(const service& kind, boot_time now) {
    std::map<std::string, std::string> routers;  // With their failure domains.
    routers.emplace(core_.settings.host, core_.settings.failure_domain);
    for (const auto& [host, known] : followers_) {
        routers.emplace(host, known.failure_domain);
    }
    constexpr double ms_per_s = 1000;
    const auto capacity_of = [&](const target_state& target) {
        return target.entry.slots * ms_per_s / work_ms_of(core_.state, target);
    };
    struct region_targets {
        std::vector<lent_target> targets;
        double capacity = 0;
    };
    std::map<std::string, region_targets> by_region;
    for (const auto& [id, target] : core_.state.targets) {
        if (target->entry.service != kind.name || !may_send(core_.state, *target, now)) {
            continue;
        }
        if (kind.keyed) {
            std::vector<borrowing_router> borrowing;
            borrowing.reserve(routers.size());
            for (const auto& [host, domain] : routers) {
                borrowing.push_back({host, demand_of(demand_, id, host, now)});
            }
            for (const auto& [host, rate] : lend_rates(capacity_of(*target), borrowing)) {
                lent_rates_[host].emplace(id, rate);
            }
            continue;
        }
        if (!has_use(core_.state, target->entry)) {
            continue;
        }
        auto& in = by_region[region_of(core_.settings, target->entry.failure_domain)];
        in.capacity += capacity_of(*target);
        in.targets.push_back({id, 0});
    }
    for (auto& [region, in] : by_region) {
        std::vector<borrowing_router> borrowing;
        double demand = 0;
        for (const auto& [host, domain] : routers) {
            const auto wanted = demand_in_region(demand_, core_.state, kind.name, region, host,
                                                 region_of(core_.settings, domain), now);
            if (wanted.may_use) {
                borrowing.push_back({host, wanted.per_second});
                demand += wanted.per_second;
            }
        }
        for (auto& target : in.targets) {
            target.places = places_of(core_.state.targets[target.id]->entry, demand / in.capacity);
        }
        for (const auto& [host, places] : lend_places(in.targets, borrowing)) {
            lent_places_[host].insert(places.begin(), places.end());
        }
    }
}

void fleet_control::take_rates(const std::map<std::string, double>& rates) {
    for (auto& [id, target] : core_.state.targets) {
        const auto found = rates.find(id);
        target->lent_rate = found == rates.end() ? 0 : found->second;
    }
}

void fleet_control::reply_to(pending_reply& waiting) {
    const auto now = boot_clock::now();
    const auto& request = waiting.request;
    std::erase_if(followers_, [&](const auto& known) {
        return now - known.second.seen > detail::follower_life;
    });
    sync_reply reply;
    reply.epoch = leader_epoch_;
    reply.routers = static_cast<std::uint32_t>(followers_.size()) + 1;
    reply.rank = static_cast<std::uint32_t>(
        std::distance(followers_.begin(), followers_.find(request.host)) + 1);
    reply.store_age_ms = static_cast<std::uint64_t>(
        std::max<std::int64_t>(-milliseconds_until(registry_read_, now), 0));
    reply.config_version = core_.state.config.version;
    if (request.config_version < core_.state.config.version) {
        reply.config_text = config_text_;
    }
    reply.long_holds = wants_long_holds();
    reply.operators_revision = operators_revision_;
    reply.evacuated_domains = evacuated_;
    reply.registry_number = registry_number_;
    if (request.registry_number != registry_number_) {
        reply.registry = core_.state.registry;
    }
    reply.map_numbers = map_numbers_;
    for (const auto& [service, number] : map_numbers_) {
        const auto known = request.map_numbers.find(service);
        if (known == request.map_numbers.end() || known->second != number) {
            auto map = core_.state.keys[service];
            const auto age = -milliseconds_until(core_.state.keys_at[service], now);
            for (auto& segment : map.segments) {
                segment.wait_ms -=
                    std::min<std::uint32_t>(segment.wait_ms, static_cast<std::uint32_t>(age));
            }
            reply.maps.emplace(service, std::move(map));
        }
    }
    const auto places = lent_places_.find(request.host);
    if (places != lent_places_.end()) {
        reply.places = places->second;
    }
    const auto rates = lent_rates_.find(request.host);
    if (rates != lent_rates_.end()) {
        reply.rates = rates->second;
    }
    auto& asking = followers_[request.host];
    asking.replied = now;
    if (now - asking.told_work >= detail::work_time) {
        asking.told_work = now;
        for (const auto& [id, target] : core_.state.targets) {
            if (target->work_ms > 0) {
                reply.work_ms.emplace(id, std::round(target->work_ms));
            }
        }
    }
    core_.state.routers = reply.routers;
    core_.state.rank = 0;
    const auto respond = std::move(waiting.respond);
    waiting.respond = nullptr;
    respond({200, detail::cbor_type, encode(reply)});
}

void fleet_control::state_changed() {
    if (leading_) {
        for (const auto& [service, map] : core_.state.keys) {
            auto& known = numbered_maps_[service];
            if (known != map || map_numbers_[service] == 0) {
                known = map;
                ++map_numbers_[service];
            }
        }
        if (!answer_posted_) {
            answer_posted_ = true;
            core_.defer([this] {
                answer_posted_ = false;
                for (auto& waiting : waiting_replies_) {
                    reply_to(waiting);
                }
                waiting_replies_.clear();
            });
        }
    }
    core_.wake_waiting();
}

}  // namespace mimosavalve::gateway
