#include "mimosavalve/gateway/crash_watch.hpp"

#include <doctest/doctest.h>

#include "mimosavalve/gateway/peer_messages.hpp"

using namespace mimosavalve::gateway;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

const boot_time start = boot_time(std::chrono::hours(1));

/// The leader's registry with the targets "t1" to "t4", and its crash watch.
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
        record_lost_connection(report, instance_name(id, targets.at(id)->entry.started_unix_ms),
                               fingerprint, at);
        add_report(watch, report, at);
    }
    void restart(const std::string& id) { ++targets.at(id)->entry.started_unix_ms; }

    std::map<std::string, std::unique_ptr<target_state>, std::less<>> targets;
    crash_watch watch;
};

}  // namespace

TEST_CASE("a request is quarantined after three targets have ended with it [crash_watch]") {
    watched_fleet fleet;
    fleet.lose("t1", 7, start);
    fleet.restart("t1");
    fleet.lose("t2", 7, start + seconds(2));
    fleet.targets.erase("t2");
    auto findings = find_crashes(fleet.watch, fleet.targets, start + seconds(3));
    CHECK(findings.suspects == std::set<std::uint64_t>{7});
    CHECK(findings.quarantined.empty());
    // The same target id, but another instance.
    fleet.lose("t1", 7, start + seconds(4));
    fleet.restart("t1");
    findings = find_crashes(fleet.watch, fleet.targets, start + seconds(5));
    CHECK(findings.quarantined == std::set<std::uint64_t>{7});
}

TEST_CASE("lost answers of targets that still run quarantine nothing [crash_watch]") {
    watched_fleet fleet;
    for (const auto* id : {"t1", "t2", "t3", "t4"}) {
        fleet.lose(id, 7, start);
    }
    const auto findings = find_crashes(fleet.watch, fleet.targets, start + seconds(1));
    CHECK(findings == crash_findings{});
}

TEST_CASE("a refused connection shows that an instance has ended [crash_watch]") {
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

// Guards against false quarantine: after a power loss of all hosts the new leader's registry lacked
// targets, and these reset connections that exceeded their maximum number.
TEST_CASE("losses of a target that the leader has not seen quarantine nothing [crash_watch]") {
    watched_fleet fleet;
    fleet.watch = {};
    fleet.targets.clear();
    for (const auto* id : {"t1", "t2", "t3"}) {
        crash_report report;
        record_lost_connection(report, instance_name(id, 1), 7, start);
        add_report(fleet.watch, report, start);
    }
    CHECK(find_crashes(fleet.watch, fleet.targets, start + seconds(1)) == crash_findings{});
}

// The router whose connection was refused may report before the routers that lost a request.
TEST_CASE("an instance that has ended confirms losses that are reported later [crash_watch]") {
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

TEST_CASE("an answered suspect is cleared, although its targets have ended [crash_watch]") {
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
    const auto findings = find_crashes(fleet.watch, fleet.targets, start + seconds(3));
    // Only the crash since then counts.
    CHECK(findings == crash_findings{{}, {}, {{instance_name("t3", 1), {7}, start + seconds(2)}}});
}

TEST_CASE(
    "a new leader keeps the requests quarantined that the former one quarantined [crash_watch]") {
    watched_fleet fleet;
    fleet.watch = resume_crash_watch({{8}, {7}}, fleet.targets, start);
    CHECK(find_crashes(fleet.watch, fleet.targets, start + seconds(1)) == crash_findings{{}, {7}});
}

// Guards against a request that crashes two more targets after each change of the leader.
TEST_CASE("a new leader counts the crashes that the former one had found [crash_watch]") {
    watched_fleet fleet;
    for (const auto* id : {"t1", "t2"}) {
        fleet.lose(id, 7, start);
        fleet.restart(id);
    }
    const auto announced = find_crashes(fleet.watch, fleet.targets, start + seconds(1));
    REQUIRE(announced.quarantined.empty());
    fleet.watch = resume_crash_watch(announced, fleet.targets, start + seconds(2));
    auto found = find_crashes(fleet.watch, fleet.targets, start + seconds(2));
    CHECK(found.quarantined.empty());
    CHECK(found.suspects == std::set<std::uint64_t>{7});
    fleet.lose("t3", 7, start + seconds(3));
    fleet.restart("t3");
    found = find_crashes(fleet.watch, fleet.targets, start + seconds(4));
    CHECK(found.quarantined == std::set<std::uint64_t>{7});
}

// Guards against a crash that is forgotten because the leader to which it was reported ended.
TEST_CASE("a crash that routers report again to a new leader counts once [crash_watch]") {
    watched_fleet fleet;
    fleet.watch = resume_crash_watch({}, fleet.targets, start);
    std::vector<crash_report::loss> kept;
    for (const auto* id : {"t1", "t2"}) {
        crash_report report;
        record_lost_connection(report, instance_name(id, 1), 7, start);
        keep_losses(kept, report, start);
        fleet.restart(id);
    }
    // Two routers have seen the same crashes, and one of them repeats its report.
    for (int report = 0; report < 3; ++report) {
        add_report(fleet.watch, {kept, {}, {}}, start + milliseconds(300 * report));
    }
    const auto found = find_crashes(fleet.watch, fleet.targets, start + seconds(1));
    CHECK(found.suspects == std::set<std::uint64_t>{7});
    CHECK(found.quarantined.empty());
    CHECK(found.crashes.size() == 2);
    auto later = kept;
    keep_losses(later, {{}, {}, {7}}, start + seconds(1));
    CHECK(later.empty());
    keep_losses(kept, {}, start + seconds(6));
    CHECK(kept.empty());
}

TEST_CASE("reports and findings of crashes are decoded as they were encoded [crash_watch]") {
    sync_request request;
    record_lost_connection(request.crashes, "t1@1", 7, boot_clock::now() - milliseconds(300));
    request.crashes.ended_instances = {"t2@1"};
    request.crashes.answered_suspects = {8, 9};
    const auto decoded = decode_sync_request(encode(request));
    REQUIRE(decoded);
    REQUIRE(decoded->crashes.losses.size() == 1);
    CHECK(decoded->crashes.losses[0].target_instance == "t1@1");
    CHECK(decoded->crashes.losses[0].fingerprint == 7);
    CHECK(decoded->crashes.losses[0].at <= boot_clock::now() - milliseconds(299));
    CHECK(decoded->crashes.ended_instances == request.crashes.ended_instances);
    CHECK(decoded->crashes.answered_suspects == request.crashes.answered_suspects);
    sync_reply reply;
    CHECK_FALSE(decode_sync_reply(encode(reply))->crashes);
    reply.crashes = {{7}, {8}};
    CHECK(decode_sync_reply(encode(reply))->crashes == reply.crashes);
    reply.crashes->crashes = {{"t1@1", {7, 9}, boot_clock::now() - milliseconds(300)}};
    const auto announced = decode_sync_reply(encode(reply))->crashes;
    REQUIRE(announced);
    REQUIRE(announced->crashes.size() == 1);
    CHECK(announced->crashes[0].target_instance == "t1@1");
    CHECK(announced->crashes[0].fingerprints == std::vector<std::uint64_t>{7, 9});
    CHECK(announced->crashes[0].at <= boot_clock::now() - milliseconds(299));
    CHECK(announced->crashes[0].at >= boot_clock::now() - milliseconds(1300));
}
