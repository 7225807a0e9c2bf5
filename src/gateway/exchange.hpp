#pragma once

#include <cstdint>
#include <functional>
#include <map>
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

/// What one round over the waiting requests has found: destinations without room, with the wait
/// there. Later requests for them are not dispatched in this round.
struct dispatch_round {
    std::map<std::string, wait_estimate, std::less<>> full;
};

/// Receives the answer of an exchange.
struct answer_sink {
    /// Sends a complete answer, head and body.
    std::function<void(std::string)> send_whole;
    /// Sends a part of a long answer; the first part begins with the head.
    std::function<void(std::string)> send_part;
    /// Ends an answer that was sent in parts.
    std::function<void()> end;
    /// Ends an answer that broke off, such that the caller cannot take it for complete.
    std::function<void()> abort;
    /// Reports that `exchange::should_read_body` may have changed.
    std::function<void()> room_changed;
    /// Number of bytes of the answer that the caller has not accepted yet.
    std::function<std::size_t()> unsent_bytes;
    /// Whether no request behind this one has been accepted, so that the answer may close the
    /// connection.
    std::function<bool()> is_last;
    /// Whether the caller has closed its connection, also if that has not been read yet.
    std::function<bool()> has_caller_left;
};

/// How a request reached the router.
struct request_arrival {
    std::chrono::steady_clock::time_point at;  ///< Receipt by the kernel, or the read if not known.
    std::size_t ahead = 0;                     ///< Unanswered requests before it on its connection.
    /// Time from the receipt by the kernel until the read; nothing if not known.
    std::optional<milliseconds> unread;
    bool is_forwarded = false;  ///< Another router has forwarded it to this one, as a dispatcher.
};

/// Forwards one request of a caller to a target, and the answer back.
class exchange {
public:
    using steady = std::chrono::steady_clock;

    exchange(router_core& core, message_head head, answer_sink sink,
             const request_arrival& arrival);
    ~exchange();
    exchange(const exchange&) = delete;
    exchange& operator=(const exchange&) = delete;

    /// Finds the route of the request, then sends it, queues it, or answers it.
    void start();

    void add_body(std::string_view data);
    void end_body();
    /// Whether more of the request body should be read from the caller now.
    [[nodiscard]] bool should_read_body() const;

    /// Continues to read a long answer, since the caller has accepted all parts of it.
    void resume_answer();

    /// Ends the exchange because the caller has closed its connection.
    void cancel();

    /// Dispatches a waiting request again, since a target may be free or the owner known.
    void redispatch_if_waiting(dispatch_round& round);
    /// Gives the final answer because the deadline has passed. The caller of this function has
    /// removed the exchange from `router_core::deadlines`.
    void expire();
    /// Gives the final answer because the process ends. A request that is at a target may have run,
    /// so its answer promises nothing.
    void end_with_process();

