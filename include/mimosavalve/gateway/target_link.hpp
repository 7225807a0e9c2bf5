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

/// One connection to a target, which carries one request at a time. Only an answer with the id of
/// the running request is passed on; any other one is dropped.
class target_link {
public:
    struct callbacks {
        std::function<void(const message_head&)> head;
        std::function<void(std::string_view)> body;
        std::function<void()> done;
        /// The connection ended, or what came is no answer.
        std::function<void(std::error_code)> lost;
        std::function<void()> drained;
    };

    target_link(std::unique_ptr<stream> connection, std::string request_id_header);

    /// Sends the head of a request; `write` follows with the body.
    void begin(std::string_view head, std::string request_id, bool expects_body,
               callbacks handlers);
    void write(std::string_view data);

    /// Bytes that wait for the kernel.
    [[nodiscard]] std::size_t queued() const { return connection_->queued(); }
    /// Whether any byte of the running request was handed to the kernel.
    [[nodiscard]] bool has_sent() const { return connection_->sent() > sent_before_; }

    /// Ends the use by the running request. Afterwards the link is idle, or closed.
    void end_use();
    /// Whether the link may carry another request.
    [[nodiscard]] bool is_reusable() const { return reusable_; }

    /// Whether an idle link is still open and silent.
    bool is_quiet();

    std::string target_id;
    std::chrono::steady_clock::time_point idle_until;  ///< The target closes it about then.

private:
    void read();
    void new_parser();
    void fail(std::error_code error);

    std::unique_ptr<stream> connection_;
    std::string request_id_header_;
    std::string request_id_;
    callbacks callbacks_;
    std::unique_ptr<message_parser> parser_;
    std::string input_;
    std::uint64_t sent_before_ = 0;
    bool foreign_ = false;  ///< The answer that is being read belongs to another request.
    bool answered_ = false;
    bool reusable_ = true;
    bool in_use_ = false;
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace mimosavalve::gateway
