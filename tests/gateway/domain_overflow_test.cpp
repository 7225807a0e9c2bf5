#include <doctest/doctest.h>

#include <cmath>
#include <deque>
#include <random>
#include <set>

#include "mimosavalve/gateway/quota_plan.hpp"
#include "mimosavalve/gateway/target_table.hpp"

using namespace mimosavalve::gateway;
using std::chrono::milliseconds;

namespace {

const boot_time start = boot_time(std::chrono::hours(1));
const std::vector<std::string> all_domains{"a1", "a2", "b1", "b2"};
constexpr double mean_work_ms = 130;

// Four domains of two regions with three targets of two slots each: 46 requests per second each.
routing_state make_state(const std::string& domain, request_kind kind,
                         const std::set<std::string>& lost = {}) {
    routing_state state;
    state.regions = {{"a1", "a"}, {"a2", "a"}, {"b1", "b"}, {"b2", "b"}};
    state.own_domain = domain;
    state.own_region = region_of(state.regions, domain);
    state.own_host = "r-" + domain;
    state.config.version = 1;
    state.config.services["pages"].name = "pages";
    route all;
    all.name = "all";
    all.kind = kind;
    all.objective = milliseconds(1000);
    all.services.push_back({"pages", 1});
    all.home_regions = {"a", "b"};
    state.config.routes = {all};
    for (const auto& name : all_domains) {
        for (int number = 0; number < 3 && !lost.contains(name); ++number) {
            target_entry entry;
            entry.id = name + "-" + std::to_string(number);
            entry.service = "pages";
            entry.failure_domain = name;
            entry.slots = 2;
            entry.started_unix_ms = 1;
            state.registry.targets.emplace(entry.id, entry);
        }
    }
    update_targets(state, start);
    for (auto& [id, target] : state.targets) {
        set_work_ms(state, *target, mean_work_ms);
    }
    return state;
}

struct load_result {
    int in_time = 0;
    int late = 0;
    int unanswered = 0;
    std::map<target_place, int> sent;
    double bytes_between_regions = 0;
};

// A load of 20 s with one router in each domain. It shows what callers get and how much crosses;
// answers of other regions take turns on a link of 60 Mbit/s.
class domain_load_run {
public:
    domain_load_run(bool decides, request_kind kind, double bytes, std::string lost = {})
        : decides_(decides),
          bytes_(bytes),
          lost_(std::move(lost)),
          leader_(make_state("a1", kind)) {
        for (const auto& domain : all_domains) {
            routers_.push_back({make_state(domain, kind), {}, {}});
        }
    }

    load_result run(const std::map<std::string, double>& per_second) {
        std::map<std::string, std::string> hosts;
        for (const auto& domain : all_domains) {
            hosts["r-" + domain] = domain;
        }
        for (int ms = 0; ms < 20000; ++ms) {
            now_ = start + milliseconds(ms);
            if (ms == 10000 && !lost_.empty()) {
                leader_.registry.evacuated_domains.insert(lost_);
                for (auto& each : routers_) {
                    each.state.registry.evacuated_domains.insert(lost_);
                }
            }
            if (ms % 200 == 0) {
                plan(hosts, ms >= 2000);
            }
            for (auto& router : routers_) {
                const auto rate = per_second.at(router.state.own_domain);
                if (std::uniform_real_distribution<double>(0, 1000)(arrivals_) < rate) {
                    ++router.arrived;
                    earn_tokens(router.state.overflow, "pages");
                    router.waiting.push_back(now_);
                }
                dispatch(router);
            }
            serve();
        }
        for (const auto& router : routers_) {
            result_.unanswered += static_cast<int>(router.waiting.size());
        }
        return result_;
    }

private:
    struct sim_router {
        routing_state state;
        std::deque<boot_time> waiting;
        std::uint32_t arrived = 0;
    };
    struct sent_request {
        sim_router* from = nullptr;
        boot_time arrived;
        boot_time sent;
        boot_time ends;
    };
    struct target_queue {
        std::vector<sent_request> running;
        std::deque<sent_request> waiting;
    };

