#include <doctest/doctest.h>
#include <xxhash.h>

#include <random>

#include "mimosavalve/standins/target_work.hpp"
#include "target_fixture.hpp"

using namespace mimosavalve::standins::testing;
namespace standins = mimosavalve::standins;

namespace {

standins::target_settings unkeyed_target() {
    auto settings = small_target();
    settings.checks_fence = false;
    return settings;
}

request_type plain_request(const std::string& id) {
    auto request = make_request(http::verb::get, "/status/ward-1/k1");
    request.set("Request-Id", id);
    return request;
}

}  // namespace

// Requests in the socket buffer of a frozen target are void when it resumes too late.
TEST_CASE("a freeze drops requests past Start-By and serves the others [target_requests]") {
    const running_target target(unkeyed_target());
    test_client early(target.port());
    test_client late(target.port());
    const auto clock = clock_of(target.port());
    auto short_request = plain_request("short.1");
    short_request.set("Start-By", std::to_string(clock + 100));
    auto long_request = plain_request("long.1");
    long_request.set("Start-By", std::to_string(clock + 60'000));
    REQUIRE(send_fault(target.port(), R"({"freeze_ms":400})") == 200);
    early.send(short_request);
    late.send(long_request);
    const auto refused = early.receive();
    CHECK(refused.result_int() == 503);
    CHECK(refused["Target-Reason"] == "start-by");
    CHECK(refused["Not-Run"] == "true");
    CHECK(late.receive().result_int() == 200);
    CHECK(clock_of(target.port()) >= clock + 400);
}

// A request that passed on arrival may wait for a slot until its time is over.
TEST_CASE("Start-By is checked again after the wait for a slot [target_requests]") {
    auto settings = unkeyed_target();
    settings.slots = 1;
    settings.work.mean_ms = 300;
    const running_target target(settings);
    test_client first(target.port());
    first.send(plain_request("first.1"));
    REQUIRE(eventually([&] { return probe(target.port()).at("load") == 1; }));
    test_client second(target.port());
    auto request = plain_request("second.1");
    request.set("Start-By", std::to_string(clock_of(target.port()) + 100));
    CHECK(second.exchange(request)["Target-Reason"] == "start-by");
    CHECK(first.receive().result_int() == 200);
}

TEST_CASE("requests beyond slots and queue are refused as overloaded [target_requests]") {
    auto settings = unkeyed_target();
    settings.slots = 1;
    settings.queue = 1;
    settings.work.mean_ms = 300;
    const running_target target(settings);
    test_client first(target.port());
    test_client second(target.port());
    test_client third(target.port());
    first.send(plain_request("1.1"));
    second.send(plain_request("2.1"));
    third.send(plain_request("3.1"));
    int served = 0;
    int refused = 0;
    for (auto* client : {&first, &second, &third}) {
        const auto answer = client->receive();
        served += answer.result_int() == 200 ? 1 : 0;
        refused += answer["Target-Reason"] == "overloaded" && answer["Not-Run"] == "true" ? 1 : 0;
    }
    CHECK(served == 2);
    CHECK(refused == 1);
}

// The leader opens new connections to probe; a full target must not look lost to it.
TEST_CASE("connections over the limit get probes but no requests [target_requests]") {
    auto settings = unkeyed_target();
    settings.connections = 1;
    const running_target target(settings);
    test_client first(target.port());
    CHECK(first.exchange(plain_request("1.1")).result_int() == 200);
    test_client second(target.port());
    CHECK(second.exchange(plain_request("2.1"))["Target-Reason"] == "overloaded");
    CHECK(probe(target.port()).at("leaving") == false);
    CHECK(first.exchange(plain_request("1.2")).result_int() == 200);
}

TEST_CASE("a caller that goes away cancels its request [target_requests]") {
    const scratch_file history;
    auto settings = unkeyed_target();
    settings.slots = 1;
    settings.work.mean_ms = 60'000;
    settings.history_file = history.name();
    const running_target target(settings);
    test_client running(target.port());
    test_client waiting(target.port());
    running.send(plain_request("running.1"));
    REQUIRE(eventually([&] { return history.contains("\"start\""); }));
    waiting.send(plain_request("waiting.1"));
    waiting.close();
    running.close();
    CHECK(eventually([&] { return history.contains("\"cancel\""); }));
    CHECK(eventually([&] { return probe(target.port()).at("load") == 0; }));
    CHECK_FALSE(history.contains("waiting.1"));
}

// Half a booking must not be carried out.
TEST_CASE("a body that breaks off runs nothing [target_requests]") {
    const scratch_file history;
    auto settings = unkeyed_target();
    settings.history_file = history.name();
    const running_target target(settings);
    test_client broken(target.port());
    broken.send_bytes("POST /orders/ward-1/k1 HTTP/1.1\r\nContent-Length: 100\r\n\r\nhalf");
    broken.close();
    test_client whole(target.port());
    CHECK(whole.exchange(plain_request("whole.1")).result_int() == 200);
    CHECK(history.text().find("\"start\"") == history.text().rfind("\"start\""));
}

TEST_CASE("uploads are answered with their hash and small values are kept [target_requests]") {
    const running_target target(unkeyed_target());
    test_client client(target.port());
    std::string body(5'000'000, 'x');
    body[4'999'999] = 'y';
    const auto large =
        client.exchange(make_request(http::verb::post, "/recordings/ward-1/k1", body));
    const auto answer = nlohmann::json::parse(large.body());
    CHECK(answer.at("size") == body.size());
    CHECK(std::stoull(answer.at("xxh64").get<std::string>(), nullptr, 16) ==
          XXH64(body.data(), body.size(), 0));
    client.exchange(make_request(http::verb::put, "/orders/ward-1/k2", "spring valve"));
    CHECK(client.exchange(make_request(http::verb::get, "/orders/ward-1/k2?full=1")).body() ==
          "spring valve");
    CHECK(client.exchange(make_request(http::verb::get, "/recordings/ward-1/k1")).body() ==
          "/recordings/ward-1/k1\n");
}

// Guarantee 3 is only tested when a cold target really bears less.
TEST_CASE("a cold target is slower, smaller and collapses under a queue [target_work]") {
    standins::work_settings work;
    work.distribution = standins::work_distribution::constant;
    work.mean_ms = 2;
    const standins::cold_settings cold{2, 10, 1, 0.5};
    standins::work_model model(work, cold, 4);
    using std::chrono::microseconds;
    CHECK(model.slots() == 1);
    CHECK(model.next_time(0, 1) == microseconds(20'000));
    CHECK(model.next_time(2, 1) == microseconds(45'000));
    model.served();
    model.served();
    CHECK(model.slots() == 4);
    CHECK(model.next_time(9, 1) == microseconds(2000));
    CHECK(model.next_time(0, 10) == microseconds(20'000));
    model.turn_cold();
    CHECK(model.is_cold());
    CHECK(model.next_time(1000, 1) == std::chrono::minutes(10));
}

TEST_CASE("service times repeat for a seed and keep their mean [target_work]") {
    for (const auto kind :
         {standins::work_distribution::exponential, standins::work_distribution::lognormal}) {
        standins::work_settings work;
        work.distribution = kind;
        work.mean_ms = 4;
        standins::work_model one(work, {}, 4);
        standins::work_model two(work, {}, 4);
        std::chrono::nanoseconds total{0};
        for (int draw = 0; draw < 20'000; ++draw) {
            const auto time = one.next_time(0, 1);
            REQUIRE(time == two.next_time(0, 1));
            total += time;
        }
        CHECK(static_cast<double>(total.count()) / 20'000 / 1e6 ==
              doctest::Approx(4).epsilon(0.05));
    }
}

TEST_CASE("a leaving target says so, finishes its work and ends [target_requests]") {
    auto settings = unkeyed_target();
    settings.work.mean_ms = 400;
    settings.leave_time = std::chrono::milliseconds(200);
    running_target target(settings);
    test_client idle(target.port());
    test_client running(target.port());
    running.send(plain_request("running.1"));
    REQUIRE(eventually([&] { return probe(target.port()).at("load") == 1; }));
    target.leave();
    CHECK(eventually([&] { return probe(target.port()).at("leaving") == true; }));
    const auto answer = running.receive();
    CHECK(answer.result_int() == 200);
    CHECK_FALSE(answer.keep_alive());
    CHECK(eventually([&] { return target.has_ended(); }));
}

// Bytes that are not HTTP must not end the process or block its other connections.
TEST_CASE("broken input on a socket does not harm the target [target_requests]") {
    const running_target target(unkeyed_target());
    std::mt19937 random(20261204);
    const std::string whole =
        "POST /grant HTTP/1.1\r\nContent-Length: 40\r\nRequest-Id: "
        "1\r\n\r\n{\"grants\":[{\"service\":1}]}";
    for (int round = 0; round < 300; ++round) {
        auto bytes = whole.substr(0, random() % whole.size() + 1);
        for (int change = 0; change < 4; ++change) {
            bytes[random() % bytes.size()] = static_cast<char>(random() % 256);
        }
        test_client client(target.port());
        client.send_bytes(bytes);
    }
    test_client client(target.port());
    CHECK(client.exchange(plain_request("r1.1")).result_int() == 200);
}
