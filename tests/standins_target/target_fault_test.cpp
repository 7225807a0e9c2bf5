#include <doctest/doctest.h>
#include <spawn.h>
#include <sys/wait.h>

#include <array>
#include <csignal>
#include <random>

#include "mimosavalve/standins/target_faults.hpp"
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

/// The program itself, for faults that end a process.
class target_process {
public:
    target_process(const std::string& port_file, const std::string& history_file) {
        std::vector<std::string> words{std::string(MV_BINARY_DIR) + "/mv-target",
                                       "--id",
                                       "p1",
                                       "--service",
                                       "status",
                                       "--region",
                                       "bagmati",
                                       "--failure-domain",
                                       "bagmati-a",
                                       "--port-file",
                                       port_file,
                                       "--history-file",
                                       history_file};
        std::vector<char*> arguments;
        arguments.reserve(words.size() + 1);
        for (auto& word : words) {
            arguments.push_back(word.data());
        }
        arguments.push_back(nullptr);
        if (posix_spawn(&process_, arguments.front(), nullptr, nullptr, arguments.data(),
                        environ) != 0) {
            throw std::runtime_error("mv-target can't be started");
        }
    }
    ~target_process() {
        if (!ended_) {
            kill(process_, SIGKILL);
            wait();
        }
    }
    target_process(const target_process&) = delete;
    target_process& operator=(const target_process&) = delete;

    void signal(int number) const { kill(process_, number); }
    int wait() {
        int status = 0;
        waitpid(process_, &status, 0);
        ended_ = true;
        return status;
    }

private:
    pid_t process_ = 0;
    bool ended_ = false;
};

std::uint16_t wait_for_port(const scratch_file& port_file) {
    REQUIRE(eventually([&] { return !port_file.text().empty(); }));
    return static_cast<std::uint16_t>(std::stoul(port_file.text()));
}

}  // namespace

TEST_CASE("silent connections answer nothing while new ones work [target_faults]") {
    const running_target target(unkeyed_target());
    test_client old(target.port());
    CHECK(old.exchange(plain_request("old.1")).result_int() == 200);
    REQUIRE(send_fault(target.port(), R"({"silent":true})") == 200);
    old.send(plain_request("old.2"));
    test_client fresh(target.port());
    CHECK(fresh.exchange(plain_request("new.1")).result_int() == 200);
    CHECK_FALSE(old.has_bytes());
}

TEST_CASE("answers can carry another id, come late or be refused [target_faults]") {
    const running_target target(unkeyed_target());
    test_client client(target.port());
    CHECK(client.exchange(plain_request("r1.1"))["Request-Id"] == "r1.1");
    REQUIRE(send_fault(target.port(), R"({"wrong_request_id":true,"answer_late_ms":200})") == 200);
    const auto sent = std::chrono::steady_clock::now();
    CHECK(client.exchange(plain_request("r2.1"))["Request-Id"] != "r2.1");
    CHECK(std::chrono::steady_clock::now() - sent >= std::chrono::milliseconds(200));
    REQUIRE(send_fault(target.port(),
                       R"({"wrong_request_id":false,"answer_late_ms":0,"refuse":true})") == 200);
    const auto refused = client.exchange(plain_request("r3.1"));
    CHECK(refused["Target-Reason"] == "overloaded");
    CHECK(refused["Request-Id"] == "r3.1");
}

TEST_CASE("a closed port refuses connections and opens again [target_faults]") {
    const running_target target(unkeyed_target());
    REQUIRE(send_fault(target.port(), R"({"refuse_ms":200})") == 200);
    const auto connects = [&] {
        try {
            test_client client(target.port());
            return client.exchange(plain_request("r1.1")).result_int() == 200;
        } catch (const boost::system::system_error&) {
            return false;
        }
    };
    CHECK(eventually([&] { return !connects(); }));
    CHECK(eventually(connects));
}

TEST_CASE("fault orders with unknown or mistyped fields are refused [target_faults]") {
    const running_target target(unkeyed_target());
    for (const auto* body : {"", "7", R"({"melt":true})", R"({"freeze_ms":-1})", R"({"silent":1})",
                             R"({"slow_factor":"x"})", R"({"crash_on":1})"}) {
        CHECK(send_fault(target.port(), body) == 400);
    }
    std::mt19937 random(20261204);
    const std::string whole = R"({"slow_factor":2.5,"crash_on":"/k7","silent":false})";
    for (int round = 0; round < 2000; ++round) {
        auto text = whole;
        text[random() % text.size()] = static_cast<char>(random() % 256);
        std::string problem;
        const auto order = standins::parse_fault_order(text, problem);
        CHECK(order.has_value() == problem.empty());
    }
}

// The history has to show the request that ended the process, or crashing requests look harmless.
TEST_CASE("a crashing request ends the process after its start is recorded [target_faults]") {
    const scratch_file port_file;
    const scratch_file history;
    target_process process(port_file.name(), history.name());
    const auto port = wait_for_port(port_file);
    REQUIRE(send_fault(port, R"({"crash_on":"/k66"})") == 200);
    REQUIRE(order(port, "/grant", "1.5") == 200);
    test_client client(port);
    CHECK(client.exchange(keyed_request("r1.1")).result_int() == 200);
    auto crashing = keyed_request("r2.1");
    crashing.target("/status/ward-1/k66");
    client.send(crashing);
    const auto status = process.wait();
    CHECK(WIFSIGNALED(status));
    CHECK(WTERMSIG(status) == SIGABRT);
    CHECK(history.contains("\"request_id\":\"r2.1\""));
}

TEST_CASE("SIGTERM ends the program with exit code 0 [target_faults]") {
    const scratch_file port_file;
    const scratch_file history;
    target_process process(port_file.name(), history.name());
    wait_for_port(port_file);
    process.signal(SIGTERM);
    const auto status = process.wait();
    CHECK(WIFEXITED(status));
    CHECK(WEXITSTATUS(status) == 0);
}

TEST_CASE("work that a pause held up longer than its hold has no effect [target_faults]") {
    scratch_file history;
    auto settings = small_target();
    settings.history_file = history.name();
    settings.work.mean_ms = 300;
    const running_target target(settings);
    REQUIRE(order(target.port(), "/grant", "1.5") == 200);
    test_client client(target.port());
    client.send(keyed_request("r1"));
    REQUIRE(eventually([&] { return history.contains(R"("event":"start")"); }));
    REQUIRE(send_fault(target.port(), R"({"freeze_ms":600})") == 200);
    CHECK(client.receive().result_int() == 500);
    CHECK(eventually([&] { return history.contains(R"("event":"cancel")"); }));
    CHECK_FALSE(history.contains(R"("event":"end")"));
}
