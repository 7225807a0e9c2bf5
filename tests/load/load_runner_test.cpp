#include "mimosavalve/load/load_runner.hpp"

#include <doctest/doctest.h>
#include <xxhash.h>

#include <cstdio>
#include <filesystem>
#include <fstream>

#include "scripted_router.hpp"

namespace load = mimosavalve::load;
using load::testing::answer_to;
using load::testing::answer_type;
using load::testing::request_type;
using load::testing::scripted_router;

namespace {

load::load_settings small_load(const std::vector<std::string>& routers, load::request_kind kind) {
    load::load_settings settings;
    for (const auto& address : routers) {
        settings.routers.push_back({address, ""});
    }
    settings.mode = load::load_mode::closed_loop;
    settings.count = 1;
    settings.connections = 1;
    settings.repeats = 1;
    settings.repeat_wait = std::chrono::milliseconds(0);
    settings.accounts = {{"ward-1", ""}};
    settings.keys.count = 10;
    settings.mix = {{"payment", kind, "payments", 1, 300}};
    return settings;
}

load::load_summary run_load(const load::load_settings& settings) {
    boost::asio::io_context context(1);
    load::load_runner runner(context, settings);
    REQUIRE(!runner.start());
    context.run();
    REQUIRE(runner.finished());
    return runner.summary();
}

answer_type good_write(const request_type& request) {
    std::array<char, 17> hash{};
    std::snprintf(
        hash.data(), hash.size(), "%016llx",
        static_cast<unsigned long long>(XXH64(request.body().data(), request.body().size(), 0)));
    return answer_to(request, load::testing::http::status::ok, "ran",
                     std::string("{\"xxh64\":\"") + hash.data() +
                         "\",\"size\":" + std::to_string(request.body().size()) + "}");
}

std::optional<answer_type> refuse_not_run(const request_type& request) {
    return answer_to(request, load::testing::http::status::service_unavailable, "not-run", "");
}

// Whichever router the seed chooses first fails once; the repeat has to reach the other one.
void check_repeat(const scripted_router::script& failure) {
    int asked = 0;
    const auto first_fails = [&](const request_type& request) {
        return ++asked == 1 ? failure(request) : good_write(request);
    };
    const scripted_router one(first_fails);
    const scripted_router two(first_fails);
    const auto summary =
        run_load(small_load({one.address(), two.address()}, load::request_kind::payment));
    CHECK(summary.classes.at("payment").attempts == 2);
    CHECK(summary.classes.at("payment").answered == 1);
    CHECK(summary.classes.at("payment").wrong == 0);
    REQUIRE(one.received().size() == 1);
    REQUIRE(two.received().size() == 1);
    const auto& left = one.received().front();
    const auto& right = two.received().front();
    CHECK(left["Idempotency-Key"] == right["Idempotency-Key"]);
    CHECK_FALSE(left["Idempotency-Key"].empty());
    CHECK(left["Idempotency-Time"] == right["Idempotency-Time"]);
    CHECK_FALSE(left["Idempotency-Time"].empty());
    CHECK(left["Request-Id"] != right["Request-Id"]);
    CHECK(left.body() == right.body());
}

}  // namespace

// A repeat with a new key would be a second payment.
TEST_CASE("a refused payment is repeated elsewhere with its key and time [load_runner]") {
    check_repeat(refuse_not_run);
}

TEST_CASE("a broken payment is repeated elsewhere with its key and time [load_runner]") {
    check_repeat([](const request_type&) { return std::nullopt; });
}

TEST_CASE("a request that may have run is not repeated [load_runner]") {
    const scripted_router router([](const request_type& request) {
        return answer_to(request, load::testing::http::status::bad_gateway, "may-have-run", "");
    });
    const auto summary = run_load(small_load({router.address()}, load::request_kind::payment));
    CHECK(summary.classes.at("payment").attempts == 1);
    CHECK(summary.classes.at("payment").failed == 1);
    CHECK(summary.refusals.at("may-have-run  502") == 1);
}

TEST_CASE("repeats end after their number [load_runner]") {
    const scripted_router router(refuse_not_run);
    auto settings = small_load({router.address()}, load::request_kind::read);
    settings.repeats = 3;
    const auto summary = run_load(settings);
    CHECK(summary.classes.at("payment").attempts == 4);
    CHECK(summary.classes.at("payment").sent == 1);
}

// A crossed answer that looks good must not pass as one.
TEST_CASE("answers with another id or body are counted as wrong [load_runner]") {
    const scripted_router router([](const request_type& request) {
        auto answer = answer_to(request, load::testing::http::status::ok, "ran",
                                std::string(request.target()) + "\n");
        answer.set("Request-Id", "other.1");
        return answer;
    });
    auto settings = small_load({router.address()}, load::request_kind::read);
    CHECK(run_load(settings).classes.at("payment").wrong == 1);
    const scripted_router other_body([](const request_type& request) {
        return answer_to(request, load::testing::http::status::ok, "ran", "/status/x/k0\n");
    });
    settings.routers = {{other_body.address(), ""}};
    CHECK(run_load(settings).classes.at("payment").wrong == 1);
    settings.mix.front().kind = load::request_kind::upload;
    CHECK(run_load(settings).classes.at("payment").wrong == 1);
}

TEST_CASE("an unanswered request ends at its timeout and is not repeated [load_runner]") {
    boost::asio::io_context context;
    // Accepts into the backlog and never reads.
    const boost::asio::ip::tcp::acceptor silent(context,
                                                {boost::asio::ip::address_v4::loopback(), 0});
    auto settings = small_load({"127.0.0.1:" + std::to_string(silent.local_endpoint().port())},
                               load::request_kind::read);
    settings.timeout = std::chrono::milliseconds(100);
    const auto summary = run_load(settings);
    CHECK(summary.errors.at("timeout") == 1);
    CHECK(summary.classes.at("payment").attempts == 1);
}

TEST_CASE("every attempt is a line of the history [load_runner]") {
    const auto file =
        std::filesystem::temp_directory_path() /
        ("mv-load-" + std::to_string(std::chrono::steady_clock::now().time_since_epoch().count()));
    const scripted_router router(refuse_not_run);
    auto settings = small_load({router.address()}, load::request_kind::order);
    settings.history_file = file.string();
    settings.run = "night";
    run_load(settings);
    std::ifstream in(file);
    std::string line;
    for (const auto* id : {"night-1.1", "night-1.2"}) {
        REQUIRE(std::getline(in, line));
        const auto record = load::parse_attempt(line);
        REQUIRE(record);
        CHECK(record->request_id == id);
        CHECK(record->verdict == "not-run");
        CHECK(record->expected_size == 300);
        CHECK(record->end_ns >= record->start_ns);
    }
    CHECK_FALSE(std::getline(in, line));
    std::filesystem::remove(file);
}
