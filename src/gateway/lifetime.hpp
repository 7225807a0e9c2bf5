#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <memory>
#include <utility>

#include "mimosavalve/gateway/clock.hpp"

namespace mimosavalve::gateway {

/// Discards callbacks that arrive after the end of an object, or after the term in which they were
/// created.
class lifetime {
public:
    /// Wraps a handler so that it does nothing after this object is destroyed or `cancel_handlers`
    /// is called.
    template <typename Handler>
    auto guard(Handler handler) const {
        return [alive = std::weak_ptr<char>(token_),
                handler = std::move(handler)](auto&&... values) mutable {
            if (!alive.expired()) {
                handler(std::forward<decltype(values)>(values)...);
            }
        };
    }
    /// Cancels all handlers that were wrapped before this call.
    void cancel_handlers() { token_ = std::make_shared<char>(); }

private:
    std::shared_ptr<char> token_ = std::make_shared<char>();
};

/// Calls `step` once after `pause`, unless `life` has ended before.
template <typename Step>
void run_after(boost::asio::io_context& context, milliseconds pause, const lifetime& life,
               Step step) {
    auto timer = std::make_unique<boost::asio::steady_timer>(context, pause);
    auto& waiting = *timer;
    waiting.async_wait([timer = std::move(timer), step = life.guard(std::move(step))](
                           boost::system::error_code error) mutable {
        if (!error) {
            step();
        }
    });
}

/// Calls `step` every `period`, until `life` ends.
template <typename Step>
void run_every(boost::asio::io_context& context, milliseconds period, const lifetime& life,
               Step step) {
    run_after(context, period, life, [&context, period, &life, step = std::move(step)]() mutable {
        step();
        run_every(context, period, life, std::move(step));
    });
}

}  // namespace mimosavalve::gateway
