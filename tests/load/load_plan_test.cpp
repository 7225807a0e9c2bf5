#include <doctest/doctest.h>

#include <algorithm>
#include <filesystem>
#include <map>

#include "mimosavalve/check/home_settings.hpp"
#include "mimosavalve/load/latency_histogram.hpp"
#include "mimosavalve/load/load_settings.hpp"
#include "mimosavalve/load/outage_tracker.hpp"
#include "mimosavalve/load/request_plan.hpp"

namespace load = mimosavalve::load;

namespace {

load::load_settings plan_settings() {
    load::load_settings settings;
    settings.routers = {
        {"127.0.0.1:1", "bagmati"}, {"127.0.0.1:2", "bagmati"}, {"127.0.0.1:3", "gandaki"}};
    settings.accounts = {{"ward-1", "bagmati"}, {"ward-2", "gandaki"}, {"ward-3", ""}};
    settings.mix = {{"status", load::request_kind::read, "status", 3, 0},
                    {"payment", load::request_kind::payment, "payments", 1, 300}};
    settings.keys = {1000, 1.0, std::chrono::seconds(10)};
    return settings;
}

std::string hottest_path(load::request_planner& planner, std::chrono::seconds elapsed) {
    std::map<std::string, int> counts;
    for (int draw = 0; draw < 5000; ++draw) {
        const auto path = planner.next(elapsed).path;
        ++counts[path.substr(path.find('/', 1))];
    }
    return std::max_element(
               counts.begin(), counts.end(),
               [](const auto& left, const auto& right) { return left.second < right.second; })
        ->first;
}

}  // namespace

// A run that differs each time could not be compared with the one before.
TEST_CASE("a seed always gives the same requests [request_plan]") {
    const auto settings = plan_settings();
    load::request_planner one(settings, "r");
    load::request_planner two(settings, "r");
    std::size_t payments = 0;
    for (int number = 0; number < 2000; ++number) {
        const auto left = one.next({});
        const auto right = two.next({});
        REQUIRE(left.path == right.path);
        REQUIRE(left.id == right.id);
        REQUIRE(one.next_gap() == two.next_gap());
        payments += left.idempotency_key.empty() ? 0 : 1;
    }
    CHECK(payments > 400);
    CHECK(payments < 600);
}

TEST_CASE("the hot keys change after their period [request_plan]") {
    const auto settings = plan_settings();
    load::request_planner planner(settings, "r");
    const auto first = hottest_path(planner, std::chrono::seconds(0));
    CHECK(hottest_path(planner, std::chrono::seconds(9)) == first);
    CHECK(hottest_path(planner, std::chrono::seconds(10)) != first);
}

// A caller of one region that used the other's routers would break the homes of its account.
TEST_CASE("callers use routers of their region and change on a repeat [request_plan]") {
    const auto settings = plan_settings();
    load::request_planner planner(settings, "r");
    for (int draw = 0; draw < 100; ++draw) {
        const auto first = planner.choose_router(settings.accounts[0], "").address;
        CHECK(first != "127.0.0.1:3");
        CHECK(planner.choose_router(settings.accounts[0], first).address != first);
        CHECK(planner.choose_router(settings.accounts[1], "").address == "127.0.0.1:3");
        CHECK(planner.choose_router(settings.accounts[1], "127.0.0.1:3").address == "127.0.0.1:3");
    }
}

TEST_CASE("a body is the same in pieces of every size [request_plan]") {
    const auto read_all = [](std::size_t piece) {
        load::body_source source("/a/b/c\nid\n", 70'001);
        std::string whole;
        std::vector<char> buffer(piece);
        while (const auto count = source.read(buffer)) {
            whole.append(buffer.data(), count);
        }
        return whole;
    };
    CHECK(read_all(7).size() == 70'001);
    CHECK(read_all(7) == read_all(65'536));
    CHECK(read_all(7).starts_with("/a/b/c\nid\n"));
}

TEST_CASE("quantiles are exact to a thirty-second [latency_histogram]") {
    load::latency_histogram histogram;
    CHECK(histogram.quantile(0.99).count() == 0);
    for (int value = 1; value <= 100'000; ++value) {
        histogram.add(std::chrono::nanoseconds(value));
    }
    for (const auto share : {0.01, 0.5, 0.99, 0.999, 1.0}) {
        CHECK(static_cast<double>(histogram.quantile(share).count()) ==
              doctest::Approx(100'000 * share).epsilon(1.0 / 32));
    }
    load::latency_histogram extreme;
    extreme.add(std::chrono::nanoseconds::max());
    extreme.add(std::chrono::nanoseconds(-5));
    CHECK(extreme.count() == 2);
    CHECK(extreme.quantile(0.5).count() == 0);
    CHECK(extreme.quantile(1).count() == std::chrono::nanoseconds::max().count());
}

TEST_CASE("an outage lasts from the first failure to the next good answer [outage_tracker]") {
    load::outage_tracker outages;
    outages.add("a", 0, 10, true);
    outages.add("a", 20, 30, false);
    outages.add("b", 32, 35, true);
    outages.add("a", 40, 50, false);
    outages.add("a", 60, 75, true);
    CHECK(outages.per_key().nanoseconds == 55);
    CHECK(outages.per_key().key == "a");
    CHECK(outages.over_all().nanoseconds == 35);
    outages.add("c", 80, 81, false);
    outages.finish(1080);
    CHECK(outages.per_key().nanoseconds == 1000);
    CHECK(outages.per_key().key == "c");
}

TEST_CASE("bad load settings are all reported [load_settings]") {
    std::vector<load::settings_problem> problems;
    const std::vector<load::settings_override> overrides{{"rate", "fast"}, {"colour", "red"}};
    const std::vector<std::string> routers{"127.0.0.1:0"};
    load::read_load_settings("", overrides, routers, problems);
    std::vector<std::string> fields;
    fields.reserve(problems.size());
    for (const auto& problem : problems) {
        fields.push_back(problem.field);
    }
    CHECK(fields == std::vector<std::string>{"router", "rate", "accounts", "mix", "colour"});
}

// The settings of the examples are the first that a new user tries.
TEST_CASE("the loads and homes of the examples are valid [load_settings]") {
    for (const auto* user : {"repair-service", "heating-consortium"}) {
        const auto folder = std::string(MV_SOURCE_DIR) + "/examples/" + user;
        std::vector<load::settings_problem> problems;
        const auto settings = load::read_load_settings(folder + "/load.yaml", {}, {}, problems);
        const auto homes = mimosavalve::check::read_home_regions(folder + "/homes.yaml", problems);
        CHECK(problems.empty());
        CHECK(settings.routers.size() >= 11);
        for (const auto& account : settings.accounts) {
            CHECK(homes.contains(account.name));
        }
    }
}
