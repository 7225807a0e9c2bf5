// What the answer of a forwarded request says of the target that has given it.
#include <doctest/doctest.h>

#include <string>

#include "dispatched_path.hpp"

using namespace mimosavalve::gateway;
using namespace mimosavalve::gateway::testing;

namespace {

/// Answer of the target "t1", started at 5, that says that it leaves, passed on by a dispatcher.
std::string leaving_answer(const std::string& instance) {
    return "HTTP/1.1 200 OK\r\nRequest-Id: $ID\r\nSignature: s\r\nLeaving: 1\r\n"
           "Mimosavalve-Target: " +
           instance + "\r\nContent-Length: 5\r\n\r\nhello";
}

void set_up_leaving(path_fixture& path) {
    path.core.platform.decode_notice = [](const message_head& head) {
        answer_notice out;
        out.leaving = has_field(head, "Leaving");
        return out;
    };
    path.core.state.registry.targets.at("t1").started_unix_ms = 5;
    update_targets(path.core.state, boot_clock::now());
}

}  // namespace

// A router that passed on a leaving target's answer from a dispatcher sent it uploads for seconds.
TEST_CASE("what a target says in an answer from a dispatcher is noted [dispatch]") {
    for (const std::string instance : {"t1@5", "t1@4", "t2@5", "", "@"}) {
        CAPTURE(instance);
        dispatched_path path(request_kind::non_idempotent);
        set_up_leaving(path);
        path.target.script = {leaving_answer(instance)};
        path.post("r1");
        const auto answer = path.receive("hello");
        CHECK(answer.find("200 OK") != std::string::npos);
        CHECK(answer.find("Mimosavalve-Target") == std::string::npos);
        const auto& target = *path.core.state.targets.at("t1");
        CHECK(can_send_to(path.core.state, target, boot_clock::now()) == (instance != "t1@5"));
    }
}

TEST_CASE("a dispatcher names the target that has answered [dispatch]") {
    path_fixture path(request_kind::non_idempotent);
    set_up_leaving(path);
    std::vector<std::unique_ptr<caller_session>> forwarded;
    listener forward_listener(
        path.context, {boost::asio::ip::address_v4::loopback(), 0},
        [&](std::unique_ptr<stream> connection) {
            forwarded.push_back(std::make_unique<caller_session>(
                path.core, std::move(connection), [](caller_session*) {}, true));
        });
    path.caller.close();
    path.caller.connect(forward_listener.address());
    path.caller.non_blocking(true);
    path.target.script = {leaving_answer("t9@1"), full_refusal};
    path.post("r1");
    const auto answer = path.receive("hello");
    CHECK(answer.find("Mimosavalve-Target: t1@5\r\n") != std::string::npos);
    CHECK(answer.find("t9@1") == std::string::npos);
    path.post("r2");
    CHECK(path.receive("\r\n\r\n").find("Mimosavalve-Target") == std::string::npos);
}
