#pragma once

#include <boost/asio/io_context.hpp>
#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>

#include "mimosavalve/adapters/http_server.hpp"
#include "mimosavalve/standins/store_data.hpp"

namespace mimosavalve::standins {

/// How the store fails while an outage lasts.
enum class outage_kind {
    none,
    hang,   ///< Calls get no answer until the outage ends; then their connections are closed.
    close,  ///< Connections are closed without an answer.
};

/// Faults that a test or an operator injects.
struct store_faults {
    std::chrono::milliseconds delay{0};  ///< Passes before each call takes effect.
    outage_kind outage = outage_kind::none;
    std::uint64_t lose_answers = 0;  ///< Writes that still take effect without an answer.
};

struct store_service_options {
    std::chrono::milliseconds delay{0};
    std::uint64_t calls_per_second = 0;  ///< Further calls are answered with 429. 0: no limit.
};

namespace detail {
struct store_service_state;
}

/// The store's HTTP interface over `store_data`, on the thread of one `io_context`. It must not
/// outlive the context.
class store_service {
public:
    store_service(boost::asio::io_context& context, store_service_options options);
    store_service(const store_service&) = delete;
    store_service& operator=(const store_service&) = delete;
    ~store_service();

    /// Handler for an `http_server`; it may be used after the service has been destroyed.
    [[nodiscard]] adapters::http_handler handler() const;

    /// Ends delays and outages and answers all waiting watches, so that a server can finish its
    /// running requests.
    void stop();

    [[nodiscard]] const store_data& data() const;
    [[nodiscard]] const call_counts& counts() const;
    [[nodiscard]] const store_faults& faults() const;
    void set_faults(const store_faults& faults);

private:
    std::shared_ptr<detail::store_service_state> state_;
};

}  // namespace mimosavalve::standins
