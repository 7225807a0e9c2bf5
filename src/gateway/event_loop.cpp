#include "event_loop.hpp"

namespace mimosavalve::gateway {

void run_event_loop(boost::asio::io_context& context,
                    const std::function<void(const std::exception&)>& on_failure) {
    bool has_ended = false;
    while (!has_ended) {
        try {
            context.run();
            has_ended = true;
        } catch (const std::exception& error) {
            on_failure(error);
        }
    }
}

}  // namespace mimosavalve::gateway
