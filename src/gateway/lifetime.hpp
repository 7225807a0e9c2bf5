#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <memory>
#include <utility>

#include "mimosavalve/gateway/clock.hpp"

namespace mimosavalve::gateway {

/// Drops the answers that reach an object after its end, or in a later term.
class lifetime {
public:
    /// A handler that does nothing once this object has ended or was renewed.
    template <typename Handler>
    auto guard(Handler handler) const {
        return [alive = std::weak_ptr<char>(token_),
                handler = std::move(handler)](auto&&... values) mutable {
            if (!alive.expired()) {
                handler(std::forward<decltype(values)>(values)...);
            }
        };
    }
    /// Drops everything that was guarded until now.
    void renew() { token_ = std::make_shared<char>(); }

private:
    std::shared_ptr<char> token_ = std::make_shared<char>();
};

/// Calls `step` once after `pause`, unless `life` has ended by then.
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
