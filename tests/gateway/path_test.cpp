#include "path_fixture.hpp"

#include <doctest/doctest.h>

using namespace mimosavalve::gateway;
using namespace mimosavalve::gateway::testing;
using std::chrono::milliseconds;

TEST_CASE("an answer is passed on unchanged and the connections are reused [path]") {
    path_fixture path(request_kind::idempotent);
    path.target.script = {good_answer, good_answer};
    path.get("r1");
    auto answer = path.receive("hello");
    CHECK(answer.find("200 OK") != std::string::npos);
    CHECK(answer.find("Signature: s") != std::string::npos);
    path.get("r2");
    CHECK(path.receive("hello").find("Request-Id: r2") != std::string::npos);
    CHECK(path.target.connections == 1);
    REQUIRE(path.target.received.size() == 2);
    CHECK(path.target.received[0].find("Expected: t1") != std::string::npos);
    CHECK(path.target.received[0].find("Deadline: ") != std::string::npos);
}

TEST_CASE("an answer to another request is discarded [path]") {
    path_fixture path(request_kind::non_idempotent);
    path.target.script = {
        "HTTP/1.1 200 OK\r\nRequest-Id: other\r\nSignature: s\r\nContent-Length: 5\r\n\r\nwrong" +
        good_answer};
    path.post("r1");
    const auto answer = path.receive("hello");
    CHECK(answer.find("wrong") == std::string::npos);
    CHECK(answer.find("hello") != std::string::npos);
    CHECK(path.core.metrics.counters["target_bytes_discarded"] == 1);
}

TEST_CASE("bytes after an answer are discarded with their connection [path]") {
    path_fixture path(request_kind::non_idempotent);
    path.target.script = {good_answer + "more", good_answer};
    path.post("r1");
    CHECK(path.receive("hello").find("more") == std::string::npos);
    CHECK(path.core.metrics.counters["target_bytes_discarded"] == 1);
    path.post("r2");
    CHECK(path.receive("hello").find("200 OK") != std::string::npos);
    CHECK(path.target.connections == 2);
}

// A faulty target sends a refusal twice; the copy has the id of the request that is sent again.
TEST_CASE("a copy of a refusal does not answer the next send of the same request [path]") {
    for (const std::string status : {"421 Misdirected", "503 Full", "429 Full"}) {
        CAPTURE(status);
        path_fixture path(request_kind::non_idempotent);
        path.make_target_owner();
        path.core.platform.decode_load = [](std::string_view) {
            return std::optional(target_load{0, 0, 4});
        };
        path.target.script = {
            "HTTP/1.1 " + status + "\r\nRequest-Id: $ID\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n",
            std::string(repeat) + good_answer};
        path.send(
            "POST /7 HTTP/1.1\r\nHost: desk.example\r\nRequest-Id: r1\r\nKey: 7\r\n"
            "Content-Length: 4\r\n\r\nbody");
        path.settle();
        if (status.starts_with("421")) {
            // The request is sent to the owner again only under a new fence.
            REQUIRE(path.core.waiting.size() == 1);
            assign(path.core.state.keys["orders"], {0, key_count - 1, "t1", 2, false, 1, 0});
            dispatch_waiting(path.core);
        }
        CHECK(path.receive("hello").find("200 OK") != std::string::npos);
        CHECK(path.core.waiting.empty());
        CHECK(path.target.received.size() == 2);
        CHECK(path.target.connections == 2);
        CHECK(path.core.state.targets["t1"]->open_connections == 1);
    }
}

