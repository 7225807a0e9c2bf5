#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <system_error>

#include "mimosavalve/command/config_change.hpp"
#include "mimosavalve/core/types.hpp"
#include "mimosavalve/core/verdict.hpp"
#include "mimosavalve/ports/store.hpp"

namespace mimosavalve::command {

/// Largest value that the platform's store takes, in bytes.
constexpr std::size_t largest_store_value = 1'000'000;

/// What writing a change needs of its process. The functions run on one thread.
struct writer_environment {
    ports::store store;
    std::function<steady_time()> now;
    /// Calls back once after the given time, never inside the call.
    std::function<void(std::chrono::milliseconds, std::function<void()>)> after;
    std::chrono::milliseconds call_timeout{1000};  ///< For one answer of the store.
    std::chrono::milliseconds retry_delay{100};    ///< Before the store is asked again.
};

/// How writing a change ended.
struct change_outcome {
    /// `ran`: recorded in the store. `not_run`: has no effect and never will have.
    traffic_verdict verdict = traffic_verdict::not_run;
    std::uint64_t version = 0;       ///< Version with the effect; in a dry run the one to be made.
    bool repeated = false;           ///< An earlier submission of the identity had the effect.
    std::optional<refusal> refused;  ///< The change was decided against.
    std::error_code error;           ///< The store could not be used.
};

using change_handler = std::function<void(change_outcome)>;

/// Records a change in the store by compare-and-swap. A conflict is decided again on the new value;
/// after a lost answer the value is read back. `environment` must live until the handler has run.
/// The handler runs once, at the latest one `call_timeout` after the deadline.
void submit_change(const writer_environment& environment, change_request request,
                   steady_time deadline, change_handler handler);

/// Decides a change against the stored configuration and writes nothing.
void try_change(const writer_environment& environment, change_request request, steady_time deadline,
                change_handler handler);

}  // namespace mimosavalve::command
