// Dispatchers of services with few slots for each router: what callers get, without a network.
#include <doctest/doctest.h>

#include <array>
#include <deque>
#include <random>

#include "dispatched_path.hpp"
#include "mimosavalve/gateway/admission.hpp"
#include "mimosavalve/gateway/quota_plan.hpp"

using namespace mimosavalve::gateway;
using namespace mimosavalve::gateway::testing;

namespace {

constexpr std::size_t target_count = 16;
constexpr std::uint32_t slots = 2;
constexpr std::size_t queue_size = 8;
constexpr double work_ms = 210;
constexpr double capacity = target_count * slots * 1000 / work_ms;
constexpr milliseconds objective{1000};
constexpr milliseconds slow_time{400};

/// Senders of orders to targets of different speed, a fifth of which work three times slower at a
/// time. With dispatchers, these are the senders; else each router is one.
class scarce_service {
public:
    explicit scarce_service(std::size_t senders) : demand_(senders) {
        constexpr std::array<double, 4> speeds{0.5, 1, 1, 1.5};
        route_.name = "orders";
        route_.objective = objective;
        route_.services.push_back({"orders", 1});
        for (std::size_t number = 0; number < target_count; ++number) {
            targets_.push_back({{}, {}, work_ms / speeds[number % speeds.size()], {}});
        }
        for (std::size_t number = 0; number <= senders; ++number) {
            states_.push_back(make_state());
        }
    }

    void run(double per_second, milliseconds time) {
        std::exponential_distribution<double> pause(per_second);
        double next = 0;
        for (const auto end = now_ + time; now_ < end; now_ += milliseconds(2)) {
            for (next -= 0.002; next <= 0; next += pause(random_)) {
                const request added{random_() % demand_.size(), now_, {}, {}};
                ++demand_[added.sender];
                if (!dispatch(added, false)) {
                    waiting_.push_back(added);
                }
            }
            for (std::size_t number = 0; number < target_count; ++number) {
                serve(number);
            }
            std::erase_if(waiting_, [&](const request& each) { return dispatch(each, true); });
            if (now_.time_since_epoch() % milliseconds(200) == milliseconds(0)) {
                lead();
            }
        }
    }

    int in_time = 0;
    int late = 0;
    int refused = 0;
    int rejected = 0;  ///< By targets whose queue was full.

private:
    struct request {
        std::size_t sender = 0;
        boot_time arrived_at;
        boot_time sent_at;
        boot_time ends_at;
    };
    struct target {
        std::deque<request> queue;
        std::vector<request> running;
        double mean_ms = 0;
        boot_time slow_until;
    };

