#include "mimosavalve/command/config_bootstrap.hpp"

#include <memory>

#include "mimosavalve/config/fleet_config_codec.hpp"
#include "mimosavalve/core/error.hpp"

namespace mimosavalve::command {

namespace detail {

// Shared by the callbacks that are under way; at any time there is one.
class bootstrap : public std::enable_shared_from_this<bootstrap> {
public:
    bootstrap(const writer_environment& environment, std::optional<config::fleet_config> initial,
              steady_time deadline, stored_config_handler handler)
        : environment_(environment),
          initial_(std::move(initial)),
          deadline_(deadline),
          handler_(std::move(handler)) {}

    void read() {
        environment_.store.read(std::string(config::config_store_key), call_deadline(),
                                [self = shared_from_this()](auto error, const auto& entry) {
                                    self->on_read(error, entry);
                                });
    }

private:
    [[nodiscard]] steady_time call_deadline() const {
        return environment_.now() + environment_.call_timeout;
    }

    void on_read(std::error_code error, const ports::store_entry& entry) {
        if (!error) {
            finish(entry);
        } else if (error == errc::not_found && initial_) {
            record();
        } else if (error == errc::not_found) {
            handler_(error, {});
        } else {
            retry(error);
        }
    }

    void finish(const ports::store_entry& entry) {
        std::error_code error;
        auto config = config::decode_fleet_config(entry.value, error);
        if (config) {
            handler_(error, {*std::move(config), entry.revision});
        } else {
            handler_(error, {});
        }
    }

    // Whatever the answer is, the stored value decides: another process may have been first, and an
    // answer may be lost after its effect.
    void record() {
        environment_.store.compare_and_swap(std::string(config::config_store_key), 0,
                                            config::encode(*initial_), 0, call_deadline(),
                                            [self = shared_from_this()](auto error, std::uint64_t) {
                                                if (!error || error == errc::store_conflict) {
                                                    self->read();
                                                } else {
                                                    self->retry(error);
                                                }
                                            });
    }

    void retry(std::error_code error) {
        if (environment_.now() + environment_.retry_delay >= deadline_) {
            handler_(error, {});
            return;
        }
        environment_.after(environment_.retry_delay, [self = shared_from_this()] { self->read(); });
    }

    const writer_environment& environment_;
    std::optional<config::fleet_config> initial_;
    steady_time deadline_;
    stored_config_handler handler_;
};

}  // namespace detail

void load_or_record_config(const writer_environment& environment,
                           std::optional<config::fleet_config> initial, steady_time deadline,
                           stored_config_handler handler) {
    std::make_shared<detail::bootstrap>(environment, std::move(initial), deadline,
                                        std::move(handler))
        ->read();
}

}  // namespace mimosavalve::command
