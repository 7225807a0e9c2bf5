// Load of an owner of keys that all routers send to: what callers get, without a network.
#include <doctest/doctest.h>

#include <algorithm>
#include <deque>
#include <random>
#include <vector>

#include "mimosavalve/gateway/owner_admission.hpp"
#include "mimosavalve/gateway/quota_allocation.hpp"
#include "mimosavalve/gateway/target_table.hpp"

using namespace mimosavalve::gateway;

namespace {

constexpr milliseconds transit{2};

struct load_settings {
    std::size_t routers = 9;
    std::uint32_t slots = 4;
    std::size_t queue_size = 16;
    double work_ms = 400;  ///< Of the owner.
    double service_work_ms = 150;
    milliseconds objective{800};
    milliseconds timeout{2500};
    /// The owner rejects what exceeds its queue, routers refuse by their estimates, and callers
    /// come back after `Retry-After`.
    bool is_refused_at_once = false;
};

/// Routers that send look-ups to one owner, whose work takes longer than that of its service. What
/// exceeds the owner's queue gets no answer, like what it has not begun at the time-out.
class owned_keys {
public:
    explicit owned_keys(const load_settings& settings) : with_(settings) {
        for (std::size_t number = 0; number < with_.routers; ++number) {
            routers_.push_back(make_state());
        }
        demand_.resize(with_.routers);
        ahead_.resize(with_.routers);
        leader_ = make_state();
    }

    /// Callers send this many requests a second for the time, each to a random router.
    void run(double per_second, milliseconds time) {
        std::exponential_distribution<double> pause(per_second);
        double next = 0;
        for (const auto end = now_ + time; now_ < end; now_ += milliseconds(1)) {
            next -= 0.001;
            for (; next <= 0; next += pause(random_)) {
                waiting_.push_back({random_() % routers_.size(), now_, now_, {}, {}});
            }
            std::erase_if(away_, [&](const request& each) {
                const bool is_back = now_ >= each.asked_at;
                if (is_back) {
                    waiting_.push_back(each);
                }
                return is_back;
            });
            std::fill(ahead_.begin(), ahead_.end(), 0);
            std::erase_if(waiting_, [&](request& each) { return try_to_send(each); });
            serve();
            if (now_.time_since_epoch() % milliseconds(200) == milliseconds(0)) {
                lead();
            }
        }
    }

    int in_time = 0;
    int late = 0;
    int unanswered = 0;
    int refused = 0;
    int rejected = 0;  ///< Arrivals at a full owner.

private:
    struct request {
        std::size_t router = 0;
        boot_time began_at;  ///< When the caller first asked.
        boot_time asked_at;
        boot_time sent_at;
        boot_time ends_at;
    };