TEST_CASE("a copy of a refusal does not answer the request that follows it [path]") {
    for (const std::string id_field : {"Request-Id: r1\r\n", ""}) {
        for (const std::string time : {"idle", "same segment", "with the answer", "then closes"}) {
            CAPTURE(id_field);
            CAPTURE(time);
            path_fixture path(request_kind::non_idempotent);
            const std::string copy =
                "HTTP/1.1 503 Full\r\n" + id_field + "Not-Run: 1\r\nContent-Length: 0\r\n\r\n";
            path.target.script = {full_refusal + (time == "same segment" ? copy : ""),
                                  (time == "with the answer" ? copy : "") + good_answer};
            if (time == "then closes") {
                path.target.script.back() = copy;
            }
            path.post("r1");
            CHECK(path.receive("\r\n\r\n").find("not-run") != std::string::npos);
            if (time == "idle") {
                path.target.send_unasked(copy);
                path.settle();
            }
            path.post("r2");
            if (time == "then closes") {
                path.settle();
                path.target.drop_connections();
                const auto answer = path.receive("\r\n\r\n");
                CHECK(answer.find("502") != std::string::npos);
                CHECK(answer.find("may-have-run") != std::string::npos);
            } else {
                CHECK(path.receive("hello").find("200 OK") != std::string::npos);
            }
            CHECK(path.target.received.size() == 2);
        }
    }
}

TEST_CASE("a target that starts to leave while its connection opens gets no request [path]") {
    path_fixture path(request_kind::non_idempotent);
    auto second = path.core.state.registry.targets.at("t1");
    second.id = "t2";
    path.target.script = {good_answer};
    path.post("r1");
    const auto& first = *path.core.state.targets.at("t1");
    for (int round = 0; round < 1000 && first.running == 0; ++round) {
        path.context.run_one_for(milliseconds(5));
        path.context.restart();
    }
    REQUIRE(first.running == 1);
    REQUIRE(path.target.received.empty());
    path.core.state.registry.targets["t1"].leaving = true;
    path.core.state.registry.targets.emplace("t2", second);
    update_targets(path.core.state, boot_clock::now());
    CHECK(path.receive("hello").find("200 OK") != std::string::npos);
    REQUIRE(path.target.received.size() == 1);
    CHECK(path.target.received[0].find("Expected: t2") != std::string::npos);
    CHECK(path.core.state.targets.at("t1")->running == 0);
    CHECK(path.core.state.targets.at("t1")->open_connections == 0);
}

TEST_CASE("a key that moves while a connection opens is asked at its new owner [path]") {
    path_fixture path(request_kind::idempotent);
    path.core.state.config.services["orders"].keyed = true;
    auto second = path.core.state.registry.targets.at("t1");
    second.id = "t2";
    path.core.state.registry.targets.emplace("t2", second);
    update_targets(path.core.state, boot_clock::now());
    auto& keys = path.core.state.keys["orders"];
    assign(keys, {0, key_count - 1, "t1", 1, false, 1, 0});
    path.target.script = {good_answer};
    path.send("GET /7 HTTP/1.1\r\nHost: desk.example\r\nRequest-Id: r1\r\nKey: 7\r\n\r\n");
    const auto& first = *path.core.state.targets.at("t1");
    for (int round = 0; round < 1000 && first.running == 0; ++round) {
        path.context.run_one_for(milliseconds(5));
        path.context.restart();
    }
    REQUIRE(path.target.received.empty());
    assign(keys, {0, key_count - 1, "t2", 2, false, 2, 0});
    CHECK(path.receive("hello").find("200 OK") != std::string::npos);
    REQUIRE(path.target.received.size() == 1);
    CHECK(path.target.received[0].find("Expected: t2") != std::string::npos);
}

// The kind was unknown, so that a lost answer failed the download although it may be repeated.
TEST_CASE("a download whose answer is lost is sent to another target [path]") {
    path_fixture path(request_kind::download);
    auto second = path.core.state.registry.targets.at("t1");
    second.id = "t2";
    path.core.state.registry.targets.emplace("t2", second);
    update_targets(path.core.state, boot_clock::now());
    path.target.script = {"CLOSE", good_answer};
    path.get("r1");
    CHECK(path.receive("hello").find("200 OK") != std::string::npos);
    CHECK(path.target.received.size() == 2);
}

TEST_CASE("a non-idempotent request whose answer is lost is not sent again [path]") {
    path_fixture path(request_kind::non_idempotent);
    path.target.script = {"CLOSE", good_answer};
    path.post("r1");
    const auto answer = path.receive("\r\n\r\n");
    CHECK(answer.find("502") != std::string::npos);
    CHECK(answer.find("may-have-run") != std::string::npos);
    CHECK(path.target.received.size() == 1);
}

