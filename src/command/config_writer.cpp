#include "mimosavalve/command/config_writer.hpp"

#include <algorithm>
#include <memory>

#include "mimosavalve/config/fleet_config_codec.hpp"
#include "mimosavalve/core/error.hpp"

namespace mimosavalve::command {

namespace detail {

enum class write_mode {
    record,
    dry_run,
};

// One submission. It is shared by the callbacks that are under way, since `std::function` can't
// hold a unique pointer; at any time there is one.
class submission : public std::enable_shared_from_this<submission> {
public:
    submission(const writer_environment& environment, change_request request, write_mode mode,
               steady_time deadline, change_handler handler)
        : environment_(environment),
          request_(std::move(request)),
          mode_(mode),
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

    void finish(change_outcome outcome) { handler_(std::move(outcome)); }

    // A write without an answer may still take effect, also after this call.
    void fail(std::error_code error) {
        change_outcome outcome;
        outcome.verdict =
            unanswered_revision_ ? traffic_verdict::may_have_run : traffic_verdict::not_run;
        outcome.error = error;
        finish(std::move(outcome));
    }

    void retry_or_fail(std::error_code error) {
        if (environment_.now() + environment_.retry_delay >= deadline_) {
            fail(error);
            return;
        }
        environment_.after(environment_.retry_delay, [self = shared_from_this()] { self->read(); });
    }

    void on_read(std::error_code error, const ports::store_entry& entry) {
        if (error == errc::not_found) {
            fail(error);
            return;
        }
        if (error) {
            retry_or_fail(error);
            return;
        }
#ifdef MV_WITHOUT_REVISION_CHECK
        if (!value_.empty()) {
            write(entry.revision);
            return;
        }
#endif
        const auto current = config::decode_fleet_config(entry.value, error);
        if (!current) {
            fail(error);
            return;
        }
        // The compare-and-swap without an answer can't succeed any more once the value has another
        // revision; if it did succeed, the value holds the identity.
        if (unanswered_revision_ && *unanswered_revision_ != entry.revision) {
            unanswered_revision_.reset();
        }
        fix_base(*current);
        act_on(decide(*current, request_), entry.revision);
    }

    // The base stays the version that was read first, so that a command which loses the race for a
    // revision also loses to the winner when both touch the same scope. Rulings have no base of
    // their own: they win over commands that were accepted in the meantime.
    void fix_base(const config::fleet_config& current) {
        if (!request_.based_on && !std::holds_alternative<rule_scope>(request_.what)) {
            request_.based_on = current.version;
        }
    }

    void act_on(change_decision decision, std::uint64_t revision) {
        if (auto* refused = std::get_if<refusal>(&decision)) {
            refuse(std::move(*refused));
        } else if (const auto* repeated = std::get_if<repeated_change>(&decision)) {
            acknowledge(repeated->version, !sent_);
        } else {
            record(std::get<accepted_change>(decision).next, revision);
        }
    }

    void refuse(refusal why) {
        change_outcome outcome;
        outcome.refused = std::move(why);
        finish(std::move(outcome));
    }

    void acknowledge(std::uint64_t version, bool repeated) {
        change_outcome outcome;
        outcome.verdict = traffic_verdict::ran;
        outcome.version = version;
        outcome.repeated = repeated;
        finish(std::move(outcome));
    }

    void record(const config::fleet_config& next, std::uint64_t revision) {
        value_ = config::encode(next);
        version_ = next.version;
        if (value_.size() > largest_store_value) {
            refuse({refusal_reason::impossible,
                    "the configuration would have " + std::to_string(value_.size()) +
                        " bytes; allowed: " + std::to_string(largest_store_value),
                    0,
                    {},
                    {}});
        } else if (mode_ == write_mode::dry_run) {
            change_outcome outcome;
            outcome.version = version_;
            finish(std::move(outcome));
        } else {
            write(revision);
        }
    }

    void write(std::uint64_t revision) {
        if (environment_.now() >= deadline_) {
            fail(errc::deadline_exceeded);
            return;
        }
        sent_ = true;
        environment_.store.compare_and_swap(
            std::string(config::config_store_key), revision, value_, 0, call_deadline(),
            [self = shared_from_this(), revision](auto error, std::uint64_t) {
                self->on_written(error, revision);
            });
    }

    void on_written(std::error_code error, [[maybe_unused]] std::uint64_t revision) {
        if (!error) {
            acknowledge(version_, false);
        } else if (error == errc::store_conflict) {
            read();
        } else {
#ifdef MV_WITHOUT_COMMAND_READ_BACK
            acknowledge(version_, false);
#else
            unanswered_revision_ = revision;
            retry_or_fail(error);
#endif
        }
    }

    const writer_environment& environment_;
    change_request request_;
    write_mode mode_;
    steady_time deadline_;
    change_handler handler_;
    std::string value_;
    std::uint64_t version_ = 0;
    bool sent_ = false;
    std::optional<std::uint64_t> unanswered_revision_;
};

}  // namespace detail

void submit_change(const writer_environment& environment, change_request request,
                   steady_time deadline, change_handler handler) {
    std::make_shared<detail::submission>(environment, std::move(request),
                                         detail::write_mode::record, deadline, std::move(handler))
        ->read();
}

void try_change(const writer_environment& environment, change_request request, steady_time deadline,
                change_handler handler) {
    std::make_shared<detail::submission>(environment, std::move(request),
                                         detail::write_mode::dry_run, deadline, std::move(handler))
        ->read();
}

}  // namespace mimosavalve::command
