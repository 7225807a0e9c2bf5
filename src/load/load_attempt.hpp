#pragma once

#include <boost/asio/spawn.hpp>
#include <cstdint>
#include <string>

#include "load_connection.hpp"
#include "mimosavalve/load/attempt_record.hpp"
#include "mimosavalve/load/request_plan.hpp"

namespace mimosavalve::load {

/// One attempt to send.
struct attempt_plan {
    const planned_request* request = nullptr;
    std::uint32_t number = 1;
    std::string router;
    std::chrono::milliseconds timeout{0};
};

/// Sends one attempt and reads its answer. A failure is part of the record.
attempt_record send_attempt(const attempt_plan& plan, connection_pool& pool,
                            const boost::asio::any_io_executor& executor,
                            const boost::asio::yield_context& yield);

/// Whether the caller may send the request again: it surely has not run, or its connection broke.
bool may_repeat(const attempt_record& record);

}  // namespace mimosavalve::load