    [[nodiscard]] routing_state make_state() const {
        routing_state state;
        state.config.services["status"] = {"status", 0, milliseconds(0), 0, true};
        for (const auto* id : {"t1", "t2", "t3"}) {
            target_entry entry;
            entry.id = id;
            entry.service = "status";
            entry.slots = with_.slots;
            state.registry.targets.emplace(id, entry);
        }
        assign(state.keys["status"], {0, key_count - 1, "t1", 1, false, 1, 0});
        state.router_count = static_cast<std::uint32_t>(with_.routers);
        update_targets(state, {});
        for (const auto* id : {"t2", "t3"}) {
            set_work_ms(state, *state.targets.at(id), with_.service_work_ms);
        }
        return state;
    }
    /// Sends a request, or refuses it when it has waited for too long. Returns whether it is gone.
    bool try_to_send(request& each) {
        if (each.asked_at == now_) {
            ++demand_[each.router];
        }
        const choice_request asked{&route_, "status", 7, {}};
        const auto choice = choose_target(routers_[each.router], asked, now_);
        if (choice.kind != choice_kind::target) {
            if (with_.is_refused_at_once) {
                return refuse_or_wait(each, *choice.target);
            }
            const bool is_refused = now_ - each.asked_at >= with_.objective / 8;
            refused += is_refused ? 1 : 0;
            return is_refused;
        }
        record_send(*choice.target, now_);
        each.sent_at = now_;
        if (queue_.size() >= with_.queue_size && with_.is_refused_at_once) {
            ++rejected;
            --choice.target->running;
            come_back(each, estimate_owner_wait(routers_[each.router], *choice.target, 0, now_));
            return true;
        }
        (queue_.size() >= with_.queue_size ? silent_ : queue_).push_back(each);
        return true;
    }
    bool refuse_or_wait(const request& each, const target_state& target) {
        const auto left =
            std::chrono::duration_cast<milliseconds>(each.began_at + with_.objective - now_);
        const auto estimate =
            estimate_owner_wait(routers_[each.router], target, ahead_[each.router]++, now_);
        if (each.asked_at == now_ ? should_refuse(estimate, left)
                                  : left.count() < static_cast<std::int64_t>(estimate.answer_ms) ||
                                        has_quota_no_room(target, left, now_)) {
            come_back(each, estimate);
            return true;
        }
        return false;
    }
    /// The caller of a refused request asks another router later, if it has time.
    void come_back(request each, const wait_estimate& estimate) {
        const auto left =
            std::chrono::duration_cast<milliseconds>(each.began_at + with_.timeout - now_);
        const auto pause = retry_after(estimate, left, std::uniform_real_distribution<>()(random_));
        if (left < milliseconds(300)) {
            ++refused;
            return;
        }
        each.asked_at = now_ + std::max(pause, milliseconds(1));
        each.router = random_() % routers_.size();
        away_.push_back(each);
    }
    void serve() {
        std::exponential_distribution<double> work(1 / with_.work_ms);
        std::erase_if(running_, [&](const request& done) {
            if (done.ends_at > now_) {
                return false;
            }
            answer(done);
            return true;
        });
        const auto is_timed_out = [&](const request& each) {
            if (now_ < each.began_at + with_.timeout) {
                return false;
            }
            ++unanswered;
            --routers_[each.router].targets.at("t1")->running;
            return true;
        };
        std::erase_if(queue_, is_timed_out);
        std::erase_if(silent_, is_timed_out);
        while (running_.size() < with_.slots && !queue_.empty()) {
            queue_.front().ends_at =
                now_ + milliseconds(static_cast<std::int64_t>(work(random_))) + 2 * transit;
            running_.push_back(queue_.front());
            queue_.pop_front();
        }
    }
    void answer(const request& done) {
        auto& target = *routers_[done.router].targets.at("t1");
        const auto latency = std::chrono::duration_cast<milliseconds>(now_ - done.sent_at);
        record_load(target,
                    {static_cast<std::uint32_t>(running_.size()),
                     static_cast<std::uint32_t>(queue_.size()), with_.slots},
                    now_);
        record_answer(target, latency, true);
        --target.running;
        ++(now_ - done.began_at <= with_.objective ? in_time : late);
    }
    void lead() {
        auto& known = *leader_.targets.at("t1");
        std::vector<router_demand> demands;
        for (std::size_t router = 0; router < routers_.size(); ++router) {
            auto& target = *routers_[router].targets.at("t1");
            if (target.work_samples > 0) {
                record_work(leader_, known, target.work_samples, target.work_sum_ms);
            }
            target.work_samples = 0;
            target.work_sum_ms = 0;
            const auto host = "h" + std::to_string(router);
            record_demand(rates_, "t1", host, demand_[router], now_);
            demand_[router] = 0;
            demands.push_back({host, demand_of(rates_, "t1", host, now_)});
        }
        const auto quotas = allocate_rates(capacity_of(leader_, known), demands);
        for (std::size_t router = 0; router < routers_.size(); ++router) {
            auto& target = *routers_[router].targets.at("t1");
            const auto quota = quotas.find("h" + std::to_string(router));
            set_rate(target.rate, quota == quotas.end() ? 0 : quota->second,
                     std::uniform_real_distribution<>()(starts_), now_);
            set_work_ms(routers_[router], target, known.work_ms);
        }
    }

