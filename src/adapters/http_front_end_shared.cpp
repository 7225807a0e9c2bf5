#include "http_front_end_worker.hpp"

namespace mimosavalve::adapters::front_end {

traffic::account_limit& shared_state::limit_of(const std::string& account) {
    const std::lock_guard lock(mutex_);
    auto& limit = limits_[account];
    if (limit == nullptr) {
        limit = std::make_unique<traffic::account_limit>();
    }
    return *limit;
}

bool shared_state::is_held_back(std::uint64_t fingerprint, steady_time now) {
    const std::lock_guard lock(mutex_);
    return traffic::is_quarantined(quarantine_, fingerprint, now);
}

void shared_state::record_loss(const std::string& target, std::uint64_t fingerprint) {
    const std::lock_guard lock(mutex_);
    traffic::record_lost_connection(quarantine_, target, fingerprint,
                                    std::chrono::steady_clock::now());
}

void shared_state::confirm_loss(const std::string& target) {
    const std::lock_guard lock(mutex_);
    traffic::confirm_loss(quarantine_, target, std::chrono::steady_clock::now());
}

void shared_state::find_crashing(steady_time now) {
    std::vector<std::uint64_t> found;
    {
        const std::lock_guard lock(mutex_);
        found = traffic::update_quarantine(quarantine_, now);
        held_back = quarantine_.quarantined.size();
    }
    for (const auto fingerprint : found) {
        if (hooks.quarantined) {
            hooks.quarantined(fingerprint);
        }
    }
}

}  // namespace mimosavalve::adapters::front_end