TEST_CASE("an idempotent request whose answer breaks off is sent once more [path]") {
    path_fixture path(request_kind::idempotent);
    path.core.state.concurrency_quotas.clear();
    path.target.script = {
        "HTTP/1.1 200 OK\r\nRequest-Id: $ID\r\nSignature: s\r\nContent-Length: 50\r\n"
        "Connection: close\r\n\r\nhel",
        good_answer};
    path.get("r1");
    path.settle();
    CHECK(path.target.received.size() == 1);
}

// The first send may have run, even though the target did not run the second one.
TEST_CASE("a refused retry does not turn the verdict of the first send into not run [path]") {
    path_fixture path(request_kind::idempotent);
    target_entry second = path.core.state.registry.targets.at("t1");
    second.id = "t2";
    path.core.state.registry.targets.emplace("t2", second);
    update_targets(path.core.state, boot_clock::now());
    const std::string refusal =
        "HTTP/1.1 503 Full\r\nRequest-Id: $ID\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n";
    path.target.script = {"CLOSE", refusal, refusal};
    path.get("r1");
    const auto answer = path.receive("\r\n\r\n");
    CHECK(path.target.received.size() >= 2);
    CHECK(answer.find("502") != std::string::npos);
    CHECK(answer.find("may-have-run") != std::string::npos);
}

TEST_CASE("a success without the target's signature is not passed on [path]") {
    path_fixture path(request_kind::non_idempotent);
    path.target.script = {"HTTP/1.1 200 OK\r\nRequest-Id: $ID\r\nContent-Length: 5\r\n\r\nwrong"};
    path.post("r1");
    const auto answer = path.receive("\r\n\r\n");
    CHECK(answer.find("502") != std::string::npos);
    CHECK(answer.find("wrong") == std::string::npos);
}

TEST_CASE("a refusal by the only target is passed on as not run, with a time to retry [path]") {
    path_fixture path(request_kind::non_idempotent);
    path.target.script = {
        "HTTP/1.1 503 Full\r\nRequest-Id: $ID\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n"};
    path.post("r1");
    const auto answer = path.receive("\r\n\r\n");
    CHECK(answer.find("503") != std::string::npos);
    CHECK(answer.find("not-run") != std::string::npos);
    CHECK(answer.find("Retry-After: ") != std::string::npos);
    CHECK(path.target.received.size() == 1);
}

TEST_CASE("a target that asks for a pause is not asked again, and the caller is told [path]") {
    path_fixture path(request_kind::non_idempotent);
    path.core.platform.decode_notice = [](const message_head& head) {
        answer_notice out;
        if (has_field(head, "Pause")) {
            out.pause = milliseconds(300);
        }
        return out;
    };
    path.target.script = {
        "HTTP/1.1 503 Full\r\nRequest-Id: $ID\r\nNot-Run: 1\r\nPause: 1\r\nContent-Length: "
        "0\r\n\r\n",
        good_answer};
    path.post("r1");
    path.receive("\r\n\r\n");
    path.post("r2");
    const auto answer = path.receive("\r\n\r\n");
    CHECK(answer.find("503") != std::string::npos);
    CHECK(answer.find("not-run") != std::string::npos);
    CHECK(answer.find("target-paused") != std::string::npos);
    CHECK(path.target.received.size() == 1);
    path.context.run_for(milliseconds(300));
    path.context.restart();
    path.post("r3");
    CHECK(path.receive("hello").find("200 OK") != std::string::npos);
}

TEST_CASE(
    "a request without an answer in time gets a final answer without a time to retry [path]") {
    path_fixture path(request_kind::non_idempotent);
    path.target.script = {""};
    path.post("r1");
    path.settle();
    REQUIRE(path.target.received.size() == 1);
    path.expire_all();
    const auto answer = path.receive("\r\n\r\n");
    CHECK(answer.find("504") != std::string::npos);
    CHECK(answer.find("Retry-After") == std::string::npos);
}

