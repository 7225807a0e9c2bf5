#include <doctest/doctest.h>

#include "target_fixture.hpp"

using namespace mimosavalve::standins::testing;
namespace standins = mimosavalve::standins;

// A target that serves without a grant, or under another fence, would be a second owner.
TEST_CASE("a request needs a grant with its own fence [target_orders]") {
    const running_target target(small_target());
    test_client client(target.port());
    auto answer = client.exchange(keyed_request("r1.1"));
    CHECK(answer.result_int() == 409);
    CHECK(answer["Target-Reason"] == "no-grant");
    CHECK(answer["Not-Run"] == "true");
    REQUIRE(order(target.port(), "/grant", "1.5") == 200);
    answer = client.exchange(keyed_request("r1.2"));
    CHECK(answer.result_int() == 200);
    CHECK(answer["Request-Id"] == "r1.2");
    CHECK(answer["Target-Id"] == "status-1");
    CHECK(answer.body() == "/status/ward-1/k1\n");
    for (const auto* fence : {"1.4", "1.6", "2.0"}) {
        answer = client.exchange(keyed_request("r1.3", fence));
        CHECK(answer.result_int() == 409);
        CHECK(answer["Target-Reason"] == "fence");
    }
}

// A late order of a leader that was replaced must not bring its grant back.
TEST_CASE("orders with an older fence or after their deadline are refused [target_orders]") {
    const running_target target(small_target());
    REQUIRE(order(target.port(), "/grant", "2.5") == 200);
    CHECK(order(target.port(), "/grant", "2.4") == 409);
    CHECK(order(target.port(), "/revoke", "1.9") == 409);
    test_client client(target.port());
    const auto late = order_text("3.0", clock_of(target.port()) - 1);
    CHECK(client.exchange(make_request(http::verb::post, "/grant", late)).result_int() == 410);
    CHECK(client.exchange(make_request(http::verb::post, "/revoke", late)).result_int() == 410);
    CHECK(client.exchange(keyed_request("r1.1", "2.5")).result_int() == 200);
    REQUIRE(order(target.port(), "/revoke", "2.6") == 200);
    CHECK(order(target.port(), "/grant", "2.5") == 409);
    CHECK(client.exchange(keyed_request("r1.2", "2.5"))["Target-Reason"] == "no-grant");
}

// Revocation proves that the old owner has stopped; answered early, it would allow two owners.
TEST_CASE("a revocation waits for running requests and admits no new one [target_orders]") {
    const scratch_file history;
    auto settings = small_target();
    settings.work.mean_ms = 1000;
    settings.history_file = history.name();
    const running_target target(settings);
    REQUIRE(order(target.port(), "/grant", "1.5") == 200);
    const auto deadline = clock_of(target.port()) + 60'000;
    test_client caller(target.port());
    caller.send(keyed_request("running.1"));
    REQUIRE(eventually([&] { return probe(target.port()).at("load") == 1; }));
    test_client leader(target.port());
    leader.send(make_request(http::verb::post, "/revoke", order_text("1.6", deadline)));
    test_client other(target.port());
    // This fence is never granted, so the answer tells whether the revocation is known yet.
    REQUIRE(eventually([&] {
        return other.exchange(keyed_request("late.1", "0.9"))["Target-Reason"] == "no-grant";
    }));
    CHECK_FALSE(history.contains("\"event\":\"end\""));
    CHECK_FALSE(leader.has_bytes());
    CHECK(leader.receive().result_int() == 200);
    CHECK(history.contains("\"event\":\"end\""));
    CHECK(caller.receive().result_int() == 200);
    CHECK(other.exchange(keyed_request("after.1"))["Target-Reason"] == "no-grant");
    CHECK_FALSE(history.contains("after.1"));
}

TEST_CASE("a revocation does not wait for requests of other slots [target_orders]") {
    auto settings = small_target();
    settings.work.mean_ms = 60'000;
    const running_target target(settings);
    REQUIRE(order(target.port(), "/grant", "1.5") == 200);
    test_client caller(target.port());
    caller.send(keyed_request("running.1"));
    REQUIRE(eventually([&] { return probe(target.port()).at("load") == 1; }));
    const auto body = R"({"grants":[{"service":"status","first_slot":4,"count":2,"fence":"1.6"}],)"
                      R"("deadline_clock_ms":)" +
                      std::to_string(clock_of(target.port()) + 60'000) + "}";
    test_client leader(target.port());
    CHECK(leader.exchange(make_request(http::verb::post, "/revoke", body)).result_int() == 200);
    CHECK_FALSE(caller.has_bytes());
}

// The router may rely on no check of such a target; the stand-in must not protect it by accident.
TEST_CASE("a target without fence checks obeys every order and request [target_orders]") {
    auto settings = small_target();
    settings.checks_fence = false;
    const running_target target(settings);
    test_client client(target.port());
    CHECK(client.exchange(keyed_request("r1.1")).result_int() == 200);
    CHECK(order(target.port(), "/grant", "2.5") == 200);
    CHECK(order(target.port(), "/grant", "1.5") == 200);
    CHECK(order(target.port(), "/revoke", "0.1") == 200);
    CHECK(client.exchange(keyed_request("r1.2", "0.1")).result_int() == 200);
    auto late = keyed_request("r1.3");
    late.set("Start-By", std::to_string(clock_of(target.port()) - 1));
    CHECK(client.exchange(late)["Target-Reason"] == "start-by");
}

TEST_CASE("malformed orders and headers are refused with the field named [target_orders]") {
    const running_target target(small_target());
    test_client client(target.port());
    const std::vector<std::pair<std::string, std::string>> bodies{
        {"", "body"},
        {"[]", "body"},
        {"{}", "deadline_clock_ms"},
        {R"({"deadline_clock_ms":-1})", "deadline_clock_ms"},
        {R"({"deadline_clock_ms":1,"grants":{}})", "grants"},
        {R"({"deadline_clock_ms":1,"grants":[1]})", "grants"},
        {R"({"deadline_clock_ms":1,"grants":[{"service":"s","first_slot":0,"count":1,"fence":"1"}]})",
         "fence"},
        {R"({"deadline_clock_ms":1,"grants":[{"service":"s","first_slot":0,"count":4294967295,)"
         R"("fence":"1.1"}]})",
         "count"}};
    for (const auto& [body, field] : bodies) {
        const auto answer = client.exchange(make_request(http::verb::post, "/grant", body));
        CHECK(answer.result_int() == 400);
        CHECK(answer.body().find(field) == 0);
    }
    auto request = keyed_request("r1.1");
    request.set("Mimosavalve-Slot", "3x");
    const auto answer = client.exchange(request);
    CHECK(answer.result_int() == 400);
    CHECK(answer["Not-Run"] == "true");
    CHECK(answer.body().find("Mimosavalve-Slot") == 0);
}
