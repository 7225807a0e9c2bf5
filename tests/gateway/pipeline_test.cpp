// Requests that callers send before earlier ones are answered.
#include <doctest/doctest.h>

#include <algorithm>
#include <random>

#include "path_fixture.hpp"

using namespace mimosavalve::gateway;
using namespace mimosavalve::gateway::testing;

namespace {

/// A caller that pipelines look-ups, and orders (paths that begin with "/orders/"), to a target
/// with room for all of them.
struct pipeline_fixture : path_fixture {
    pipeline_fixture() : path_fixture(request_kind::idempotent) {
        auto orders = core.state.config.routes.front();
        orders.name = "once";
        orders.prefix = "/orders/";
        orders.kind = request_kind::non_idempotent;
        core.state.config.routes.push_back(orders);
        core.state.routes = route_index(core.state.config);
        core.state.registry.targets.at("t1").slots = slots;
        core.state.concurrency_quotas["t1"] = slots;
        update_targets(core.state, boot_clock::now());
        core.wake_waiting = [this] {
            boost::asio::post(context, [this] { dispatch_waiting(core); });
        };
    }
    static std::string look_up(const std::string& id, const std::string& fields = "") {
        return "GET /7 HTTP/1.1\r\nHost: desk.example\r\nRequest-Id: " + id + "\r\n" + fields +
               "\r\n";
    }
    static std::string order(const std::string& id) {
        return "POST /orders/7 HTTP/1.1\r\nHost: desk.example\r\nRequest-Id: " + id +
               "\r\nContent-Length: 4\r\n\r\nbody";
    }
    /// Number in `received` of the first send of a request.
    std::size_t number_of(const std::string& id) {
        for (std::size_t number = 0; number < target.received.size(); ++number) {
            if (target.received[number].find("Request-Id: " + id + "\r\n") != std::string::npos) {
                return number;
            }
        }
        return target.received.size();
    }
    bool has_received(const std::string& id) { return number_of(id) < target.received.size(); }

    static constexpr std::uint32_t slots = 60;
};

std::size_t count_of(const std::string& text, const std::string& part) {
    std::size_t count = 0;
    for (auto at = text.find(part); at != std::string::npos; at = text.find(part, at + 1)) {
        ++count;
    }
    return count;
}

}  // namespace

TEST_CASE("pipelined look-ups are forwarded at once and answered in order [pipeline]") {
    pipeline_fixture path;
    path.send(path.look_up("r1") + path.look_up("r2") + path.look_up("r3"));
    path.settle();
    REQUIRE(path.target.received.size() == 3);
    path.target.answer(path.number_of("r3"), good_answer);
    path.target.answer(path.number_of("r2"), good_answer);
    path.settle();
    CHECK(path.caller.available() == 0);
    CHECK(path.core.queued_answer_bytes > 0);
    path.target.answer(path.number_of("r1"), good_answer);
    path.settle();
    const auto text = path.receive("r3");
    CHECK(count_of(text, "200 OK") == 3);
    CHECK(text.find("r1") < text.find("r2"));
    CHECK(text.find("r2") < text.find("r3"));
    CHECK(path.core.queued_answer_bytes == 0);
}

TEST_CASE("an order behind other requests is forwarded only after their answers [pipeline]") {
    pipeline_fixture path;
    path.send(path.look_up("r1") + path.order("r2") + path.look_up("r3"));
    path.settle();
    CHECK(path.has_received("r1"));
    CHECK_FALSE(path.has_received("r2"));
    CHECK(path.has_received("r3"));
    path.target.answer(path.number_of("r1"), good_answer);
    path.settle();
    REQUIRE(path.has_received("r2"));
    CHECK(path.target.received[path.number_of("r2")].ends_with("body"));
    path.target.answer(path.number_of("r3"), good_answer);
    path.target.answer(path.number_of("r2"), good_answer);
    CHECK(count_of(path.receive("r3"), "200 OK") == 3);
}

TEST_CASE("an order whose time passed behind other requests is refused as not run [pipeline]") {
    pipeline_fixture path;
    auto late = path.order("r2");
    late.insert(late.find("Content-Length"), "Deadline: 20\r\n");
    path.send(path.look_up("r1") + late);
    path.settle();
    path.target.answer(path.number_of("r1"), good_answer);
    const auto text = path.receive("not-run");
    CHECK(text.find("503") != std::string::npos);
    CHECK_FALSE(path.has_received("r2"));
}