    load_settings with_;
    std::mt19937 random_{20261205};
    std::mt19937 starts_{20261206};  ///< Of the token buckets.
    boot_time now_{milliseconds(100000)};
    route route_;
    std::vector<routing_state> routers_;
    routing_state leader_;
    demand_rates rates_;
    std::vector<std::uint32_t> demand_;
    std::vector<std::uint32_t> ahead_;  ///< Requests that wait at a router, of those seen so far.
    std::vector<request> away_;         ///< Refused; `asked_at`: when their callers come back.
    std::deque<request> queue_;
    std::vector<request> running_;
    std::deque<request> silent_;
    std::vector<request> waiting_;
};

}  // namespace

TEST_CASE("an owner that is slower than its service answers what it is sent in time [owner_load]") {
    const load_settings settings;
    const double capacity = settings.slots * 1000 / settings.work_ms;
    owned_keys load(settings);
    load.run(3 * capacity, milliseconds(5000));  // The routers measure the owner.
    load.in_time = load.late = load.unanswered = load.refused = 0;
    load.run(3 * capacity, milliseconds(30000));
    CAPTURE(load.in_time);
    CAPTURE(load.late);
    CAPTURE(load.unanswered);
    CAPTURE(load.refused);
    CHECK(load.unanswered * 100 <= load.in_time + load.late);
    CHECK(load.in_time > load.late);
}

// Guards against bursts from many routers, which a hot owner rejects for the most part.
TEST_CASE("60 routers send a hot owner what it can answer in time [owner_load]") {
    load_settings settings{60, 2, 8, 160, 160, milliseconds(1000), milliseconds(4000), true};
    const double capacity = settings.slots * 1000 / settings.work_ms;
    owned_keys load(settings);
    load.run(0.4 * capacity, milliseconds(5000));  // The routers measure the owner.
    load.in_time = load.late = load.unanswered = load.refused = load.rejected = 0;
    for (int wave = 0; wave < 20; ++wave) {
        load.run(3 * capacity, milliseconds(5000));
        load.run(0.4 * capacity, milliseconds(5000));
    }
    CAPTURE(load.in_time);
    CAPTURE(load.late);
    CAPTURE(load.refused);
    CAPTURE(load.unanswered);
    CAPTURE(load.rejected);
    CHECK(load.rejected * 10 <= load.in_time + load.late);
    CHECK(load.in_time * 2 >= load.late);
}

TEST_CASE("the work time is told from an answer that waited behind others [owner_load]") {
    CHECK(work_time_of(milliseconds(300), {4, 0, 4}) == doctest::Approx(300));
    CHECK(work_time_of(milliseconds(1200), {4, 8, 4}) == doctest::Approx(400));
    CHECK(work_time_of(milliseconds(300), {0, 0, 0}) == doctest::Approx(300));
}

TEST_CASE("a rate quota limits requests only while it is in force [owner_load]") {
    const boot_time start{milliseconds(1000)};
    rate_bucket bucket;
    set_rate(bucket, 0, 0.5, start);
    for (int number = 0; number < 50; ++number) {
        CHECK(try_acquire(bucket, start));
    }
    CHECK(admitted_in_ms(bucket, 50, start) == 0);
    set_rate(bucket, 0.5, 0.25, start);
    CHECK_FALSE(try_acquire(bucket, start));
    CHECK(admitted_in_ms(bucket, 0, start) == doctest::Approx(1500));
    CHECK(admitted_in_ms(bucket, 1, start) == doctest::Approx(3500));
    // A pause fills the bucket of a small quota with one token only.
    const auto later = start + milliseconds(60000);
    CHECK(try_acquire(bucket, later));
    CHECK_FALSE(try_acquire(bucket, later));
    set_rate(bucket, 0, 0.5, later);
    CHECK(try_acquire(bucket, later));
}