    [[nodiscard]] bool is_done() const { return done_; }
    [[nodiscard]] bool keeps_connection_open() const { return keep_alive_; }
    /// Whether a part of the answer has been sent.
    [[nodiscard]] bool has_begun_answer() const { return is_streaming_; }
    [[nodiscard]] std::uint32_t priority() const { return route_ ? route_->priority : 0; }

private:
    /// Whether only the owner of the request's key can run the request.
    [[nodiscard]] bool is_keyed() const;
    /// Refuses a request that crashes targets, else dispatches it. While any fingerprint is
    /// quarantined, waits for as much of the body as the fingerprint needs.
    void check_and_dispatch();
    /// Fingerprint of the request (path and query included), equal for all its retries; nothing
    /// while too little of the body has arrived.
    std::optional<std::uint64_t> fingerprint();
    void dispatch();
    void dispatch(dispatch_round& round);
    /// Queues the request if it may still be answered in time, else refuses it at once.
    void wait_or_refuse(const target_choice& choice, wait_estimate estimate);
    /// Name of the targets that may run the request: the owner of its key, or those of a service
    /// and its home regions.
    [[nodiscard]] std::string destination() const;
    /// Whether the process is stopping and may end before the request is answered if it is sent to
    /// `target` now; null: to any target of its service.
    [[nodiscard]] bool may_outlast_process(const target_state* target) const;
    /// Mean time from a send until the answer, of `target` or, if that is not known, of the targets
    /// of the service; 0: not known. Nothing is known of a cold target: its times still change.
    [[nodiscard]] double known_answer_ms(const target_state* target) const;
    /// Counts where a request without a key is sent, and why it leaves the own domain.
    void count_place(const target_state& target, leave_reason reason);
    void stop_waiting();
    /// Estimates the wait for room at the targets that may run the request.
    [[nodiscard]] wait_estimate estimate_wait() const;
    /// How the request is sent: only small requests without a key are forwarded.
    [[nodiscard]] dispatch_choice choose_dispatch();
    void forward_to(const dispatch_peer& peer);
    /// Avoids a dispatcher that has lost a request or given no answer.
    void avoid_dispatcher(const std::string& host);
    /// Sends the request elsewhere if the dispatcher refused it for a reason of its own.
    bool retry_after_dispatcher(std::string_view reason);
    /// Counts the request for the retry budget of its service, once, at the router that sends it.
    void count_for_budget();
    /// Reads what another router has added to a forwarded request.
    void read_forwarding(milliseconds& timeout);
    void open_link(target_state& target);
    /// Opens a connection to `target_address_`.
    void connect();
    /// Cancels the request if its caller has left: an event loop that runs late reads that only
    /// after it has sent the request.
    bool cancel_if_caller_left();
    /// Sends the request on a connection that has been opened for it, unless the target may no
    /// longer get it: then another one is chosen.
    void send_on_new(std::unique_ptr<stream> connection);
    void send_on(std::unique_ptr<target_link> link);
    /// Whether an idle link may carry the request. A link carries a request once: a copy of the
    /// answer to an earlier send has the same id, and would be taken for the next answer.
    [[nodiscard]] bool can_send_on(target_link& link) const;
    void send_body();
    [[nodiscard]] std::string request_head() const;

    void on_answer_head(const message_head& head);
    void on_answer_body(std::string_view data);
    void on_answer_end();
    void on_connection_lost(std::error_code error);
    void on_refusal();
    /// The answer's status promises callers that the request has not run, which its target does not
    /// state.
    void on_unproven_refusal();
    /// Ends the current send if its answer says that the request was not run: sends the request
    /// once more, or gives the final answer.
    bool end_if_refused();
    /// The current send may have run: sends an idempotent request once more, else gives up.
    /// `is_last_send`: no other target may get the request.
    void retry_or_end_doubtful(bool is_last_send, std::string_view reason);
    /// Records the keys of the current send, and the owner to which it goes.
    void record_sent_keys();
    /// Records what an answer 421 contradicts: the target's address, or the owner of the key.
    void record_contradiction();
    /// Records that the owner of the key has run the request.
    void record_confirmation();
    [[nodiscard]] static boot_time boot_time_of(steady::time_point at);
    /// Records what the target says about itself in the head of its answer.
    void record_notice(const target_state& target);
    /// Target that has the request; null if it was removed or has restarted.
    [[nodiscard]] target_state* current_target() const;
    /// The same, but also null if its state was replaced since it has counted the request.
    [[nodiscard]] target_state* counting_target() const;
    /// Target that has answered, perhaps by way of a dispatcher; null if the router does not know
    /// this instance.
    [[nodiscard]] target_state* answering_target() const;
    /// Whether the whole request was written to the current link.
    [[nodiscard]] bool is_request_written() const;
    void detach_from_target();
    void record_forwarded_answer();
    /// Whether the request may be sent once more; counts the attempt. `reached_target`: the last
    /// send reached its target, so that the retry budget applies.
    [[nodiscard]] bool try_acquire_attempt(bool reached_target);