TEST_CASE("nothing behind a request that closes the connection is forwarded [pipeline]") {
    pipeline_fixture path;
    path.send(path.look_up("r1", "Connection: close\r\n") + path.look_up("r2") + path.order("r3"));
    path.settle();
    CHECK(path.target.received.size() == 1);
    path.target.answer(0, good_answer);
    CHECK(path.receive("<closed>").find("Connection: close") != std::string::npos);
    CHECK(path.target.received.size() == 1);
}

TEST_CASE("a stopping router answers all pipelined requests before it closes [pipeline]") {
    pipeline_fixture path;
    path.send(path.look_up("r1") + path.look_up("r2"));
    path.settle();
    path.core.stopping = true;
    path.core.answers_until = std::chrono::steady_clock::now() + milliseconds(4000);
    REQUIRE(path.target.received.size() == 2);
    path.target.answer(path.number_of("r1"), good_answer);
    path.settle();
    path.target.answer(path.number_of("r2"), good_answer);
    const auto text = path.receive("<closed>");
    CHECK(count_of(text, "200 OK") == 2);
    CHECK(count_of(text, "Connection: close") == 1);
    CHECK(text.find("Connection: close") > text.find("r2"));
    CHECK(text.ends_with("hello<closed>"));
}

TEST_CASE("pipelined requests that outlast a stopping router all get an answer [pipeline]") {
    pipeline_fixture path;
    path.send(path.look_up("r1") + path.order("r2") + path.look_up("r3"));
    path.settle();
    path.core.stopping = true;
    path.sessions.front()->end_with_process();
    const auto text = path.receive("<closed>");
    CHECK(count_of(text, "502") == 2);
    CHECK(count_of(text, "503") == 1);
    CHECK(text.find("r1") < text.find("r2"));
    CHECK(text.find("r2") < text.find("r3"));
    CHECK_FALSE(path.has_received("r2"));
}

TEST_CASE("a malformed request is rejected after the answers before it [pipeline]") {
    pipeline_fixture path;
    path.send(path.look_up("r1") + path.look_up("r2") + "no request\r\n\r\n");
    path.settle();
    CHECK(path.caller.available() == 0);
    path.target.answer(path.number_of("r2"), good_answer);
    path.target.answer(path.number_of("r1"), good_answer);
    const auto text = path.receive("<closed>");
    CHECK(count_of(text, "200 OK") == 2);
    CHECK(text.find("400") > text.find("r2"));
    CHECK(text.ends_with("<closed>"));
}