    void plan(const std::map<std::string, std::string>& hosts, bool is_complete) {
        for (auto& router : routers_) {
            const auto requests = std::exchange(router.arrived, 0);
            record_demand(demand_, demand_destination("pages", {"a", "b"}), router.state.own_host,
                          requests, now_);
        }
        const auto quotas =
            plan_quotas(leader_, demand_, hosts, none_, now_, decides_ && is_complete);
        for (auto& router : routers_) {
            const auto own = quotas.concurrency.find(router.state.own_host);
            router.state.concurrency_quotas.clear();
            if (own != quotas.concurrency.end()) {
                router.state.concurrency_quotas.insert(own->second.begin(), own->second.end());
            }
            if (decides_ && is_complete) {
                apply_overflow(router.state.overflow,
                               shares_of(quotas.overflow, router.state.own_domain));
                router.state.overflow.valid_until = now_ + overflow_validity;
            }
        }
    }

    target_place place(const sim_router& from, const target_state& target) const {
        const auto& domain = target.entry.failure_domain;
        return domain == from.state.own_domain ? target_place::own_domain
               : region_of(from.state.regions, domain) == from.state.own_region
                   ? target_place::own_region
                   : target_place::other_region;
    }

    void dispatch(sim_router& from) {
        while (!from.waiting.empty()) {
            const auto age = std::chrono::duration_cast<milliseconds>(now_ - from.waiting.front());
            choice_request request{&from.state.config.routes[0], "pages", {}, {}};
            request.age = age;
            const auto choice = choose_target(from.state, request, now_);
            if (choice.kind != choice_kind::target) {
                return;
            }
            record_send(*choice.target, now_);
            ++result_.sent[place(from, *choice.target)];
            targets_[choice.target->entry.id].waiting.push_back(
                {&from, from.waiting.front(), now_, {}});
            from.waiting.pop_front();
        }
    }

    void serve() {
        std::exponential_distribution<double> work(1 / mean_work_ms);
        for (auto& [id, queue] : targets_) {
            for (auto& request : queue.running) {
                if (request.ends <= now_) {
                    answer(id, queue, request);
                }
            }
            std::erase_if(queue.running, [&](const auto& each) { return each.ends <= now_; });
            while (queue.running.size() < 2 && !queue.waiting.empty()) {
                queue.running.push_back(queue.waiting.front());
                queue.waiting.pop_front();
                queue.running.back().ends = now_ + milliseconds(1 + std::lround(work(random_)));
            }
        }
    }

    void answer(const std::string& id, const target_queue& queue, const sent_request& request) {
        auto& target = *request.from->state.targets.at(id);
        auto received = now_;
        if (place(*request.from, target) == target_place::other_region) {
            constexpr double link_bytes_per_ms = 7500;
            link_free_ =
                std::max(link_free_, now_) + milliseconds(std::lround(bytes_ / link_bytes_per_ms));
            received = link_free_ + milliseconds(40);
            result_.bytes_between_regions += bytes_;
        }
        --target.running;
        target_load load;
        load.slots = 2;
        load.running = static_cast<std::uint32_t>(queue.running.size()) - 1;
        load.waiting = static_cast<std::uint32_t>(queue.waiting.size());
        record_load(target, load, now_);
        const bool in_time = received - request.arrived <= milliseconds(1000);
        ++(in_time ? result_.in_time : result_.late);
    }

