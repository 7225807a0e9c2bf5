#include "mimosavalve/gateway/crash_watch.hpp"

#include <doctest/doctest.h>

#include "mimosavalve/gateway/peer_messages.hpp"

using namespace mimosavalve::gateway;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

const boot_time start = boot_time(std::chrono::hours(1));

/// The leader's view of the targets "t1" to "t4".
struct watched_fleet {
    watched_fleet() {
        for (const auto* id : {"t1", "t2", "t3", "t4"}) {
            auto target = std::make_unique<target_state>();
            target->entry.id = id;
            target->entry.started_unix_ms = 1;
            targets.emplace(id, std::move(target));
        }
        find_crashes(watch, targets, start);
    }
    void lose(const std::string& id, std::uint64_t fingerprint, boot_time at) {
        crash_report report;
        record_loss(report, instance_name(id, targets.at(id)->entry.started_unix_ms), fingerprint,
                    at);
        add_report(watch, report, at);
    }
    void restart(const std::string& id) { ++targets.at(id)->entry.started_unix_ms; }

    std::map<std::string, std::unique_ptr<target_state>, std::less<>> targets;
    crash_watch watch;
};

}  // namespace

TEST_CASE("a request is held back once three targets have ended with it [crash_watch]") {
    watched_fleet fleet;
    fleet.lose("t1", 7, start);
    fleet.restart("t1");
    fleet.lose("t2", 7, start + seconds(2));
    fleet.targets.erase("t2");
    auto news = find_crashes(fleet.watch, fleet.targets, start + seconds(3));
    CHECK(news.suspects == std::set<std::uint64_t>{7});
    CHECK(news.quarantined.empty());
    // The same target under its id, but in another run.
    fleet.lose("t1", 7, start + seconds(4));
    fleet.restart("t1");
    news = find_crashes(fleet.watch, fleet.targets, start + seconds(5));
    CHECK(news.quarantined == std::set<std::uint64_t>{7});
}

TEST_CASE("lost answers of targets that go on hold nothing back [crash_watch]") {
    watched_fleet fleet;
    for (const auto* id : {"t1", "t2", "t3", "t4"}) {
        fleet.lose(id, 7, start);
    }
    const auto news = find_crashes(fleet.watch, fleet.targets, start + seconds(1));
    CHECK(news == crash_findings{});
}

TEST_CASE("a refused connection tells that a run has ended [crash_watch]") {
    watched_fleet fleet;
    for (const auto* id : {"t1", "t2", "t3"}) {
        fleet.lose(id, 7, start);
        crash_report report;
        report.ended_instances.insert(instance_name(id, 1));
        add_report(fleet.watch, report, start + milliseconds(100));
    }
    CHECK(find_crashes(fleet.watch, fleet.targets, start + seconds(1)).quarantined ==
          std::set<std::uint64_t>{7});
}

// Found on a standard day: after a power loss of all hosts the new leader did not know all targets
// yet, while these reset connections beyond their bound.
TEST_CASE("losses of a target that the leader does not know hold nothing back [crash_watch]") {
    watched_fleet fleet;
    fleet.watch = {};
    fleet.targets.clear();
    for (const auto* id : {"t1", "t2", "t3"}) {
        crash_report report;
        record_loss(report, instance_name(id, 1), 7, start);
        add_report(fleet.watch, report, start);
    }
    CHECK(find_crashes(fleet.watch, fleet.targets, start + seconds(1)) == crash_findings{});
}

// The router that is refused a connection may report before those that lost a request.
TEST_CASE(
    "a run that is known to have ended confirms losses that are reported later [crash_watch]") {
    watched_fleet fleet;
    for (const auto* id : {"t1", "t2", "t3"}) {
        crash_report report;
        report.ended_instances.insert(instance_name(id, 1));
        add_report(fleet.watch, report, start + milliseconds(100));
        find_crashes(fleet.watch, fleet.targets, start + milliseconds(100));
        fleet.lose(id, 7, start);
    }
    CHECK(find_crashes(fleet.watch, fleet.targets, start + seconds(1)).quarantined ==
          std::set<std::uint64_t>{7});
}

TEST_CASE("an answered suspect is absolved, though its targets have ended [crash_watch]") {
    watched_fleet fleet;
    for (const auto* id : {"t1", "t2"}) {
        fleet.lose(id, 7, start);
        fleet.restart(id);
    }
    CHECK_FALSE(find_crashes(fleet.watch, fleet.targets, start + seconds(1)).suspects.empty());
    crash_report report;
    report.answered_suspects.insert(7);
    add_report(fleet.watch, report, start + seconds(1));
    fleet.lose("t3", 7, start + seconds(2));
    fleet.restart("t3");
    CHECK(find_crashes(fleet.watch, fleet.targets, start + seconds(3)) == crash_findings{});
}

TEST_CASE("a new leader goes on holding back what the former one held back [crash_watch]") {
    watched_fleet fleet;
    fleet.watch = resume_crash_watch({{8}, {7}}, start);
    CHECK(find_crashes(fleet.watch, fleet.targets, start + seconds(1)) == crash_findings{{}, {7}});
}

TEST_CASE("reports and news of crashes arrive as they were sent [crash_watch]") {
    sync_request request;
    record_loss(request.crashes, "t1@1", 7, boot_clock::now() - milliseconds(300));
    request.crashes.ended_instances = {"t2@1"};
    request.crashes.answered_suspects = {8, 9};
    const auto got = decode_sync_request(encode(request));
    REQUIRE(got);
    REQUIRE(got->crashes.losses.size() == 1);
    CHECK(got->crashes.losses[0].target_instance == "t1@1");
    CHECK(got->crashes.losses[0].fingerprint == 7);
    CHECK(got->crashes.losses[0].at <= boot_clock::now() - milliseconds(299));
    CHECK(got->crashes.ended_instances == request.crashes.ended_instances);
    CHECK(got->crashes.answered_suspects == request.crashes.answered_suspects);
    sync_reply reply;
    CHECK_FALSE(decode_sync_reply(encode(reply))->crashes);
    reply.crashes = {{7}, {8}};
    CHECK(decode_sync_reply(encode(reply))->crashes == reply.crashes);
}