TEST_CASE("a request that could not be sent at all is refused as not run [path]") {
    path_fixture path(request_kind::non_idempotent);
    path.make_target_unreachable();
    path.post("r1");
    const auto answer = path.receive("\r\n\r\n");
    CHECK(answer.find("503") != std::string::npos);
    CHECK(answer.find("not-run") != std::string::npos);
}

TEST_CASE("only a refused connection is recorded as the end of a target [path]") {
    path_fixture path(request_kind::non_idempotent);
    path.make_target_unreachable();
    path.post("r1");
    path.receive("\r\n\r\n");
    CHECK(path.core.crashes.ended_instances == std::set<std::string>{instance_name("t1", 0)});
    path.core.crashes = {};
    // A full accept queue makes further connects time out.
    boost::asio::ip::tcp::acceptor silent(path.context,
                                          {boost::asio::ip::address_v4::loopback(), 0});
    silent.listen(0);
    std::vector<tcp::socket> pending_connects;
    for (int count = 0; count < 4; ++count) {
        pending_connects.emplace_back(path.context, tcp::v4());
        pending_connects.back().native_non_blocking(true);
        const auto to = silent.local_endpoint();
        // The connect succeeds later or never.
        static_cast<void>(::connect(pending_connects.back().native_handle(), to.data(),
                                    static_cast<socklen_t>(to.size())));
    }
    path.core.state.targets["t1"]->entry.address =
        "127.0.0.1:" + std::to_string(silent.local_endpoint().port());
    path.core.state.targets["t1"]->unreachable_until = {};
    path.core.state.targets["t1"]->avoid_until = {};
    path.post("r2");
    CHECK(path.receive("\r\n\r\n").find("503") != std::string::npos);
    CHECK(path.core.crashes.ended_instances.empty());
}

TEST_CASE("a request that has waited is not sent if its caller has left unnoticed [path]") {
    for (const bool leaves_while_connecting : {false, true}) {
        CAPTURE(leaves_while_connecting);
        path_fixture path(request_kind::idempotent);
        path.make_target_owner();
        assign(path.core.state.keys["orders"], {0, key_count - 1, "", 0, false, 1, 0});
        path.send("GET /7 HTTP/1.1\r\nHost: desk.example\r\nRequest-Id: r1\r\nKey: 7\r\n\r\n");
        path.settle();
        REQUIRE(path.core.waiting.size() == 1);
        auto* request = path.core.waiting.front();
        path.context.run_for(milliseconds(260));
        path.context.restart();
        path.make_target_owner();
        if (leaves_while_connecting) {
            dispatch_waiting(path.core);
            path.caller.close();
        } else {
            path.caller.close();
            dispatch_waiting(path.core);
            CHECK(request->is_done());
        }
        path.settle();
        CHECK(path.target.received.empty());
        CHECK(path.core.state.targets["t1"]->running == 0);
        CHECK(path.core.metrics.counters["callers_left"] == 1);
    }
}

TEST_CASE("the target's connection is closed when the caller leaves [path]") {
    path_fixture path(request_kind::idempotent);
    path.target.script = {""};
    path.get("r1");
    path.settle();
    REQUIRE(path.target.received.size() == 1);
    CHECK(path.core.state.targets["t1"]->running == 1);
    path.caller.close();
    path.settle();
    CHECK(path.core.state.targets["t1"]->running == 0);
    CHECK(path.core.idle_links["t1"].empty());
}

// A target may restart under the same id; lost requests of its former instance say nothing about
// the new one.
TEST_CASE("a lost answer of a target's former instance does not count against the new one [path]") {
    path_fixture path(request_kind::non_idempotent);
    path.target.script = {""};
    path.post("r1");
    path.settle();
    REQUIRE(path.target.received.size() == 1);
    path.core.state.registry.targets["t1"].started_unix_ms = 2;
    const auto removed = update_targets(path.core.state, boot_clock::now());
    REQUIRE(removed.size() == 1);
    path.target.drop_connections();
    CHECK(path.receive("\r\n\r\n").find("502") != std::string::npos);
    CHECK(path.core.state.targets["t1"]->consecutive_failures == 0);
    CHECK(path.core.state.targets["t1"]->running == 0);
}