    bool decides_;
    double bytes_;
    std::string lost_;  // Domain that is evacuated after 10 s.
    routing_state leader_;
    std::deque<sim_router> routers_;
    std::map<std::string, target_queue> targets_;
    demand_rates demand_;
    dispatch_state none_;
    std::minstd_rand arrivals_{20261204};
    std::minstd_rand random_{20261205};
    boot_time now_;
    boot_time link_free_;
    load_result result_;
};

int sent_to(const load_result& result, target_place place) {
    const auto found = result.sent.find(place);
    return found == result.sent.end() ? 0 : found->second;
}

void show(const std::string& name, const load_result& result) {
    MESSAGE(name << ": in time " << result.in_time << ", late " << result.late << ", unanswered "
                 << result.unanswered << ", own domain "
                 << sent_to(result, target_place::own_domain) << ", own region "
                 << sent_to(result, target_place::own_region) << ", other region "
                 << sent_to(result, target_place::other_region) << ", bytes between regions "
                 << result.bytes_between_regions);
}

std::vector<overflow_domain> make_domains(double a1, double a2, double b1, double b2) {
    std::vector<overflow_domain> out;
    for (const auto& [name, rate] : {std::pair{"a1", a1}, {"a2", a2}, {"b1", b1}, {"b2", b2}}) {
        out.push_back({name, std::string(1, name[0]), 100, {{{}, rate}}});
    }
    return out;
}

}  // namespace

// Guards against a domain that sends away more than it must, or to a region while its own has room.
TEST_CASE("domain overflow: excess goes to the own region first [overflow]") {
    CHECK(plan_overflow(make_domains(75, 40, 10, 10)).empty());
    const auto within = plan_overflow(make_domains(100, 40, 10, 10));
    CHECK(share_between(within, "a1", "a2") == doctest::Approx(0.25));
    CHECK(share_between(within, "a1", "b1") == 0);
    const auto across = plan_overflow(make_domains(130, 60, 25, 50));
    CHECK(share_between(across, "a1", "b1") * 130 + share_between(across, "a2", "b1") * 60 ==
          doctest::Approx(40 * 50.0 / 75));
    const auto stays = share_between(across, "a1", "a1") * 130;
    CHECK(stays == doctest::Approx(75));
}

// Guards against requests that wait at home while the region's other domains have free slots: a
// dispatcher sends the requests of a whole region.
TEST_CASE("domain overflow: a full region is filled equally [overflow]") {
    const auto shares = plan_overflow(make_domains(190, 0, 100, 100));
    CHECK(share_between(shares, "a1", "a2") == doctest::Approx(0.5));
}

// Guards against an overloaded region that refuses requests while another one has idle slots.
TEST_CASE("domain overflow: regions are filled equally under overload [overflow]") {
    const auto shares = plan_overflow(make_domains(170, 90, 65, 65));
    double crossing = 0;
    for (const auto& [from, rate] : {std::pair{"a1", 170.0}, {"a2", 90.0}}) {
        crossing += rate * (share_between(shares, from, "b1") + share_between(shares, from, "b2"));
    }
    CHECK(crossing == doctest::Approx(65));
}

// Guards against a lost domain whose requests are counted nowhere, and against bound requests that
// are planned for a region where they may not run.
TEST_CASE("domain overflow: lost domains and home regions [overflow]") {
    auto domains = make_domains(60, 30, 10, 10);
    domains[0].capacity = 0;
    CHECK(share_between(plan_overflow(domains), "a1", "a2") > 0.7);
    CHECK(share_between(plan_overflow(domains), "a1", "a1") == doctest::Approx(0));
    auto bound = make_domains(300, 300, 0, 0);
    bound[0].demands[0].home_regions = {"a"};
    const auto shares = plan_overflow(bound);
    CHECK(share_between(shares, "a1", "b1") == 0);
    CHECK(share_between(shares, "a2", "b1") > 0);
}

// Guards against requests that leave without a token, or by shares of a leader that is gone.
TEST_CASE("domain overflow: tokens [overflow]") {
    overflow_table table;
    apply_overflow(table, {{"pages", {{"a2", 0.5}}}});
    table.valid_until = start + overflow_validity;
    earn_tokens(table, "pages");
    CHECK_FALSE(has_token(table, "pages", "a2", start));
    earn_tokens(table, "pages");
    CHECK(has_token(table, "pages", "a2", start));
    CHECK_FALSE(has_token(table, "pages", "a2", start + overflow_validity));
    take_token(table, "pages", "a2");
    CHECK_FALSE(has_token(table, "pages", "a2", start));
    CHECK_FALSE(differ({{"pages", {{"a2", 0.5}}}}, {{"pages", {{"a2", 0.52}}}}));
    CHECK(differ({{"pages", {{"a2", 0.5}}}}, {{"pages", {{"a2", 0.56}}}}));
}

