// Answers of targets whose status tells a caller that its request has not run.
#include <doctest/doctest.h>

#include <initializer_list>
#include <string>

#include "dispatched_path.hpp"

using namespace mimosavalve::gateway;
using namespace mimosavalve::gateway::testing;

namespace {

// Longer than the answers that are kept until they are complete.
constexpr std::size_t long_body_bytes = 300000;

/// Signed answer of a target, with `fields` in its head.
std::string signed_answer(const std::string& status, const std::string& fields = "",
                          std::size_t body_bytes = 4) {
    return "HTTP/1.1 " + status + " Odd\r\nRequest-Id: $ID\r\nSignature: s\r\n" + fields +
           "Content-Length: " + std::to_string(body_bytes) + "\r\n\r\n" +
           std::string(body_bytes, 'f');
}

/// An answer that promises nothing, and holds nothing of the target's.
void check_promises_nothing(const std::string& answer) {
    CHECK(answer.starts_with("HTTP/1.1 502"));
    CHECK(answer.find("may-have-run") != std::string::npos);
    CHECK(answer.find("Signature") == std::string::npos);
    CHECK(answer.find("Retry-After") == std::string::npos);
    CHECK(answer.find("ff") == std::string::npos);
}

/// Adds targets at the address of the first one: no target gets a request twice.
void add_targets(path_fixture& path, std::initializer_list<const char*> ids) {
    for (const auto* id : ids) {
        auto added = path.core.state.registry.targets.at("t1");
        added.id = id;
        path.core.state.registry.targets.emplace(id, added);
    }
    update_targets(path.core.state, boot_clock::now());
}

constexpr const char* promises[] = {"408", "421", "429", "503"};

}  // namespace

// Callers got a failing target's 503 for an order that had run, and sent the order again.
TEST_CASE("an order that has run is not answered with a promise that it has not [promise]") {
    for (const std::string status : promises) {
        CAPTURE(status);
        path_fixture path(request_kind::non_idempotent);
        path.target.script = {signed_answer(status), good_answer};
        path.post("r1");
        check_promises_nothing(path.receive("\r\n\r\n"));
        CHECK(path.target.received.size() == 1);
        CHECK(path.core.metrics.counters["unproven_refusals"] == 1);
    }
}

// An answer of more than 128 KiB is passed on before it is complete.
TEST_CASE("a long answer that promises too much is not passed on [promise]") {
    for (const std::string status : promises) {
        CAPTURE(status);
        path_fixture path(request_kind::non_idempotent);
        path.target.script = {signed_answer(status, "", long_body_bytes)};
        path.post("r1");
        check_promises_nothing(path.receive("\r\n\r\n"));
        CHECK(path.target.received.size() == 1);
    }
}

TEST_CASE("a dispatcher's answer that promises too much is not passed on [promise]") {
    const std::string may_have_run = "Mimosavalve-Verdict: may-have-run\r\n";
    for (const std::string status : promises) {
        for (const auto& fields : {std::string(), may_have_run}) {
            CAPTURE(status);
            CAPTURE(fields);
            dispatched_path path(request_kind::non_idempotent);
            path.target.script = {signed_answer(status, fields)};
            path.post("r1");
            check_promises_nothing(path.receive("\r\n\r\n"));
            CHECK(path.target.received.size() == 1);
        }
    }
}

// Targets of another service that had taken over an address answered 421 without saying more.
TEST_CASE("only another target's 421 alone proves that an order has not run [promise]") {
    for (const std::string id : {"t1", "t2"}) {
        CAPTURE(id);
        path_fixture path(request_kind::non_idempotent);
        path.target.script = {signed_answer("421", "Target: " + id + "\r\n")};
        path.post("r1");
        const auto answer = path.receive("\r\n\r\n");
        CHECK(answer.starts_with(id == "t1" ? "HTTP/1.1 502" : "HTTP/1.1 503"));
        CHECK(path.target.received.size() == 1);
    }
}

TEST_CASE("a long refusal is not passed on as the target's answer [promise]") {
    path_fixture path(request_kind::non_idempotent);
    path.target.script = {signed_answer("503", "Not-Run: 1\r\n", long_body_bytes)};
    path.post("r1");
    const auto answer = path.receive("\r\n\r\n");
    CHECK(answer.starts_with("HTTP/1.1 503"));
    CHECK(answer.find("not-run") != std::string::npos);
    CHECK(answer.find("Signature") == std::string::npos);
}

TEST_CASE("an idempotent request is sent again after a refusal without a proof [promise]") {
    path_fixture path(request_kind::idempotent);
    add_targets(path, {"t2"});
    path.target.script = {signed_answer("503"), good_answer};
    path.get("r1");
    CHECK(path.receive("hello").starts_with("HTTP/1.1 200"));
    CHECK(path.target.received.size() == 2);
}

TEST_CASE("refusals without a proof count for the route's largest number of sends [promise]") {
    path_fixture path(request_kind::idempotent);
    add_targets(path, {"t2", "t3"});
    path.target.script.assign(4, signed_answer("503"));
    path.get("r1");
    check_promises_nothing(path.receive("\r\n\r\n"));
    CHECK(path.target.received.size() == 2);
}

// A look-up that may have run was refused as one that has not.
TEST_CASE("a look-up that gets 421 without a proof is not refused as not run [promise]") {
    path_fixture path(request_kind::idempotent);
    add_targets(path, {"t2"});
    path.target.script = {signed_answer("421"), full_refusal};
    path.get("r1");
    check_promises_nothing(path.receive("\r\n\r\n"));
    CHECK(path.target.received.size() == 2);
}

TEST_CASE("other failures of targets are passed on unchanged [promise]") {
    for (const std::string status : {"400", "404", "500", "502", "504"}) {
        CAPTURE(status);
        path_fixture path(request_kind::non_idempotent);
        path.target.script = {signed_answer(status)};
        path.post("r1");
        const auto answer = path.receive("ffff");
        CHECK(answer.starts_with("HTTP/1.1 " + status));
        CHECK(answer.find("Signature: s") != std::string::npos);
    }
}
