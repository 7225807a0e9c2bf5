#include "target_session.hpp"

#include <xxhash.h>

#include <algorithm>
#include <boost/asio/write.hpp>
#include <limits>
#include <string_view>

#include "target_http.hpp"

namespace mimosavalve::standins {

namespace http = boost::beast::http;

namespace detail {

constexpr std::size_t chunk_bytes = 65536;
constexpr std::uint32_t header_limit_bytes = 16384;
constexpr std::uint64_t most_control_bytes = 1U << 20U;

struct hash_state_deleter {
    void operator()(XXH64_state_t* state) const { XXH64_freeState(state); }
};

bool is_control_path(std::string_view path) {
    return path == "/probe" || path == "/grant" || path == "/revoke" || path == "/faults";
}

}  // namespace detail

target_session::target_session(boost::asio::ip::tcp::socket socket, target_core& core,
                               session_hooks hooks, bool over_limit)
    : socket_(std::move(socket)),
      core_(core),
      hooks_(std::move(hooks)),
      timer_(socket_.get_executor()),
      chunk_(detail::chunk_bytes),
      over_limit_(over_limit) {}

void target_session::run() {
    boost::asio::spawn(socket_.get_executor(),
                       [self = shared_from_this()](const boost::asio::yield_context& yield) {
                           self->serve(yield);
                           self->close_now();
                           self->hooks_.closed(*self);
                       });
}

void target_session::close_when_idle() {
    closing_ = true;
    if (idle_ || silent_) {
        close_now();
    }
}

void target_session::close_now() {
    closing_ = true;
    boost::system::error_code ignored;
    socket_.shutdown(boost::asio::ip::tcp::socket::shutdown_both, ignored);
    socket_.close(ignored);
    timer_.cancel();
}

void target_session::serve(const boost::asio::yield_context& yield) {
    bool open = true;
    while (open && !closing_) {
        parser_type parser;
        parser.header_limit(detail::header_limit_bytes);
        // Beast 1.74 refuses every body of known length when there is no limit.
        parser.body_limit(std::numeric_limits<std::uint64_t>::max());
        boost::system::error_code error;
        idle_ = true;
        http::async_read_header(socket_, buffer_, parser, yield[error]);
        idle_ = false;
        if (silent_) {
            stay_silent(yield);
            return;
        }
        open = !error && serve_one(parser, yield);
    }
}

bool target_session::serve_one(parser_type& parser, const boost::asio::yield_context& yield) {
    const auto path = path_of(parser.get());
    if (detail::is_control_path(path)) {
        return serve_control(parser, path, yield);
    }
    request_info info;
    std::string problem;
    if (!read_request_info(parser.get(), info, problem)) {
        return refuse(parser, info, {400, problem + "\n", start_refusal::none, true}, yield);
    }
    return serve_request(parser, info, yield);
}

bool target_session::serve_control(parser_type& parser, const std::string& path,
                                   const boost::asio::yield_context& yield) {
    body_digest body;
    if (!read_body(parser, detail::most_control_bytes, body, yield)) {
        return false;
    }
    const auto wanted = path == "/probe" ? http::verb::get : http::verb::post;
    answer result;
    fault_order faults;
    if (parser.get().method() != wanted) {
        result = {405, "use " + std::string(http::to_string(wanted)) + "\n"};
    } else if (path == "/probe") {
        core_.work().charge(core_.settings().probe_time);
        wait(core_.settings().probe_time, yield);
        result.body = core_.probe_text();
    } else if (path == "/faults") {
        const auto order = parse_fault_order(body.value, result.body);
        result.status = order ? 200 : 400;
        faults = order.value_or(fault_order{});
        apply(faults, core_.faults());
    } else {
        result = answer_order(path == "/grant", body, yield);
    }
    const auto id = std::string(parser.get()["Request-Id"]);
    const bool open = write_answer(result, id, parser.get().keep_alive(), yield);
    hooks_.apply_fault(faults, *this);
    return open;
}

target_session::answer target_session::answer_order(bool grants, const body_digest& body,
                                                    const boost::asio::yield_context& yield) {
    std::string problem;
    const auto order = parse_order(body.value, problem);
    if (!order) {
        return {400, problem + "\n"};
    }
    const auto status = grants ? core_.grant(*order) : core_.revoke(*order, yield);
    if (status == 409) {
        return {status, "a newer fence is known\n"};
    }
    return {status, status == 410 ? "the deadline has passed\n" : "done\n"};
}

bool target_session::serve_request(parser_type& parser, const request_info& info,
                                   const boost::asio::yield_context& yield) {
    const auto early = over_limit_ ? start_refusal::overloaded : core_.refuse_early(info);
    if (early != start_refusal::none) {
        return refuse(parser, info, {503, "", early, true}, yield);
    }
    body_digest body;
    if (!read_body(parser, core_.settings().max_value_bytes, body, yield)) {
        return false;
    }
    answer result;
    if (!run_request(info, body, result, yield)) {
        return false;
    }
    if (core_.faults().answer_late.count() > 0) {
        wait(core_.faults().answer_late, yield);
    }
    return write_answer(result, info.request_id, parser.get().keep_alive(), yield);
}

bool target_session::run_request(const request_info& info, const body_digest& body, answer& result,
                                 const boost::asio::yield_context& yield) {
    running_request request{&info, &timer_};
    watch_caller(request);
    const auto refusal = core_.start(request, yield);
    if (refusal != start_refusal::none) {
        stop_watching();
        result = {503, "", refusal, true};
        return true;
    }
    if (!request.has_slot) {
        stop_watching();
        return false;
    }
    const auto end = core_.work(request, yield);
    stop_watching();
    if (end == work_end::hold_ended) {
        result = {500, "the hold of the key ended before the work did\n"};
    } else if (end == work_end::completed) {
        const bool writes = info.method == "POST" || info.method == "PUT";
        if (writes) {
            core_.store(info.path, body);
        }
        result.body = writes ? digest_text(body.xxh64, body.size) : core_.value_of(info.path);
    }
    core_.finish(request, end);
    return end != work_end::caller_gone;
}

bool target_session::refuse(parser_type& parser, const request_info& info, const answer& refused,
                            const boost::asio::yield_context& yield) {
    body_digest ignored;
    if (!read_body(parser, 0, ignored, yield)) {
        return false;
    }
    return write_answer(refused, info.request_id, parser.get().keep_alive(), yield);
}

bool target_session::read_body(parser_type& parser, std::uint64_t keep_bytes, body_digest& body,
                               const boost::asio::yield_context& yield) {
    boost::system::error_code error;
    if (!parser.is_done() && parser.get()[http::field::expect] == "100-continue") {
        constexpr std::string_view go_on = "HTTP/1.1 100 Continue\r\n\r\n";
        boost::asio::async_write(socket_, boost::asio::buffer(go_on), yield[error]);
    }
    const std::unique_ptr<XXH64_state_t, detail::hash_state_deleter> hash(XXH64_createState());
    XXH64_reset(hash.get(), 0);
    while (!error && !parser.is_done()) {
        auto& into = parser.get().body();
        into.data = chunk_.data();
        into.size = chunk_.size();
        http::async_read(socket_, buffer_, parser, yield[error]);
        if (error == http::error::need_buffer) {
            error = {};
        }
        const auto count = chunk_.size() - into.size;
        XXH64_update(hash.get(), chunk_.data(), count);
        body.size += count;
        body.kept = body.size <= keep_bytes;
        if (body.kept) {
            body.value.append(chunk_.data(), count);
        } else {
            body.value.clear();
        }
    }
    body.xxh64 = XXH64_digest(hash.get());
    return !error;
}

bool target_session::write_answer(const answer& result, const std::string& request_id,
                                  bool keep_alive, const boost::asio::yield_context& yield) {
    if (silent_) {
        stay_silent(yield);
        return false;
    }
    const bool wrong_fence =
        result.refusal == start_refusal::no_grant || result.refusal == start_refusal::fence;
    http::response<http::string_body> message(
        static_cast<http::status>(wrong_fence ? 409 : result.status), 11);
    message.set("Request-Id", core_.echoed_id(request_id));
    message.set("Target-Clock", std::to_string(core_.clock_ms()));
    message.set("Target-Instance", std::to_string(core_.instance()));
    message.set("Target-Id", core_.settings().id);
    if (result.not_run) {
        message.set("Not-Run", "true");
    }
    if (result.refusal != start_refusal::none) {
        message.set("Target-Reason", std::string(to_string(result.refusal)));
    }
    message.body() = result.body;
    // A leaving target ends its connections between requests, so that none is cut later.
    const bool keep = keep_alive && !closing_ && !over_limit_ && !core_.leaving();
    message.keep_alive(keep);
    message.prepare_payload();
    boost::system::error_code error;
    http::async_write(socket_, message, yield[error]);
    return !error && keep;
}

void target_session::wait(std::chrono::nanoseconds time, const boost::asio::yield_context& yield) {
    boost::system::error_code ignored;
    timer_.expires_after(time);
    timer_.async_wait(yield[ignored]);
}

void target_session::stay_silent(const boost::asio::yield_context& yield) {
    while (!closing_) {
        boost::system::error_code ignored;
        timer_.expires_at(std::chrono::steady_clock::time_point::max());
        timer_.async_wait(yield[ignored]);
    }
}

void target_session::watch_caller(running_request& request) {
    watched_ = &request;
    const auto number = ++watch_number_;
    socket_.async_wait(
        boost::asio::ip::tcp::socket::wait_read,
        [self = shared_from_this(), number](boost::system::error_code error) {
            if (error || self->watched_ == nullptr || number != self->watch_number_) {
                return;
            }
            boost::system::error_code unreadable;
            // A readable socket without bytes was closed by the caller.
            if (self->socket_.available(unreadable) == 0 || unreadable) {
                self->watched_->gone = true;
                self->timer_.cancel();
            }
        });
}

void target_session::stop_watching() {
    watched_ = nullptr;
    boost::system::error_code ignored;
    socket_.cancel(ignored);
}

}  // namespace mimosavalve::standins