// Guards against transfers between regions for a few ms, and against requests that are late at home
// although they would be in time elsewhere.
TEST_CASE("domain overflow: leaving pays [overflow]") {
    leaving_request request;
    request.home_ms = 400;
    request.away_ms = 100;
    request.left_ms = 500;
    CHECK(reason_to_leave(request) == leave_reason::none);
    request.left_ms = 300;
    CHECK(reason_to_leave(request) == leave_reason::late_at_home);
    request.left_ms = 50;
    CHECK(reason_to_leave(request) == leave_reason::saves_time);
    request.away_ms = 398;
    CHECK(reason_to_leave(request) == leave_reason::none);
    request.away_ms = 100;
    request.place = target_place::other_region;
    transfer_size size;
    CHECK(is_large_transfer(expected_bytes(&size, request_kind::download)));
    CHECK(expected_bytes(&size, request_kind::idempotent) == 0);
    for (int number = 0; number < 60; ++number) {
        record_transfer(size, 1000, 90000);
    }
    request.bytes = expected_bytes(&size, request_kind::download);
    CHECK(request.bytes == doctest::Approx(91000));
    request.region_has_room = true;
    CHECK(reason_to_leave(request) == leave_reason::none);
    request.region_has_room = false;
    CHECK(reason_to_leave(request) == leave_reason::saves_time);
}

// Guards against a changed choice where the decision is not in effect: no shares are known, or the
// own domain has no usable target.
TEST_CASE("domain overflow: choices without effect are as before [overflow]") {
    for (const bool is_home_lost : {false, true}) {
        const std::set<std::string> lost =
            is_home_lost ? std::set<std::string>{"a1"} : std::set<std::string>{};
        auto before = make_state("a1", request_kind::download, lost);
        auto after = make_state("a1", request_kind::download, lost);
        for (auto* state : {&before, &after}) {
            for (const auto& [id, target] : state->targets) {
                state->concurrency_quotas[id] = 3;
            }
        }
        // Shares of another service, or of this one while the own domain has no target.
        apply_overflow(after.overflow, {{is_home_lost ? "pages" : "others", {{"b1", 0.5}}}});
        for (int number = 0; number < 40; ++number) {
            const auto now = start + milliseconds(number);
            const auto choose = [&](routing_state& state) {
                const auto choice =
                    choose_target(state, {&state.config.routes[0], "pages", {}, {}}, now);
                if (choice.kind == choice_kind::target) {
                    record_send(*choice.target, now);
                }
                return choice.target == nullptr ? std::string("none") : choice.target->entry.id;
            };
            CHECK(choose(before) == choose(after));
        }
    }
}

// Guards against requests that are counted with the domain of the router that forwarded them.
TEST_CASE("domain overflow: dispatched requests count with the dispatcher's domain [overflow]") {
    const auto state = make_state("a1", request_kind::idempotent);
    demand_rates demand;
    record_demand(demand, demand_destination("pages", {"a", "b"}), "r-a2", 20, start);
    const std::map<std::string, std::string> routers{{"r-a1", "a1"}, {"r-a2", "a2"}};
    const dispatcher_map named{{region_destination("pages", "a"), {{"r-a1", "10.0.0.1:1", "a"}}}};
    const auto plan = plan_service_overflow({state, demand, routers, named, start}, "pages");
    REQUIRE(plan.senders.size() == 1);
    CHECK(plan.senders[0].host == "r-a1");
    CHECK(plan.senders[0].demand.per_second == doctest::Approx(20));
}

// Guards against a domain whose targets are all cold and that keeps requests as if they were warm.
TEST_CASE("domain overflow: cold targets count with their cold rate [overflow]") {
    auto state = make_state("a1", request_kind::idempotent);
    for (const auto& [id, target] : state.targets) {
        if (target->entry.failure_domain == "a1") {
            target->cold_until = start + milliseconds(5000);
        }
    }
    state.config.services["pages"].cold_requests_per_second = 2;
    demand_rates demand;
    record_demand(demand, demand_destination("pages", {"a", "b"}), "r-a1", 20, start);
    const std::map<std::string, std::string> routers{{"r-a1", "a1"}};
    const auto plan = plan_service_overflow({state, demand, routers, {}, start}, "pages");
    CHECK(share_between(plan.shares, "a1", "a2") > 0.7);
}

