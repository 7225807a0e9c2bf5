#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "mimosavalve/core/verdict.hpp"
#include "mimosavalve/gateway/admission.hpp"
#include "mimosavalve/gateway/quota_allocation.hpp"
#include "router_core.hpp"

namespace mimosavalve::gateway {

/// Where the answer of an exchange goes.
struct answer_sink {
    /// A whole answer.
    std::function<void(std::string)> whole;
    /// A part of a long answer; the first one begins with the head.
    std::function<void(std::string)> part;
    std::function<void()> end;
    /// The answer broke off; the caller must not take it for complete.
    std::function<void()> abort;
    /// Room in the caller's connection or in the body buffer has changed.
    std::function<void()> flow_changed;
};

/// One caller's request on its way to a target and back.
class exchange {
public:
    using steady = std::chrono::steady_clock;

    exchange(router_core& core, message_head head, answer_sink sink);
    ~exchange();
    exchange(const exchange&) = delete;
    exchange& operator=(const exchange&) = delete;

    /// Finds the route and sends the request, lets it wait, or answers it.
    void start();

    void add_body(std::string_view data);
    void end_body();
    /// Whether more of the caller's body should be read now.
    [[nodiscard]] bool wants_body() const;

    /// The caller has closed its connection.
    void cancel();

    /// A target may be free, or an owner known.
    void try_waiting();
    /// The time for a final answer has come.
    void expire();

    [[nodiscard]] bool is_done() const { return done_; }
    [[nodiscard]] bool keeps_alive() const { return keep_alive_; }
    [[nodiscard]] std::uint32_t priority() const { return route_ ? route_->priority : 0; }

private:
    /// Whether only the owner of the request's key can run it.
    [[nodiscard]] bool is_keyed() const;
    /// Refuses a request that crashes targets, else dispatches it. Waits for the part of the body
    /// that tells, while any such request is known.
    void check_and_dispatch();
    /// Same for all repeats of a request; nothing while too little of the body has arrived.
    std::optional<std::uint64_t> fingerprint();
    void dispatch();
    /// Lets the request wait if it may still be answered in time, else answers it at once.
    void wait_or_refuse(const target_choice& choice);
    void stop_waiting();
    /// What is known about the wait for a place at the targets that may run the request.
    [[nodiscard]] wait_estimate estimate_wait() const;
    void open_link(target_state& target);
    void send_on(std::unique_ptr<target_link> link);
    void pump_body();
    [[nodiscard]] std::string request_head() const;

    void take_answer_head(const message_head& head);
    void take_answer_body(std::string_view data);
    void take_answer_end();
    void take_loss(std::error_code error);
    void take_refusal();
    /// The target that has the request; null when it is gone or has started anew.
    [[nodiscard]] target_state* current_target() const;
    void leave_target();
    [[nodiscard]] bool may_repeat(bool reached_target);

    void answer_from_target();
    /// Refuses as not run only if none of the sends may have run.
    void give_up(std::string_view reason, const wait_estimate& estimate = {});
    /// Answers in the router's own name.
    void refuse(unsigned status, std::string_view reason, const wait_estimate& estimate = {});
    void finish(std::string_view outcome, unsigned status);
    [[nodiscard]] std::string answer_head(const message_head& head,
                                          std::optional<std::uint64_t> length) const;
    [[nodiscard]] std::int64_t age_ms() const;

    router_core& core_;
    message_head head_;
    answer_sink sink_;
    std::string id_;
    steady::time_point arrived_ = steady::now();
    steady::time_point answer_by_;
    std::optional<route> route_;  // A copy: the configuration may change meanwhile.
    std::string service_;
    std::optional<std::uint32_t> key_;
    traffic_verdict verdict_ = traffic_verdict::not_run;
    traffic_verdict earlier_ = traffic_verdict::not_run;  ///< Of the sends before the present one.

    std::string body_;           ///< Kept from the start, so that it can be sent again.
    std::size_t body_sent_ = 0;  ///< Of `body_`, on the current link.
    bool body_complete_ = false;
    bool body_end_sent_ = false;  ///< The last chunk was sent on the current link.
    bool body_replayable_ = true;
    bool awaits_check_ = false;  ///< Not dispatched before more of the body has arrived.
    std::optional<std::uint64_t> fingerprint_;

    std::vector<std::string> tried_;  ///< Targets that had the request.
    std::uint32_t attempts_ = 0;      ///< Sends that reached a target.
    std::uint32_t connect_failures_ = 0;
    std::string target_id_;
    std::uint64_t target_run_ = 0;
    std::string target_address_;
    std::unique_ptr<connector> opening_;
    std::unique_ptr<target_link> link_;
    steady::time_point sent_at_;

    message_head answer_;
    std::string answer_body_;
    bool streaming_ = false;
    bool waiting_ = false;
    std::list<exchange*>::iterator waiting_place_;
    std::optional<std::multimap<steady::time_point, exchange*>::iterator> deadline_place_;
    bool done_ = false;
    bool keep_alive_ = true;
};

}  // namespace mimosavalve::gateway
