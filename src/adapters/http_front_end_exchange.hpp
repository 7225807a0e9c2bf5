#pragma once

#include <memory>
#include <optional>
#include <string_view>

#include "http_front_end_body.hpp"
#include "http_front_end_session.hpp"
#include "mimosavalve/core/verdict.hpp"
#include "mimosavalve/traffic/routing_decision.hpp"

namespace mimosavalve::adapters::front_end {

/// One request of a caller from its parsed header to the end of its answer.
class exchange {
public:
    exchange(session& caller, request_parser& request, const boost::asio::yield_context& yield);
    ~exchange();
    exchange(const exchange&) = delete;
    exchange& operator=(const exchange&) = delete;

    /// Whether the caller's connection may carry another request.
    bool run();

private:
    // Steps before the send (http_front_end_exchange.cpp).
    bool read_head();
    void choose_deadline(const traffic::routing_table& table);
    void attempt();
    void wait_for_state(const traffic::defer& held, steady_time now);
    void send(const traffic::send_to& decision);
    bool prepare_body(const config::route_config& route);
    bool claim(const traffic::send_to& decision);
    bool may_still_send(const traffic::send_to& decision, const pooled_target& target,
                        steady_time now);
    const traffic::unkeyed_target* choose(std::span<const traffic::unkeyed_target> candidates);

    // Limits (http_front_end_admission.cpp).
    target_gate& gate_to(const ownership::target& target, const router::shard_view& shard);
    bool pass_limits();
    std::uint64_t fingerprint();
    bool admit(target_gate& gate, const config::route_config& route);
    void note_instance(target_gate& gate);
    void note_success(const traffic::send_to& decision, target_gate& gate);
    void note_refusal(target_gate& gate);
    void judge_target(const traffic::send_to& decision, target_gate& gate, steady_time now);

    // The send and the answer (http_front_end_relay.cpp).
    void forward(const traffic::send_to& decision, target_gate& gate,
                 std::unique_ptr<target_connection> connection);
    void relay(const traffic::send_to& decision, target_gate& gate,
               std::unique_ptr<target_connection>& connection);
    std::size_t write_head(const traffic::send_to& decision, const pooled_target& target,
                           target_connection& connection, boost::system::error_code& error);
    bool upload(std::unique_ptr<target_connection>& used, std::uint64_t max_body);
    void drop(std::unique_ptr<target_connection>& connection);
    void receive(const traffic::send_to& decision, target_gate& gate,
                 std::unique_ptr<target_connection>& connection, bool uploaded);
    bool read_answer_header(target_connection& connection, std::optional<response_parser>& answer,
                            boost::system::error_code& error);
    void fail_answer(target_gate& gate, const boost::system::error_code& error);
    void stream_answer(pooled_target& target, std::unique_ptr<target_connection>& connection,
                       response_parser& answer, bool uploaded);

    // Ends.
    void refuse(traffic::refusal_reason reason, traffic_verdict verdict,
                std::string_view region = {});
    void retry_or_refuse(traffic::refusal_reason reason, traffic_verdict verdict);
    void cut_caller();
    void record_metrics();
    void drop_rest_of_body();
    [[nodiscard]] bool is_head() const;

    session& caller_;
    worker& home_;
    request_parser& request_;
    const boost::asio::yield_context& yield_;
    exchange_watch watch_;
    traffic::request_head head_;
    body_reader<request_parser> body_;
    boost::asio::const_buffer first_piece_;
    std::shared_ptr<const traffic::routing_table> table_;
    std::string avoided_;  ///< Target that an earlier attempt of this request failed at.
    int attempts_ = 0;
    int retries_ = 0;
    bool body_prepared_ = false;
    bool claimed_ = false;
    bool limits_passed_ = false;
    traffic_verdict verdict_ = traffic_verdict::not_run;
    std::optional<std::uint64_t> fingerprint_;
    bool finished_ = false;
    bool keep_alive_ = false;
};

}  // namespace mimosavalve::adapters::front_end