// Guards against routers without quotas: downloads are not forwarded, so a service that has only
// these needs no dispatchers.
TEST_CASE("quotas: all routers may send downloads of a scarce service [overflow]") {
    const auto state = make_state("a1", request_kind::download);
    demand_rates demand;
    std::map<std::string, std::string> routers;
    dispatch_state dispatch;
    for (int number = 0; number < 40; ++number) {
        const auto host = "r" + std::to_string(number);
        routers[host] = all_domains[static_cast<std::size_t>(number) % 4];
        const auto region = routers[host].substr(0, 1);
        dispatch.candidates.push_back({host, "10.0.0.1:1", region, number < 4 ? 1.0 : 0.1});
        record_demand(demand, demand_destination("pages", {"a", "b"}), host, 4, start);
    }
    const auto plan = plan_quotas(state, demand, routers, dispatch, start, false);
    CHECK(dispatch.named.empty());
    CHECK(plan.concurrency.size() == routers.size());
}

// Guards against traffic between domains and regions that brings callers nothing, and against
// answers that are lost for it.
TEST_CASE("domain overflow: load over four domains [overflow]") {
    const std::map<std::string, double> load{{"a1", 55}, {"a2", 25}, {"b1", 18}, {"b2", 18}};
    for (const auto kind : {request_kind::download, request_kind::idempotent}) {
        const double bytes = kind == request_kind::download ? 90000 : 1000;
        const auto fixed = domain_load_run(false, kind, bytes).run(load);
        const auto decided = domain_load_run(true, kind, bytes).run(load);
        show("fixed cost, " + std::string(to_string(kind)), fixed);
        show("decision, " + std::string(to_string(kind)), decided);
        CHECK(decided.in_time > fixed.in_time * 0.97);
        CHECK(sent_to(decided, target_place::own_domain) >
              1.5 * sent_to(fixed, target_place::own_domain));
        CHECK(decided.bytes_between_regions < fixed.bytes_between_regions / 2);
    }
}

// Guards against an overloaded region whose requests wait while another region has idle slots.
TEST_CASE("domain overflow: overload of a region [overflow]") {
    const std::map<std::string, double> load{{"a1", 80}, {"a2", 42}, {"b1", 30}, {"b2", 30}};
    for (const auto kind : {request_kind::download, request_kind::idempotent}) {
        const double bytes = kind == request_kind::download ? 90000 : 1000;
        const auto fixed = domain_load_run(false, kind, bytes).run(load);
        const auto decided = domain_load_run(true, kind, bytes).run(load);
        show("fixed cost, overload, " + std::string(to_string(kind)), fixed);
        show("decision, overload, " + std::string(to_string(kind)), decided);
        CHECK(decided.in_time > fixed.in_time * 0.95);
        CHECK(decided.bytes_between_regions < fixed.bytes_between_regions / 2);
    }
}

// Guards against requests without answers after the loss of the own domain, and against other
// domains that then get more than they can serve.
TEST_CASE("domain overflow: loss of a domain [overflow]") {
    const std::map<std::string, double> load{{"a1", 30}, {"a2", 20}, {"b1", 20}, {"b2", 20}};
    const auto fixed = domain_load_run(false, request_kind::idempotent, 1000, "a1").run(load);
    const auto decided = domain_load_run(true, request_kind::idempotent, 1000, "a1").run(load);
    show("fixed cost, lost domain", fixed);
    show("decision, lost domain", decided);
    CHECK(decided.in_time > fixed.in_time * 0.97);
    CHECK(decided.unanswered < 10);
    CHECK(sent_to(decided, target_place::other_region) <
          sent_to(fixed, target_place::other_region));
}
