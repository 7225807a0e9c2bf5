#pragma once

#include <optional>
#include <string>

#include "fleet.hpp"

namespace mimosavalve::review {

/// Counts how often a request that crashes workers reaches them after its third crash.
class crash_check {
public:
    static constexpr std::int64_t contact_ms = 3000;
    static constexpr int allowed_retries = 3;

    crash_check(fleet& deployment, std::string path) : fleet_(deployment), path_(std::move(path)) {}

    /// Makes the worker crash on the request, and start again after some seconds.
    void watch(worker& watched) {
        watched.crash_path = path_;
        watched.on_crash = [this](worker& crashed, const std::string&) {
            const auto now = fleet_.record.age_ms();
            ++crashes;
            if (third_at_ && now > *third_at_ + contact_ms) {
                ++late_retries;
                fleet_.record.write("retry " + std::to_string(late_retries) + " reached a worker " +
                                    std::to_string(now - *third_at_) + " ms after the third crash");
                if (late_retries > allowed_retries) {
                    fleet_.record.write("BUDGET broken: more than three such retries");
                }
            }
            if (crashes == allowed_retries) {
                third_at_ = now;
                fleet_.record.write("the request has crashed its third worker");
            }
            fleet_.restart_later(crashed, milliseconds(3000));
        };
    }
    [[nodiscard]] bool is_broken() const { return late_retries > allowed_retries; }

    int crashes = 0;
    int late_retries = 0;

private:
    fleet& fleet_;
    std::string path_;
    std::optional<std::int64_t> third_at_;
};

}  // namespace mimosavalve::review
