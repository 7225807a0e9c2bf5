#include <doctest/doctest.h>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

#include <array>
#include <boost/asio/io_context.hpp>
#include <csignal>
#include <filesystem>
#include <fstream>
#include <string>
#include <vector>

#include "adapters/loopback.hpp"

namespace {

// A running program with its output; `finish` reads the output to its end and reaps it.
class child {
public:
    child(const std::string& program, std::vector<std::string> arguments) {
        std::array<int, 2> ends{};
        REQUIRE(pipe(ends.data()) == 0);
        posix_spawn_file_actions_t actions{};
        posix_spawn_file_actions_init(&actions);
        posix_spawn_file_actions_adddup2(&actions, ends[1], STDOUT_FILENO);
        posix_spawn_file_actions_adddup2(&actions, ends[1], STDERR_FILENO);
        posix_spawn_file_actions_addclose(&actions, ends[0]);
        auto path = std::string(MV_BINARY_DIR) + "/" + program;
        std::vector<char*> pointers{path.data()};
        for (auto& argument : arguments) {
            pointers.push_back(argument.data());
        }
        pointers.push_back(nullptr);
        const auto failed =
            posix_spawn(&id_, path.c_str(), &actions, nullptr, pointers.data(), environ);
        posix_spawn_file_actions_destroy(&actions);
        close(ends[1]);
        output_ = ends[0];
        REQUIRE(failed == 0);
    }
    child(const child&) = delete;
    child& operator=(const child&) = delete;
    ~child() {
        if (id_ != 0) {
            kill(id_, SIGKILL);
            waitpid(id_, nullptr, 0);
        }
        close(output_);
    }

    // Blocks until the output contains the text; false at the end of the output.
    bool wait_for(const std::string& text) {
        while (output.find(text) == std::string::npos) {
            if (!read_piece()) {
                return false;
            }
        }
        return true;
    }

    void terminate() const { kill(id_, SIGTERM); }

    // Exit code, or -1 when a signal ended the program.
    int finish() {
        while (read_piece()) {
        }
        int status = 0;
        waitpid(id_, &status, 0);
        id_ = 0;
        return WIFEXITED(status) ? WEXITSTATUS(status) : -1;
    }

    std::string output;

private:
    bool read_piece() {
        std::array<char, 4096> piece{};
        const auto count = read(output_, piece.data(), piece.size());
        output.append(piece.data(), count > 0 ? static_cast<std::size_t>(count) : 0);
        return count > 0;
    }

    pid_t id_ = 0;
    int output_ = -1;
};

// A file in a folder of this process's own, removed at the end.
class temporary_file {
public:
    temporary_file(const std::string& name, const std::string& content)
        : path_(std::filesystem::temp_directory_path() /
                ("mv-test-" + std::to_string(getpid()) + "-" + name)) {
        std::ofstream(path_) << content;
    }
    temporary_file(const temporary_file&) = delete;
    temporary_file& operator=(const temporary_file&) = delete;
    ~temporary_file() { std::filesystem::remove(path_); }

    [[nodiscard]] std::string path() const { return path_.string(); }

private:
    std::filesystem::path path_;
};

const std::vector<std::string> programs{"mv-store", "mv-hosts"};

}  // namespace

TEST_CASE("the stand-ins show help and version and end [program]") {
    for (const auto& program : programs) {
        child help(program, {"--help"});
        CHECK(help.finish() == 0);
        CHECK(help.output.find("--config") != std::string::npos);
        child version(program, {"--version"});
        CHECK(version.finish() == 0);
        CHECK(version.output.find("0.1.0") != std::string::npos);
    }
}

TEST_CASE("wrong arguments and missing files end with code 2 [program]") {
    for (const auto& program : programs) {
        CHECK(child(program, {}).finish() == 2);
        CHECK(child(program, {"--unknown"}).finish() == 2);
        child missing(program, {"--config", "/nonexistent/settings.yaml"});
        CHECK(missing.finish() == 2);
        CHECK(missing.output.find("/nonexistent/settings.yaml") != std::string::npos);
    }
}

// An operator has to find every fault in one run.
TEST_CASE("all faults of the settings are listed with file, line and field [program]") {
    const temporary_file store("store.yaml",
                               "listen: nowhere\ndelay_ms: fast\ncalls_per_second: [1]\n"
                               "colour: red\n");
    child bad_store("mv-store", {"--config", store.path()});
    CHECK(bad_store.finish() == 2);
    CHECK(bad_store.output.find(store.path() + ":1: listen is \"nowhere\"; allowed: ") !=
          std::string::npos);
    CHECK(bad_store.output.find(":2: delay_ms is \"fast\"; allowed: a number from 0") !=
          std::string::npos);
    CHECK(bad_store.output.find(":3: calls_per_second is ") != std::string::npos);
    CHECK(bad_store.output.find(":4: colour is ") != std::string::npos);

    const temporary_file hosts("hosts.yaml",
                               "lag_ms: -1\nhosts:\n  - id: a\n    role: chair\n"
                               "    address: 127.0.0.1:1\n    region: r\n    failure_domain: f\n"
                               "  - id: a\n    role: target\n    slots: 0\n    region: r\n"
                               "    failure_domain: f\n");
    child bad_hosts("mv-hosts", {"--config", hosts.path()});
    CHECK(bad_hosts.finish() == 2);
    CHECK(bad_hosts.output.find(":1: lag_ms is \"-1\"") != std::string::npos);
    CHECK(bad_hosts.output.find(":4: hosts[0].role is \"chair\"; allowed: router or target") !=
          std::string::npos);
    CHECK(bad_hosts.output.find(":10: hosts[1].slots is \"0\"") != std::string::npos);
    CHECK(bad_hosts.output.find("hosts[1].address is nothing") != std::string::npos);
    CHECK(bad_hosts.output.find("hosts[1].id is \"a\" a second time") != std::string::npos);

    const temporary_file broken("broken.yaml", "listen: [\n");
    for (const auto& program : programs) {
        child syntax(program, {"--config", broken.path()});
        CHECK(syntax.finish() == 2);
        CHECK(syntax.output.find(broken.path() + ":") != std::string::npos);
    }
}

TEST_CASE("the stand-ins serve, write their port and end cleanly on SIGTERM [program]") {
    for (const auto& program : programs) {
        const temporary_file port("port", "");
        const temporary_file settings("settings.yaml", "port_file: " + port.path() + "\n");
        child server(program, {"--config", settings.path()});
        REQUIRE(server.wait_for("listening on "));
        std::string number;
        std::ifstream(port.path()) >> number;
        boost::asio::io_context context;
        const auto* const path = program == "mv-store" ? "/stats" : "/hosts";
        const auto answer = loopback::send_raw(
            context, "127.0.0.1:" + number,
            std::string("GET ") + path + " HTTP/1.1\r\nConnection: close\r\n\r\n");
        CHECK(answer.starts_with("HTTP/1.1 200"));
        server.terminate();
        CHECK(server.finish() == 0);
    }
}
