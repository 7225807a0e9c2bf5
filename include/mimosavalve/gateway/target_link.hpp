#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <system_error>

#include "mimosavalve/gateway/http_message.hpp"
#include "mimosavalve/gateway/stream.hpp"

namespace mimosavalve::gateway {

/// Connection to a target that carries one request at a time. Only an answer with the id of the
/// current request is passed on; any other answer is discarded.
class target_link {
public:
    struct callbacks {
        std::function<void(const message_head&)> head;
        std::function<void(std::string_view)> body;
        std::function<void()> done;
        /// The connection ended, or the received bytes are not a valid answer.
        std::function<void(std::error_code)> lost;
        std::function<void()> drained;  ///< The output queue has become empty.
        /// Bytes that belong to no request were discarded; `what` says which.
        std::function<void(std::string_view what)> discarded;
    };

    target_link(std::unique_ptr<stream> connection, std::string request_id_header);

    /// Sends the head of a request; the body follows with `write`.
    void begin_request(std::string_view head, std::string request_id, bool expects_body,
                       callbacks handlers);
    void write(std::string_view data);
    /// Stops or continues the reading of the answer.
    void set_reading_enabled(bool enabled) { connection_->set_reading_enabled(enabled); }

    /// Number of bytes that the kernel has not accepted yet.
    [[nodiscard]] std::size_t queued_bytes() const { return connection_->queued_bytes(); }
    /// Whether any byte of the current request was handed to the kernel.
    [[nodiscard]] bool has_sent() const { return connection_->sent_bytes() > sent_before_; }

    /// Whether the answer has no length and ended with its connection, while the target had not
    /// acknowledged every written byte, or after it had reset the connection. The answer may then
    /// be incomplete: a reset is reported as an orderly end once a write has consumed its error.
    [[nodiscard]] bool has_doubtful_end() const { return has_doubtful_end_; }
    /// Whether the connection has ended the answer.
    [[nodiscard]] bool was_ended_by_close() const { return was_ended_by_close_; }

    /// Detaches the current request. Afterwards the link is idle or closed.
    void end_request();
    /// Whether the link can carry another request.
    [[nodiscard]] bool is_reusable() const { return is_reusable_; }

    /// Whether an idle link is open, has received nothing, and has not reached `idle_until`.
    bool is_still_usable();

    std::uint64_t number = 0;  ///< Distinguishes the links of this process.
    std::string target_id;
    std::uint64_t counted_by = 0;  ///< The `target_state::number` that has counted the link.
    std::chrono::steady_clock::time_point
        idle_until;  ///< Time after which the target may close the idle link.

private:
    void read();
    void start_parser();
    void fail(std::error_code error);
    void report_discarded(std::string_view what);

    std::unique_ptr<stream> connection_;
    std::string request_id_header_;
    std::string request_id_;
    callbacks callbacks_;
    std::unique_ptr<message_parser> parser_;
    std::string input_;
    std::uint64_t sent_before_ = 0;
    /// Whether the answer being read belongs to another request.
    bool is_answer_to_other_request_ = false;
    bool expects_body_ = true;  ///< False for answers to HEAD.
    bool answered_ = false;
    bool was_ended_by_close_ = false;
    bool has_doubtful_end_ = false;
    bool is_reusable_ = true;
    bool has_request_ = false;
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace mimosavalve::gateway
