#include <doctest/doctest.h>

#include "path_fixture.hpp"

using namespace mimosavalve::gateway;
using namespace mimosavalve::gateway::testing;
using std::chrono::milliseconds;

namespace {

std::string misdirected_by(const std::string& id) {
    return "HTTP/1.1 421 Misdirected\r\nRequest-Id: $ID\r\nTarget: " + id +
           "\r\nContent-Length: 0\r\n\r\n";
}

void look_up(path_fixture& path, const std::string& id) {
    path.send("GET /7 HTTP/1.1\r\nHost: desk.example\r\nRequest-Id: " + id + "\r\nKey: 7\r\n\r\n");
}

}  // namespace

// A look-up was sent up to five times to an owner that did not hold its key.
TEST_CASE("a look-up is not sent again to the owner that answered 421 [owner_belief]") {
    path_fixture path(request_kind::idempotent);
    path.make_target_owner();
    path.target.script.assign(5, misdirected_by("t1"));
    look_up(path, "r1");
    for (int round = 0; round < 5; ++round) {
        path.settle();
        dispatch_waiting(path.core);
    }
    CHECK(path.target.received.size() == 1);
    // A new fence says that the target has received the keys since.
    assign(path.core.state.keys["orders"], {0, key_count - 1, "t1", 2, false, 0, 0});
    path.target.script = {good_answer};
    dispatch_waiting(path.core);
    CHECK(path.receive("hello").find("200 OK") != std::string::npos);
    CHECK(path.target.received.size() == 2);
}

// Each further look-up for the key was sent to the same owner at once.
TEST_CASE("a second look-up waits once the owner has answered 421 to the first [owner_belief]") {
    path_fixture path(request_kind::idempotent);
    path.make_target_owner();
    path.target.script = {misdirected_by("t1"), good_answer};
    look_up(path, "r1");
    path.settle();
    look_up(path, "r2");
    path.settle();
    CHECK(path.target.received.size() == 1);
}

// Requests without keys were sent again and again to an address that another target had taken.
TEST_CASE("an address where another target answers gets no more requests [owner_belief]") {
    path_fixture path(request_kind::idempotent);
    path.target.script.assign(4, misdirected_by("t2"));
    path.get("r1");
    CHECK(path.receive("\r\n\r\n").starts_with("HTTP/1.1 503"));
    path.get("r2");
    CHECK(path.receive("\r\n\r\n").starts_with("HTTP/1.1 503"));
    CHECK(path.target.received.size() == 1);
    // A new entry of the target is believed.
    path.core.state.registry.targets["t1"].started_unix_ms = 9;
    const auto removed = update_targets(path.core.state, boot_clock::now());
    path.target.script = {good_answer};
    path.get("r3");
    CHECK(path.receive("hello").find("200 OK") != std::string::npos);
}

namespace {

/// A map whose first half "a" owns under fence 5, and the rest "b" under fence 6.
key_map two_owners() {
    key_map map;
    map.segments = {{0, 32767, "a", 5, false, 1, 0}, {32768, key_count - 1, "b", 6, false, 1, 0}};
    return map;
}

constexpr boot_time start{std::chrono::hours(1)};

/// The owner of key 7 answers 421 to a request that is sent and answered at once.
bool refuse(owner_beliefs& beliefs, const key_map& map, boot_time at) {
    return record_misdirected(beliefs, "status", map, 7, segment_of(map, 7), at, at);
}

}  // namespace

// Without the doubled pause an owner that has lost its keys gets a request every 300 ms.
TEST_CASE("one request is sent in each pause, and the pauses double up to a limit [owner_belief]") {
    const auto map = two_owners();
    const auto& segment = segment_of(map, 7);
    owner_beliefs beliefs;
    auto now = start;
    CHECK(owner_pause_left(beliefs, "status", segment, now).count() == 0);
    for (const auto pause : {300, 600, 1200, 2400, 2400}) {
        CHECK(refuse(beliefs, map, now));
        CHECK(owner_pause_left(beliefs, "status", segment, now).count() == pause);
        now += milliseconds(pause);
        CHECK(owner_pause_left(beliefs, "status", segment, now).count() == 0);
        take_probe(beliefs, "status", segment, now);
        CHECK(owner_pause_left(beliefs, "status", segment, now).count() == pause);
    }
    CHECK(owner_pause_left(beliefs, "status", segment_of(map, 40000), now).count() == 0);
    CHECK(confirm_owner(beliefs, "status", segment, now));
    CHECK(owner_pause_left(beliefs, "status", segment, now).count() == 0);
}

// Twenty requests that were in flight together would make the pause the longest one at once.
TEST_CASE("answers to requests sent before the first 421 change nothing [owner_belief]") {
    const auto map = two_owners();
    const auto& segment = segment_of(map, 7);
    owner_beliefs beliefs;
    CHECK(refuse(beliefs, map, start));
    const auto sent_at = start - milliseconds(1);
    CHECK_FALSE(
        record_misdirected(beliefs, "status", map, 7, segment, sent_at, start + milliseconds(5)));
    CHECK_FALSE(confirm_owner(beliefs, "status", segment, sent_at));
    CHECK(owner_pause_left(beliefs, "status", segment, start).count() == 300);
}

TEST_CASE("a belief ends with its fence, and an answer under an old fence is void [owner_belief]") {
    const auto before = two_owners();
    owner_beliefs beliefs;
    CHECK(refuse(beliefs, before, start));
    for (const auto& change :
         {key_segment{0, 32767, "a", 9, false, 1, 0}, key_segment{0, 32767, "c", 9, false, 1, 0},
          key_segment{0, 32767, "a", 5, false, 2, 0}}) {
        auto after = before;
        assign(after, change);
        CHECK(contradiction_of(beliefs, "status", segment_of(after, 7)) == nullptr);
        owner_beliefs none;
        CHECK_FALSE(record_misdirected(none, "status", after, 7, segment_of(before, 7), start,
                                       start + milliseconds(1)));
    }
}

// Ranges split and join all day; what is remembered of them must not grow.
TEST_CASE("contradictions of ranges that no longer exist are forgotten [owner_belief]") {
    owner_beliefs beliefs;
    for (std::uint32_t first = 0; first < 100; ++first) {
        key_map map;
        assign(map, {first, key_count - 1, "a", first + 1, false, 1, 0});
        const auto& segment = segment_of(map, 500);
        CHECK(record_misdirected(beliefs, "status", map, 500, segment, start, start));
    }
    CHECK(beliefs.owners.at("status").size() == 1);
}

TEST_CASE("an address is believed again after its pause or with a new entry [owner_belief]") {
    target_entry entry;
    entry.id = "t1";
    entry.address = "10.0.0.1:80";
    entry.started_unix_ms = 4;
    owner_beliefs beliefs;
    CHECK(record_moved(beliefs, entry, start));
    CHECK_FALSE(record_moved(beliefs, entry, start + milliseconds(9)));
    CHECK(address_pause_left(beliefs, entry, start).count() == 5000);
    CHECK(address_pause_left(beliefs, entry, start + milliseconds(5000)).count() == 0);
    auto moved = entry;
    moved.address = "10.0.0.2:80";
    CHECK(address_pause_left(beliefs, moved, start).count() == 0);
    auto restarted = entry;
    restarted.started_unix_ms = 5;
    CHECK(address_pause_left(beliefs, restarted, start).count() == 0);
}