    [[nodiscard]] routing_state make_state() const {
        routing_state state;
        state.own_domain = "a1";
        state.own_region = "a";
        state.regions = {{"a1", "a"}};
        state.config.services["orders"].name = "orders";
        state.config.routes.push_back(route_);
        state.router_count = static_cast<std::uint32_t>(demand_.size());
        for (std::size_t number = 0; number < target_count; ++number) {
            target_entry entry;
            entry.id = "t" + std::to_string(number);
            entry.service = "orders";
            entry.failure_domain = "a1";
            entry.slots = slots;
            state.registry.targets.emplace(entry.id, entry);
        }
        update_targets(state, {});
        for (std::size_t number = 0; number < target_count; ++number) {
            set_work_ms(state, *state.targets.at("t" + std::to_string(number)),
                        targets_[number].mean_ms);
        }
        return state;
    }
    /// Returns whether the request no longer waits.
    bool dispatch(const request& each, bool waits) {
        const auto choice = choose_target(states_[each.sender], {&route_, "orders", {}, {}}, now_);
        if (choice.kind == choice_kind::target) {
            send(each, *choice.target);
            return true;
        }
        const auto left =
            objective - std::chrono::duration_cast<milliseconds>(now_ - each.arrived_at);
        const bool refuses = waits ? static_cast<double>(left.count()) < work_ms
                                   : should_refuse(estimate(each), left);
        refused += refuses ? 1 : 0;
        return refuses;
    }
    wait_estimate estimate(const request& each) {
        auto& state = states_[each.sender];
        wait_estimate out;
        out.concurrency = 0;
        for (const auto& other : waiting_) {
            out.requests_ahead += other.sender == each.sender ? 1 : 0;
        }
        for (const auto& [id, quota] : state.concurrency_quotas) {
            out.concurrency += quota;
        }
        for (const auto* known : targets_of(state, "orders")) {
            out.answer_ms += std::max(known->answer_ms, known->work_ms) / target_count;
        }
        return out;
    }
    void send(request each, target_state& to) {
        auto& at = targets_[std::stoul(to.entry.id.substr(1))];
        if (at.queue.size() >= queue_size) {
            ++rejected;
            return;
        }
        record_send(to, now_);
        each.sent_at = now_;
        at.queue.push_back(each);
    }
    void serve(std::size_t number) {
        auto& at = targets_[number];
        if (now_.time_since_epoch() % slow_time == milliseconds(0) && random_() % 5 == 0) {
            at.slow_until = now_ + slow_time;
        }
        std::erase_if(at.running, [&](const request& done) {
            if (done.ends_at > now_) {
                return false;
            }
            answer(number, done);
            return true;
        });
        std::lognormal_distribution<double> work(-0.11, 0.47);
        while (at.running.size() < slots && !at.queue.empty()) {
            const double slowness = now_ < at.slow_until ? 3 : 1;
            at.queue.front().ends_at =
                now_ +
                milliseconds(static_cast<std::int64_t>(work(random_) * at.mean_ms * slowness));
            at.running.push_back(at.queue.front());
            at.queue.pop_front();
        }
    }
    void answer(std::size_t number, const request& done) {
        auto& at = targets_[number];
        auto& known = *states_[done.sender].targets.at("t" + std::to_string(number));
        record_load(known,
                    {static_cast<std::uint32_t>(at.running.size()),
                     static_cast<std::uint32_t>(at.queue.size()), slots},
                    now_);
        record_answer(known, std::chrono::duration_cast<milliseconds>(now_ - done.sent_at), false);
        --known.running;
        ++(now_ - done.arrived_at <= objective ? in_time : late);
    }
    void lead() {
        std::map<std::string, std::string> routers;
        for (std::size_t sender = 0; sender < demand_.size(); ++sender) {
            const auto host = "h" + std::to_string(sender);
            routers.emplace(host, "a1");
            record_demand(rates_, "orders", host, std::exchange(demand_[sender], 0), now_);
        }
        dispatch_state none;
        const auto plan = plan_quotas(states_.back(), rates_, routers, none, now_);
        for (std::size_t sender = 0; sender < demand_.size(); ++sender) {
            const auto& quotas = plan.concurrency.at("h" + std::to_string(sender));
            auto& state = states_[sender];
            state.concurrency_quotas.clear();
            state.concurrency_quotas.insert(quotas.begin(), quotas.end());
        }
    }

    std::mt19937 random_{20261206};
    boot_time now_{milliseconds(100000)};
    route route_;
    std::vector<std::uint32_t> demand_;
    std::vector<target> targets_;
    std::vector<routing_state> states_;  ///< Of the senders, and last that of the leader.
    demand_rates rates_;
    std::vector<request> waiting_;
};

std::vector<dispatch_candidate> make_candidates() {
    std::vector<dispatch_candidate> candidates;
    for (int number = 0; number < 20; ++number) {
        const auto host = "h" + std::to_string(number);
        candidates.push_back(
            {host, host + ":1", number % 2 == 0 ? "a" : "b", number < 8 ? 0.5 : 0.1, false});
    }
    return candidates;
}

dispatch_input make_input(double demand) {
    return {region_destination("orders", "a"), "a", 20, 100, demand, 20};
}

dispatcher_map planned(const dispatcher_map& current, const dispatch_input& input,
                       const std::vector<dispatch_candidate>& candidates) {
    dispatcher_map next;
    plan_dispatchers(next, current, input, candidates);
    return next;
}

}  // namespace

// Requests waited behind slow targets while slots of others were idle, since each of many routers
// had a queue of its own.
TEST_CASE("two dispatchers answer more requests in time than sixty routers [dispatch]") {
    for (const double load : {0.9, 1.15}) {
        scarce_service routers(60);
        scarce_service dispatchers(2);
        for (auto* each : {&routers, &dispatchers}) {
            each->run(capacity * load, milliseconds(5000));
            each->in_time = each->late = each->refused = each->rejected = 0;
            each->run(capacity * load, milliseconds(20000));
            MESSAGE("in time " << each->in_time << ", late " << each->late << ", refused "
                               << each->refused << ", rejected " << each->rejected);
        }
        CHECK(dispatchers.in_time > 1.2 * routers.in_time);
        // The users ask for three of four.
        CHECK(dispatchers.in_time >= 3 * dispatchers.late);
        CHECK(dispatchers.rejected <= routers.rejected);
    }
}