    void answer_from_target();
    /// Refuses the request, with the verdict `not_run` only if none of its sends may have run.
    void give_up(std::string_view reason, const wait_estimate& estimate = {});
    /// Answers the caller in the name of the router.
    void refuse(unsigned status, std::string_view reason, const wait_estimate& estimate = {});
    void finish(std::string_view outcome, unsigned status);
    /// Whether the answer so far is passed on before it is complete. Without a length it goes in
    /// chunks; a caller with HTTP/1.0 knows none, so it gets such an answer whole.
    [[nodiscard]] bool should_stream_answer() const;
    void send_answer_part(std::string data);
    /// Head of the answer to the caller; without a length, the body follows in chunks. Decides
    /// whether the answer closes the connection: while the process stops, one with no request
    /// behind it does.
    [[nodiscard]] std::string answer_head(const message_head& head,
                                          std::optional<std::uint64_t> length);
    [[nodiscard]] std::int64_t age_ms() const;

    router_core& core_;
    message_head head_;
    answer_sink sink_;
    std::string id_;
    steady::time_point arrived_;
    std::size_t ahead_;  ///< See `request_arrival`.
    std::optional<milliseconds> unread_;
    bool is_forwarded_;               ///< See `request_arrival`.
    milliseconds forwarded_age_{0};   ///< Its age when the first router forwarded it.
    bool ignores_quotas_ = false;     ///< See `choice_request`.
    bool is_budget_counted_ = false;  ///< It counts for the retry budget of its service.
    steady::time_point answer_deadline_;
    std::optional<route> route_;  // A copy, since the configuration may change during the request.
    std::string service_;
    std::optional<std::uint32_t> key_;
    traffic_verdict verdict_ = traffic_verdict::not_run;
    /// Verdict of the sends before the current one.
    traffic_verdict earlier_sends_verdict_ = traffic_verdict::not_run;

    std::string body_;           ///< Kept up to a maximum size, so that it can be sent again.
    std::size_t body_sent_ = 0;  ///< Bytes of `body_` sent on the current link.
    bool body_complete_ = false;
    bool body_end_sent_ = false;             ///< The last chunk was sent on the current link.
    std::uint64_t received_body_bytes_ = 0;  ///< Of the whole request body.
    bool is_body_replayable_ = true;
    bool is_awaiting_check_ = false;  ///< Is dispatched only after more of the body has arrived.
    std::optional<std::uint64_t> fingerprint_;

    std::vector<std::string> tried_targets_;  ///< Ids of the targets that had the request.
    std::vector<std::uint64_t> used_links_;   ///< Numbers of the links that carried the request.
    std::uint32_t attempts_ = 0;              ///< Number of sends on a connection.
    std::uint32_t connect_failures_ = 0;
    std::uint32_t refused_connects_ = 0;  ///< Connects that a target's host refused at once.
    bool was_connect_refused_ = false;    ///< Whether the last failed connect was one of them.
    std::string target_id_;
    std::uint64_t target_instance_ = 0;
    std::uint64_t counted_by_ = 0;  ///< The `target_state::number` that has counted the request.
    std::string target_address_;
    std::optional<key_segment> sent_keys_;  ///< Range of the key at the current send.
    std::uint64_t refused_fence_ = 0;       ///< Latest fence whose owner has answered 421; 0: none.
    std::string dispatcher_;  ///< Host of the dispatcher that has the request; else empty.
    std::unique_ptr<connector> connector_;
    std::unique_ptr<target_link> link_;
    steady::time_point chosen_at_;  ///< When the target of the current send was chosen.
    steady::time_point sent_at_;
    /// Age of the registry at the last send, from the start of its read.
    milliseconds registry_age_{0};

    message_head answer_;
    std::string answer_body_;
    std::uint64_t received_answer_bytes_ = 0;  ///< Of the whole body of the current answer.
    bool has_earned_tokens_ = false;           ///< See `earn_tokens`.
    bool is_streaming_ = false;
    bool sends_chunks_ = false;  ///< The answer goes to the caller in chunks.
    bool waiting_ = false;
    std::list<exchange*>::iterator waiting_position_;
    std::optional<std::multimap<steady::time_point, exchange*>::iterator> deadline_position_;
    bool done_ = false;
    bool keep_alive_ = true;
};

}  // namespace mimosavalve::gateway