TEST_CASE("a malformed body does not put an error into an answer that has begun [pipeline]") {
    pipeline_fixture path;
    path.send(
        "POST /7 HTTP/1.1\r\nHost: desk.example\r\nRequest-Id: r1\r\n"
        "Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n");
    path.settle();
    REQUIRE(path.target.received.size() == 1);
    path.target.answer(0,
                       "HTTP/1.1 200 OK\r\nRequest-Id: $ID\r\nSignature: s\r\n"
                       "Content-Length: 400000\r\n\r\n" +
                           std::string(200'000, 'x'));
    path.settle();
    path.send("zz\r\n");
    const auto text = path.receive("400 Bad");
    CHECK(text.find("400 Bad") == std::string::npos);
    CHECK(text.find("<reset>") != std::string::npos);
}

TEST_CASE("a caller that leaves ends all of its requests [pipeline]") {
    pipeline_fixture path;
    path.send(path.look_up("r1") + path.look_up("r2") + path.order("r3"));
    path.settle();
    path.target.answer(path.number_of("r2"), good_answer);
    path.settle();
    path.caller.close();
    path.settle();
    CHECK(path.closed_sessions == 1);
    CHECK(path.core.state.targets.at("t1")->running == 0);
    CHECK(path.core.queued_answer_bytes == 0);
    CHECK(path.core.deadlines.empty());
    CHECK_FALSE(path.has_received("r3"));
}

TEST_CASE("a bounded number of requests of one connection is forwarded at a time [pipeline]") {
    pipeline_fixture path;
    constexpr std::size_t sent = 40;
    constexpr std::size_t bound = 16;
    std::string text;
    for (std::size_t number = 0; number < sent; ++number) {
        text += path.look_up("r" + std::to_string(number));
    }
    path.send(text);
    path.settle();
    CHECK(path.target.received.size() == bound);
    for (std::size_t number = 0; number < sent; ++number) {
        REQUIRE(path.has_received("r" + std::to_string(number)));
        path.target.answer(path.number_of("r" + std::to_string(number)), good_answer);
        path.settle();
    }
    // The time that a request waited in the router counts.
    const auto& last = path.target.received[path.number_of("r39")];
    CHECK(std::stoi(last.substr(last.find("Deadline: ") + 10)) < 1000 - 23 * 30);
    CHECK(count_of(path.receive("r39"), "200 OK") == sent);
}

TEST_CASE("while many answers wait, a connection forwards one request at a time [pipeline]") {
    pipeline_fixture path;
    path.core.queued_answer_bytes = std::size_t{8} << 20U;
    path.send(path.look_up("r1") + path.look_up("r2"));
    path.settle();
    CHECK(path.target.received.size() == 1);
    path.target.answer(0, good_answer);
    path.settle();
    CHECK(path.target.received.size() == 2);
    path.core.queued_answer_bytes = 0;
}

namespace {

/// Random history of one connection: requests of both kinds, cut into random pieces; answers in
/// random order, of any framing, and lost ones; time-outs.
class random_history {
public:
    explicit random_history(unsigned seed) : random_(seed) {}

    void play() {
        const auto count = 2 + pick(7);
        for (std::size_t number = 0; number < count; ++number) {
            const auto id = "r" + std::to_string(number) + "-";
            is_order_.push_back(pick(4) == 0);
            input_ += is_order_.back() ? path_.order(id) : path_.look_up(id);
        }
        for (int step = 0; step < 200 && !is_over(); ++step) {
            send_some();
            run();
            check_orders();
            answer_some();
            receive();
        }
        for (std::size_t round = 0; round <= count && !is_over(); ++round) {
            path_.expire_all();
            run();
            receive();
        }
        check_answers();
    }

private:
    bool is_over() { return is_closed_ || ids_.size() == is_order_.size(); }
    void run() {
        path_.context.run_for(milliseconds(1));
        path_.context.restart();
    }
    std::size_t pick(std::size_t count) { return random_() % count; }

    void send_some() {
        const auto size = std::min(input_.size(), 1 + pick(200));
        boost::system::error_code ignored;
        boost::asio::write(path_.caller, boost::asio::buffer(input_.data(), size), ignored);
        input_.erase(0, size);
    }
    void answer_some() {
        auto& target = path_.target;
        std::vector<std::size_t> open;
        for (std::size_t number = 0; number < target.received.size(); ++number) {
            if (!answered_.contains(number)) {
                open.push_back(number);
            }
        }
        if (open.empty() || pick(2) == 0) {
            return;
        }
        const auto number = open[pick(open.size())];
        answered_.insert(number);
        const std::string length_unknown =
            "HTTP/1.1 200 OK\r\nRequest-Id: $ID\r\nSignature: s\r\n\r\nhello";
        const std::vector<std::string> answers{
            good_answer,
            good_answer,
            chunked_answer + "5\r\nhello\r\n0\r\n\r\n",
            std::string(cut) + length_unknown,
            std::string(reset) + length_unknown,
            full_refusal,
            "CLOSE",
            "HTTP/1.1 200 OK\r\nRequest-Id: $ID\r\nSignature: s\r\nContent-Length: 200005\r\n\r\n" +
                std::string(200'000, 'x') + "hello",
        };
        target.answer(number, answers[pick(answers.size())]);
        if (pick(40) == 0) {
            path_.expire_all();
        }
    }
    /// An order reaches the target once, and only when all answers before it have left.
    void check_orders() {
        const auto& received = path_.target.received;
        for (; checked_ < received.size(); ++checked_) {
            const auto at = received[checked_].find("Request-Id: r") + 13;
            const auto number = std::stoul(received[checked_].substr(at));
            if (is_order_[number]) {
                CHECK(orders_sent_[number]++ == 0);
                receive();
                CHECK(ids_.size() == number);
            }
        }
    }
    void receive() {
        std::array<char, 65536> chunk{};
        boost::system::error_code error;
        do {
            const auto got = path_.caller.read_some(boost::asio::buffer(chunk), error);
            output_.append(chunk.data(), got);
        } while (!error);
        is_closed_ =
            error == boost::asio::error::eof || error == boost::asio::error::connection_reset;
        parse(is_closed_ && error == boost::asio::error::eof);
    }
    void parse(bool is_ended) {
        while (!output_.empty()) {
            if (!parser_) {
                message_events events;
                events.head = [this](const message_head& head) {
                    id_ = field_of(head, "Request-Id");
                    success_ = head.status == 200;
                };
                body_.clear();
                events.body = [this](std::string_view part) { body_.append(part); };
                parser_ = std::make_unique<message_parser>(message_kind::answer, message_limits{},
                                                           events);
            }
            const auto fed = parser_->feed(output_);
            REQUIRE(fed.error == parse_error::none);
            output_.erase(0, fed.consumed);
            if (!parser_->is_done() && !(is_ended && parser_->finish())) {
                return;
            }
            parser_.reset();
            ids_.push_back(id_);
            CHECK((!success_ || body_.ends_with("hello")));
        }
    }
    void check_answers() {
        for (std::size_t number = 0; number < ids_.size(); ++number) {
            CHECK(ids_[number] == "r" + std::to_string(number) + "-");
        }
        // Unless the connection ended, each request has an answer at its deadline.
        CHECK(is_over());
    }

    std::mt19937 random_;
    pipeline_fixture path_;
    std::vector<bool> is_order_;  ///< By number of the request.
    std::string input_;           ///< Not sent yet.
    std::set<std::size_t> answered_;
    std::size_t checked_ = 0;
    std::map<std::size_t, int> orders_sent_;
    std::string output_;  ///< Received and not parsed yet.
    std::unique_ptr<message_parser> parser_;
    std::string id_;
    std::string body_;
    bool success_ = false;
    std::vector<std::string> ids_;  ///< Of the answers, in the order of arrival.
    bool is_closed_ = false;
};

}  // namespace

TEST_CASE("answers of any framing and order leave in the order of the requests [pipeline]") {
    constexpr unsigned seeds = 150;
    for (unsigned seed = 1; seed <= seeds; ++seed) {
        CAPTURE(seed);
        random_history(seed).play();
    }
}

TEST_CASE("mutated and split bytes are forwarded like the whole text, or rejected [pipeline]") {
    constexpr unsigned seeds = 150;
    for (unsigned seed = 1; seed <= seeds; ++seed) {
        CAPTURE(seed);
        std::mt19937 random(seed);
        pipeline_fixture path;
        std::string text = path.look_up("r1") + path.order("r2") + path.look_up("r3") +
                           "POST /7 HTTP/1.1\r\nHost: desk.example\r\nRequest-Id: r4\r\n"
                           "Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n" +
                           path.look_up("r5");
        static const std::vector<std::string> inserts{"Content-Length: 4\r\n",
                                                      "Transfer-Encoding: chunked\r\n",
                                                      "\r\n",
                                                      "0\r\n\r\n",
                                                      std::string(1, '\0'),
                                                      "Content-Length: 0\r\n",
                                                      std::string(70'000, 'a'),
                                                      " "};
        for (std::size_t change = random() % 3; change > 0; --change) {
            const auto at = random() % text.size();
            if (random() % 2 == 0) {
                text.insert(text.find('\n', at) == std::string::npos ? at : text.find('\n', at) + 1,
                            inserts[random() % inserts.size()]);
            } else {
                text.erase(at, 1 + random() % 5);
            }
        }
        text.resize(random() % 4 == 0 ? random() % text.size() : text.size());
        // Ids and bodies that the text contains if it arrives at once, up to the first error.
        std::vector<std::string> expected;
        auto rest = text;
        for (bool ends = false; !ends && !rest.empty();) {
            std::string id;
            std::string body;
            message_events events;
            events.head = [&](const message_head& head) {
                id = field_of(head, "Request-Id");
                ends = !head.keep_alive;
            };
            events.body = [&](std::string_view part) { body.append(part); };
            message_parser parser(message_kind::request, message_limits{}, events);
            const auto fed = parser.feed(rest);
            rest.erase(0, fed.consumed);
            ends = ends || fed.error != parse_error::none || !parser.is_done();
            if (parser.has_head()) {
                expected.push_back(id);
            }
        }
        path.target.script.assign(10, good_answer);
        for (std::size_t from = 0; from < text.size();) {
            const auto size = std::min(text.size() - from, 1 + random() % 400);
            boost::system::error_code ignored;
            boost::asio::write(path.caller, boost::asio::buffer(text.data() + from, size), ignored);
            from += size;
            path.context.run_for(milliseconds(1));
            path.context.restart();
        }
        path.settle();
        for (const auto& request : path.target.received) {
            const auto at = request.find("Request-Id: ");
            const auto id = at == std::string::npos
                                ? std::string()
                                : request.substr(at + 12, request.find('\r', at) - at - 12);
            CHECK(std::find(expected.begin(), expected.end(), id) != expected.end());
        }
        CHECK(path.target.received.size() <= expected.size());
    }
}