TEST_CASE("dispatchers are named where slots are scarce and hosts differ [dispatch]") {
    const auto candidates = make_candidates();
    const auto named = planned({}, make_input(60), candidates);
    REQUIRE(named.size() == 1);
    const auto& both = named.begin()->second;
    REQUIRE(both.size() == 2);
    for (const auto& each : both) {
        CHECK(each.region == "a");
        CHECK(each.capacity == 0.5);
    }
    // Too little demand, though enough to keep those that are named.
    CHECK(planned({}, make_input(35), candidates).empty());
    CHECK(planned(named, make_input(35), candidates).size() == 1);
    CHECK(planned(named, make_input(25), candidates).empty());
    // Slots enough for each router.
    auto roomy = make_input(60);
    roomy.slots = 30;
    CHECK(planned({}, roomy, candidates).empty());
    // More than two hosts of half a core can pass on.
    auto heavy = make_input(400);
    heavy.capacity = 500;
    CHECK(planned({}, heavy, candidates).empty());
    CHECK(planned(named, heavy, candidates).size() == 1);
    heavy.demand = 410;
    CHECK(planned(named, heavy, candidates).empty());
    // Hosts of equal capacity: a fleet that is served as before.
    auto equal = candidates;
    for (auto& each : equal) {
        each.capacity = 0.2;
    }
    CHECK(planned({}, make_input(60), equal).empty());
}

// Quotas were taken from routers that could not forward.
TEST_CASE("no dispatcher is named for requests that are not forwarded [dispatch]") {
    auto candidates = make_candidates();
    auto large = make_input(60);
    large.has_small_requests = false;
    CHECK(planned({}, large, candidates).empty());
    candidates.back().address.clear();  // A router of an earlier version.
    CHECK(planned({}, make_input(60), candidates).empty());
}

// All that waited at the dispatchers was refused whenever the leader changed.
TEST_CASE("a new leader keeps the dispatchers until it knows the demand [dispatch]") {
    const auto destination = region_destination("orders", "a");
    dispatch_table table;
    apply_dispatchers(table, {{destination, {{"h1", "127.0.0.1:1"}}}});
    auto settling = make_input(0);
    settling.is_settling = true;
    const auto kept = planned(taken_over(table), settling, {});
    CHECK(names_of(kept) == dispatcher_names{{destination, {{"h1", "127.0.0.1:1"}}}});
    settling.is_settling = false;
    CHECK(planned(kept, settling, make_candidates()).empty());
}

TEST_CASE("a dispatcher stays while it qualifies, and duties are spread [dispatch]") {
    auto candidates = make_candidates();
    const auto first = planned({}, make_input(60), candidates);
    const auto host = first.begin()->second.front().host;
    const auto is_named = [](const dispatcher_map& map, const std::string& name) {
        const auto& all = map.begin()->second;
        return std::any_of(all.begin(), all.end(),
                           [&](const auto& each) { return each.host == name; });
    };
    std::reverse(candidates.begin(), candidates.end());
    CHECK(names_of(planned(first, make_input(60), candidates)) == names_of(first));
    auto late = candidates;
    for (auto& each : late) {
        each.is_late = each.host == host;
    }
    CHECK_FALSE(is_named(planned(first, make_input(60), late), host));
    std::erase_if(candidates, [&](const auto& each) { return each.host == host; });
    CHECK_FALSE(is_named(planned(first, make_input(60), candidates), host));

    dispatcher_map next;
    auto other = make_input(60);
    plan_dispatchers(next, {}, other, make_candidates());
    other.destination = region_destination("approvals", "a");
    plan_dispatchers(next, {}, other, make_candidates());
    REQUIRE(next.size() == 2);
    for (const auto& each : next.begin()->second) {
        CHECK_FALSE(is_named({*next.rbegin()}, each.host));
    }
}

TEST_CASE("a router that cannot reach a dispatcher uses the other, then sends itself [dispatch]") {
    const auto now = boot_time(std::chrono::hours(1));
    dispatch_table table;
    const dispatcher_names names{
        {region_destination("orders", "a"), {{"h1", "127.0.0.1:1"}, {"h2", "127.0.0.1:2"}}}};
    apply_dispatchers(table, names);
    table.valid_until = now + dispatch_validity;
    const dispatch_request request{"orders", {}, "a", "h9"};
    record_unreachable(table, "h1", now);
    apply_dispatchers(table, names);  // News of the leader do not end the pause.
    for (int round = 0; round < 4; ++round) {
        const auto choice = choose_dispatcher(table, request, now);
        REQUIRE(choice.kind == dispatch_kind::forward);
        CHECK(choice.peer->host == "h2");
    }
    record_unreachable(table, "h2", now);
    CHECK(choose_dispatcher(table, request, now).kind == dispatch_kind::direct_without_quota);
    CHECK(choose_dispatcher(table, request, now + std::chrono::seconds(1)).kind ==
          dispatch_kind::forward);
    // Without news the last dispatchers are used for a time.
    CHECK(choose_dispatcher(table, request, now + dispatch_validity).kind ==
          dispatch_kind::direct_without_quota);
    CHECK(choose_dispatcher(table, {"orders", {}, "a", "h2"}, now).kind == dispatch_kind::direct);
    // The dispatchers of the other region have the quotas there.
    CHECK(choose_dispatcher(table, {"orders", {}, "b", "h9"}, now).kind ==
          dispatch_kind::direct_without_quota);
    CHECK(choose_dispatcher(table, {"other", {}, "a", "h9"}, now).kind == dispatch_kind::direct);
    auto direct = request;
    direct.must_be_direct = true;
    CHECK(choose_dispatcher(table, direct, now + std::chrono::seconds(2)).kind ==
          dispatch_kind::direct_without_quota);
    const std::vector<std::string> homes{"a"};
    CHECK(choose_dispatcher(table, {"orders", homes, "b", "h9"}, now + std::chrono::seconds(2))
              .kind == dispatch_kind::forward);
}

