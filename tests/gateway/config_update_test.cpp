#include "mimosavalve/gateway/config_update.hpp"

#include <doctest/doctest.h>

#include <algorithm>
#include <set>

#include "mimosavalve/gateway/config_distribution.hpp"
#include "mimosavalve/gateway/peer_messages.hpp"

using namespace mimosavalve::gateway;

namespace {

route make_route(int number, const std::string& service) {
    route out;
    out.name = "r" + std::to_string(number);
    out.host = "Host" + std::to_string(number) + ".example";
    out.prefix = "/p" + std::to_string(number) + "/";
    out.timeout = milliseconds(1500);
    out.objective = milliseconds(800);
    out.services = {{service, 1}};
    return out;
}

operator_config make_config(std::uint64_t version, int routes) {
    operator_config out;
    out.version = version;
    out.services["orders"] = {"orders", 130, milliseconds(3000), 5, true};
    for (int number = 0; number < routes; ++number) {
        out.routes.push_back(make_route(number, "orders"));
    }
    return out;
}

/// Whether both have the same routes, in any order.
bool has_same_routes(const operator_config& left, const operator_config& right) {
    const auto changes = difference(left, right);
    return changes.routes.empty() && changes.removed.empty() &&
           left.routes.size() == right.routes.size();
}

}  // namespace

TEST_CASE("one changed route of a large configuration is sent without the others [config_update]") {
    const auto before = make_config(4, 1400);
    auto after = before;
    after.version = 7;
    after.routes[12].services = {{"orders-new", 1}};
    after.routes.pop_back();
    after.routes.push_back(make_route(2000, "orders"));
    const auto bytes = encode(difference(before, after));
    CHECK(bytes.size() < 1000);
    const auto update = decode_config_update(bytes);
    REQUIRE(update);
    const auto next = applied(before, *update);
    REQUIRE(next);
    CHECK(next->version == 7);
    CHECK(has_same_routes(*next, after));
    CHECK(next->services.at("orders").keyed);
    CHECK(next->limits.idle_timeout == after.limits.idle_timeout);
}

TEST_CASE("an update is not applied to a version that it was not made for [config_update]") {
    const auto update = difference(make_config(4, 3), make_config(5, 4));
    CHECK_FALSE(applied(make_config(3, 2), update));
    CHECK(applied(make_config(3, 2), whole_update(make_config(5, 4))));
}

TEST_CASE("a router that missed several versions gets their changes at once [config_update]") {
    config_history history;
    std::vector<operator_config> versions{make_config(1, 5)};
    for (std::uint64_t version = 2; version <= 6; ++version) {
        auto next = versions.back();
        next.version = version;
        next.routes.erase(next.routes.begin());  // Added again later, with another service.
        next.routes.push_back(
            make_route(static_cast<int>(version % 3), "s" + std::to_string(version)));
        std::vector<route> unique;
        for (const auto& each : next.routes) {
            std::erase_if(unique,
                          [&](const route& other) { return key_of(other) == key_of(each); });
            unique.push_back(each);
        }
        next.routes = unique;
        history.add(difference(versions.back(), next));
        versions.push_back(next);
    }
    for (const auto& from : versions) {
        if (from.version == versions.back().version) {
            continue;
        }
        const auto update = history.since(from.version);
        REQUIRE(update);
        const auto next = applied(from, *update);
        REQUIRE(next);
        CHECK(has_same_routes(*next, versions.back()));
    }
    CHECK_FALSE(history.since(99));
}

// Guards against a leader or a link between regions that carries one copy for each router.
TEST_CASE("a large configuration reaches 90 routers with few copies of each [config_update]") {
    std::vector<config_peer> routers;
    for (int number = 0; number < 90; ++number) {
        const auto domain =
            std::string(number < 45 ? "north-" : "south-") + (number % 2 == 0 ? "a" : "b");
        routers.push_back(
            {"h" + std::to_string(number), domain, number < 45 ? "north" : "south", ""});
    }
    config_distribution distribution;
    std::vector<config_peer> holders{routers[0]};
    boot_time now{milliseconds(1000)};
    int crossings = 0;
    int rounds = 0;
    update_transfers(distribution, 7, "", now);
    while (holders.size() < routers.size() && rounds < 20) {
        ++rounds;
        std::vector<config_peer> received;
        for (const auto& router : routers) {
            const bool holds = std::any_of(holders.begin(), holders.end(), [&](const auto& holder) {
                return holder.host == router.host;
            });
            const auto* source =
                holds ? nullptr
                      : choose_source(distribution, holders, router, milliseconds(900), now);
            if (source != nullptr) {
                crossings += source->region != router.region ? 1 : 0;
                received.push_back(router);
            }
        }
        now += milliseconds(200);
        for (const auto& router : received) {
            update_transfers(distribution, 7, router.host, now);
        }
        holders.insert(holders.end(), received.begin(), received.end());
    }
    CHECK(holders.size() == routers.size());
    CHECK(crossings <= 2);
    // After 1.5 s the routers that still wait read it from the store.
    CHECK(rounds * milliseconds(200) <= milliseconds(1500));
    for (const auto& [host, copies] : distribution.sent_by) {
        CHECK(copies <= 15);
    }
}

TEST_CASE("a router whose source has failed gets another one [config_update]") {
    const config_peer broken{"h1", "north-a", "north", ""};
    const config_peer sound{"h2", "north-b", "north", ""};
    const config_peer caller{"h3", "north-a", "north", ""};
    const std::vector<config_peer> holders{broken, sound};
    config_distribution distribution;
    boot_time now{milliseconds(1000)};
    std::set<std::string> tried;
    for (int attempt = 0; attempt < 3; ++attempt) {
        update_transfers(distribution, 7, "", now);
        if (const auto* source =
                choose_source(distribution, holders, caller, milliseconds(900), now)) {
            tried.insert(source->host);
        }
        now += milliseconds(1000);
    }
    CHECK(tried == std::set<std::string>{"h1", "h2"});
    CHECK(distribution.running.size() <= 1);
}
