#include "router/initial_config.hpp"

#include <memory>
#include <utility>

#include "mimosavalve/config/fleet_config_codec.hpp"
#include "mimosavalve/core/error.hpp"

namespace mimosavalve::router {

namespace detail {

constexpr std::chrono::milliseconds store_deadline{1000};
constexpr std::chrono::milliseconds retry_delay{500};

struct initial_config_write {
    initial_config_environment environment;
    std::string value;
};

void attempt(const std::shared_ptr<initial_config_write>& write) {
    const auto deadline = write->environment.now() + store_deadline;
    write->environment.store.compare_and_swap(
        std::string(config::config_store_key), 0, write->value, 0, deadline,
        [write](std::error_code error, std::uint64_t) {
            const bool present = !error || error == errc::store_conflict;
            if (!present) {
                write->environment.after(retry_delay, [write] { attempt(write); });
            }
        });
}

}  // namespace detail

void write_initial_config(initial_config_environment environment, std::string value) {
    detail::attempt(std::make_shared<detail::initial_config_write>(
        detail::initial_config_write{std::move(environment), std::move(value)}));
}

}  // namespace mimosavalve::router