TEST_CASE("a forwarded request carries its service and age, and its answer comes back [dispatch]") {
    dispatched_path path(request_kind::non_idempotent);
    path.target.script = {good_answer, good_answer};
    for (const auto* id : {"r1", "r2"}) {
        path.send("POST /7 HTTP/1.1\r\nHost: desk.example\r\nRequest-Id: " + std::string(id) +
                  "\r\nMimosavalve-Service: other\r\nContent-Length: 4\r\n\r\nbody");
        CHECK(path.receive("hello").find("200 OK") != std::string::npos);
    }
    REQUIRE(path.target.received.size() == 2);
    for (const auto& received : path.target.received) {
        CHECK(received.find("Mimosavalve-Service: orders") != std::string::npos);
        CHECK(received.find("Mimosavalve-Service: other") == std::string::npos);
        CHECK(received.find("Mimosavalve-Age: ") != std::string::npos);
        CHECK(received.find("Expected: ") == std::string::npos);
    }
    CHECK(path.target.connections == 1);
}

TEST_CASE("a dispatcher's refusal reaches the caller as not run [dispatch]") {
    dispatched_path path(request_kind::non_idempotent);
    path.target.script = {
        "HTTP/1.1 503 Service Unavailable\r\nRequest-Id: $ID\r\nMimosavalve-Verdict: not-run\r\n"
        "Retry-After: 0.25\r\nContent-Length: 0\r\n\r\n"};
    path.post("r1");
    const auto answer = path.receive("\r\n\r\n");
    CHECK(answer.find("503") != std::string::npos);
    CHECK(answer.find("not-run") != std::string::npos);
    CHECK(answer.find("Retry-After: 0.25") != std::string::npos);
    CHECK(path.target.received.size() == 1);
}

TEST_CASE("what a stopping dispatcher refuses is sent elsewhere [dispatch]") {
    dispatched_path path(request_kind::non_idempotent);
    path.target.script = {
        "HTTP/1.1 503 Service Unavailable\r\nRequest-Id: $ID\r\nMimosavalve-Verdict: not-run\r\n"
        "Mimosavalve-Reason: stopping\r\nContent-Length: 0\r\n\r\n",
        good_answer};
    path.post("r1");
    CHECK(path.receive("hello").find("200 OK") != std::string::npos);
    REQUIRE(path.target.received.size() == 2);
    CHECK(path.target.received[1].find("Expected: t1") != std::string::npos);
}

// Other routers than the dispatchers have no quotas.
TEST_CASE("a download of a dispatched service is sent by its own router [dispatch]") {
    dispatched_path path(request_kind::download);
    path.core.state.concurrency_quotas = {{"t9", 1}};
    path.target.script = {good_answer};
    path.get("r1");
    CHECK(path.receive("hello").find("200 OK") != std::string::npos);
    CHECK(path.target.received.at(0).find("Expected: t1") != std::string::npos);
}

TEST_CASE("a request whose dispatcher is lost may have run and is not sent again [dispatch]") {
    for (const auto kind : {request_kind::non_idempotent, request_kind::idempotent}) {
        dispatched_path path(kind);
        path.target.script = {"CLOSE", good_answer};
        path.post("r1");
        const auto answer = path.receive("\r\n\r\n");
        CHECK(answer.find("502") != std::string::npos);
        CHECK(answer.find("may-have-run") != std::string::npos);
        CHECK(path.target.received.size() == 1);
    }
}

TEST_CASE("a request whose dispatcher cannot be reached is sent to a target [dispatch]") {
    dispatched_path path(request_kind::non_idempotent);
    path.name("127.0.0.1:1");
    path.target.script = {good_answer};
    path.post("r1");
    CHECK(path.receive("hello").find("200 OK") != std::string::npos);
    REQUIRE(path.target.received.size() == 1);
    CHECK(path.target.received[0].find("Expected: t1") != std::string::npos);
}