TEST_CASE("a quarantined request reaches no target, and others do [path]") {
    path_fixture path(request_kind::non_idempotent);
    mimosavalve::traffic::request_head head;
    head.method = "POST";
    head.route = "orders";
    head.account = "desk.example";
    head.id = "/7";
    path.core.announced_crashes.quarantined = {mimosavalve::traffic::fingerprint_of(head, "body")};
    path.target.script = {good_answer};
    const std::string start = "POST /7 HTTP/1.1\r\nHost: desk.example\r\nContent-Length: 4\r\n";
    path.send(start + "Request-Id: r1\r\n\r\nbo");
    path.settle();
    CHECK(path.target.received.empty());  // Not decided before the rest of the body has arrived.
    path.send("dy");
    const auto refusal = path.receive("\r\n\r\n");
    CHECK(refusal.find("503") != std::string::npos);
    CHECK(refusal.find("not-run") != std::string::npos);
    CHECK(path.target.received.empty());
    path.send(start + "Request-Id: r2\r\n\r\nhe");
    path.settle();
    path.send("re");
    CHECK(path.receive("hello").find("200") != std::string::npos);
    REQUIRE(path.target.received.size() == 1);
    CHECK(path.target.received[0].find("\r\n\r\nhere") != std::string::npos);
}

// Guards against the delivery of an abandoned grant once a network partition has healed, which gave
// keys back to a target that had lost them.
TEST_CASE("a call that times out resets its connection [path]") {
    boost::asio::io_context context;
    boost::asio::ip::tcp::acceptor acceptor(context, {boost::asio::ip::address_v4::loopback(), 0});
    call_client calls(context);
    std::error_code call_error;
    calls.send(acceptor.local_endpoint(), {"GET", "/7", "", "", {}, {}},
               std::chrono::steady_clock::now() + milliseconds(50),
               [&](std::error_code error, const call_answer&) { call_error = error; });
    auto accepted = acceptor.accept();
    accepted.non_blocking(true);
    boost::system::error_code read_error;
    std::array<char, 1024> bytes{};
    for (int round = 0;
         round < 400 && !(read_error && read_error != boost::asio::error::would_block); ++round) {
        context.run_for(milliseconds(5));
        context.restart();
        accepted.read_some(boost::asio::buffer(bytes), read_error);
    }
    CHECK(call_error == std::errc::timed_out);
    CHECK(read_error == boost::asio::error::connection_reset);
}

TEST_CASE("a stopping router refuses new requests as not run and closes the connection [path]") {
    path_fixture path(request_kind::non_idempotent);
    path.core.stopping = true;
    path.core.answers_until = std::chrono::steady_clock::now();
    path.post("r1");
    const auto answer = path.receive("<closed>");
    CHECK(answer.find("503") != std::string::npos);
    CHECK(answer.find("Connection: close") != std::string::npos);
    CHECK(path.target.received.empty());
}

TEST_CASE("a long chunked body reaches the target completely [path]") {
    path_fixture path(request_kind::upload);
    path.target.script = {""};
    const std::string piece(5000, 'x');
    path.send(
        "POST /7 HTTP/1.1\r\nHost: desk.example\r\nRequest-Id: r1\r\n"
        "Transfer-Encoding: chunked\r\n\r\n");
    for (int count = 0; count < 40; ++count) {
        path.send("1388\r\n" + piece + "\r\n");
        path.context.run_for(milliseconds(2));
        path.context.restart();
    }
    path.send("0\r\n\r\n");
    path.context.run_for(milliseconds(100));
    path.context.restart();
    REQUIRE(path.target.received.size() == 1);
    const auto& text = path.target.received.front();
    CHECK(std::count(text.begin() + static_cast<long>(text.find("\r\n\r\n")), text.end(), 'x') ==
          200'000);
    CHECK(text.ends_with("0\r\n\r\n"));
}
