#include <doctest/doctest.h>
#include <sys/wait.h>

#include <array>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <cstdio>
#include <functional>
#include <thread>

#include "mimosavalve/adapters/http_operator.hpp"

namespace cmd = mimosavalve::command;
namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;
using namespace std::chrono_literals;

namespace {

using request = http::request<http::string_body>;

// Answers the given number of connections with one result, then stops.
class admin_server {
public:
    admin_server(int connections, cmd::command_result result, bool answers = true)
        : result_(std::move(result)), answers_(answers) {
        acceptor_.listen();
        thread_ = std::thread([this, connections] {
            for (int each = 0; each < connections; ++each) {
                serve();
            }
        });
    }

    ~admin_server() { join(); }
    admin_server(const admin_server&) = delete;
    admin_server& operator=(const admin_server&) = delete;

    [[nodiscard]] std::string address() const {
        return "127.0.0.1:" + std::to_string(acceptor_.local_endpoint().port());
    }

    const std::vector<request>& requests() {
        join();
        return requests_;
    }

private:
    void join() {
        if (thread_.joinable()) {
            thread_.join();
        }
    }

    void serve() {
        beast::error_code error;
        asio::ip::tcp::socket socket(context_);
        acceptor_.accept(socket, error);
        beast::flat_buffer buffer;
        request read;
        http::read(socket, buffer, read, error);
        requests_.push_back(read);
        if (!answers_) {
            return;
        }
        const bool json = read["Output"] == "json";
        http::response<http::string_body> out{
            static_cast<http::status>(cmd::http_status_of(result_.how)), 11};
        out.set("Command-Outcome", std::string(cmd::to_string(result_.how)));
        out.body() = json ? cmd::to_json(result_) : cmd::to_table(result_);
        out.prepare_payload();
        http::write(socket, out, error);
    }

    asio::io_context context_;
    asio::ip::tcp::acceptor acceptor_{context_, {asio::ip::make_address_v4("127.0.0.1"), 0}};
    cmd::command_result result_;
    bool answers_;
    std::vector<request> requests_;
    std::thread thread_;
};

// An address of this host where nothing listens any more.
std::string closed_address() {
    asio::io_context context;
    const asio::ip::tcp::acceptor acceptor(context, {asio::ip::make_address_v4("127.0.0.1"), 0});
    return "127.0.0.1:" + std::to_string(acceptor.local_endpoint().port());
}

struct program_result {
    int code = -1;
    std::string output;
};

program_result mvctl(const std::string& arguments, const std::string& input = "/dev/null") {
    const auto line = std::string(MV_BINARY_DIR) + "/mvctl " + arguments + " 2>&1 <" + input;
    auto* pipe = popen(line.c_str(), "r");
    REQUIRE(pipe != nullptr);
    program_result out;
    std::array<char, 4096> buffer{};
    while (const auto count = fread(buffer.data(), 1, buffer.size(), pipe)) {
        out.output.append(buffer.data(), count);
    }
    const auto status = pclose(pipe);
    out.code = WIFEXITED(status) ? WEXITSTATUS(status) : -1;
    return out;
}

cmd::command_result result_with(cmd::outcome how, std::string message) {
    cmd::command_result out;
    out.how = how;
    out.message = std::move(message);
    return out;
}

}  // namespace

TEST_CASE("mvctl sends a command and prints the answer [mvctl]") {
    admin_server server(2, result_with(cmd::outcome::done, "2 routers"));
    const auto table = mvctl("--router " + server.address() + " 'show routers'");
    CHECK(table.code == 0);
    CHECK(table.output == "2 routers\n");
    const auto json = mvctl("--json --router " + server.address() + " 'show routers'");
    CHECK(json.output.starts_with(R"({"outcome":"done","message":"2 routers")"));
    const auto& requests = server.requests();
    REQUIRE(requests.size() == 2);
    CHECK(requests[0].method() == http::verb::post);
    CHECK(requests[0].target() == "/command");
    CHECK(requests[0].body() == "show routers");
}

TEST_CASE("mvctl goes on to the next router for a query [mvctl]") {
    admin_server silent(1, {}, false);
    admin_server server(1, result_with(cmd::outcome::done, "ok"));
    const auto result = mvctl("--router " + closed_address() + "," + silent.address() + "," +
                              server.address() + " status");
    CHECK(result.code == 0);
    CHECK(result.output == "ok\n");
}

// Guards against a second effect when the answer of the first router is lost.
TEST_CASE("mvctl repeats a change under the same identity [mvctl]") {
    admin_server silent(1, {}, false);
    admin_server server(1, result_with(cmd::outcome::done, "recorded"));
    const auto result =
        mvctl("--router " + silent.address() + "," + server.address() + " 'drain target t-1'");
    CHECK(result.code == 0);
    REQUIRE(silent.requests().size() == 1);
    REQUIRE(server.requests().size() == 1);
    CHECK(silent.requests()[0].body().find(" --id mvctl-") != std::string::npos);
    CHECK(silent.requests()[0].body() == server.requests()[0].body());
}

TEST_CASE("the exit code of mvctl tells how the command ended [mvctl]") {
    for (const auto how : {cmd::outcome::done, cmd::outcome::refused, cmd::outcome::bad_command,
                           cmd::outcome::unreachable, cmd::outcome::may_have_run}) {
        admin_server server(1, result_with(how, "message"));
        CHECK(mvctl("--router " + server.address() + " 'drain target t-1'").code ==
              static_cast<int>(how));
    }
    CHECK(mvctl("--router " + closed_address() + " status").code == 3);
    CHECK(mvctl("--router " + closed_address() + " 'show ownr'").code == 2);
}

TEST_CASE("mvctl explains its usage [mvctl]") {
    CHECK(mvctl("--help").code == 0);
    CHECK(mvctl("--version").code == 0);
    CHECK(mvctl("").code == 2);
    CHECK(mvctl("--router localhost:1 status").code == 2);
    CHECK(mvctl("--router 127.0.0.1:1 --colour status").code == 2);
}

TEST_CASE("mvctl reads commands from its input [mvctl]") {
    admin_server server(2, result_with(cmd::outcome::done, "ok"));
    const std::string input = std::string(MV_BINARY_DIR) + "/mvctl_test_input.txt";
    auto* file = fopen(input.c_str(), "w");
    REQUIRE(file != nullptr);
    fputs("# comment\n\nstatus\nshow ownr\nshow targets\nquit\nstatus\n", file);
    fclose(file);
    const auto result = mvctl("--router " + server.address(), input);
    CHECK(result.code == 2);
    CHECK(server.requests().size() == 2);
}

TEST_CASE("an answer that takes too long is no answer [mvctl]") {
    asio::io_context context;
    asio::ip::tcp::acceptor acceptor(context, {asio::ip::make_address_v4("127.0.0.1"), 0});
    const auto address = "127.0.0.1:" + std::to_string(acceptor.local_endpoint().port());
    const auto answer =
        mimosavalve::adapters::send_command(address, "status", cmd::output_format::table, 50ms);
    CHECK(answer.status == cmd::exchange_status::no_answer);
}
