// Load of an owner of keys that all routers send to: what callers get, without a network.
#include <doctest/doctest.h>

#include <algorithm>
#include <deque>
#include <random>
#include <vector>

#include "mimosavalve/gateway/quota_allocation.hpp"
#include "mimosavalve/gateway/target_table.hpp"

using namespace mimosavalve::gateway;

namespace {

constexpr std::uint32_t slots = 4;
constexpr std::size_t queue_size = 16;
constexpr milliseconds transit{2};
constexpr milliseconds objective{800};
constexpr milliseconds timeout{2500};

/// Routers that send look-ups to one owner, whose work takes longer than that of its service. What
/// exceeds the owner's queue gets no answer, like what it has not begun at the time-out.
class owned_keys {
public:
    explicit owned_keys(double true_work_ms) : work_ms_(true_work_ms) {
        for (int number = 0; number < 9; ++number) {
            routers_.push_back(make_state());
        }
        leader_ = make_state();
    }

    /// Callers send this many requests a second for the time, each to a random router.
    void run(double per_second, milliseconds time) {
        std::exponential_distribution<double> pause(per_second);
        double next = 0;
        for (const auto end = now_ + time; now_ < end; now_ += milliseconds(1)) {
            next -= 0.001;
            for (; next <= 0; next += pause(random_)) {
                waiting_.push_back({random_() % routers_.size(), now_, {}, {}});
            }
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

private:
    struct request {
        std::size_t router = 0;
        boot_time asked_at;
        boot_time sent_at;
        boot_time ends_at;
    };

    [[nodiscard]] static routing_state make_state() {
        routing_state state;
        state.config.services["status"] = {"status", 0, milliseconds(0), 0, true};
        for (const auto* id : {"t1", "t2", "t3"}) {
            target_entry entry;
            entry.id = id;
            entry.service = "status";
            entry.slots = slots;
            state.registry.targets.emplace(id, entry);
        }
        assign(state.keys["status"], {0, key_count - 1, "t1", 1, false, 1, 0});
        state.router_count = 9;
        update_targets(state, {});
        for (const auto* id : {"t2", "t3"}) {
            set_work_ms(state, *state.targets.at(id), 150);
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
            const bool is_refused = now_ - each.asked_at >= objective / 8;
            refused += is_refused ? 1 : 0;
            return is_refused;
        }
        record_send(*choice.target, now_);
        each.sent_at = now_;
        (queue_.size() >= queue_size ? silent_ : queue_).push_back(each);
        return true;
    }
    void serve() {
        std::exponential_distribution<double> work(1 / work_ms_);
        std::erase_if(running_, [&](const request& done) {
            if (done.ends_at > now_) {
                return false;
            }
            answer(done);
            return true;
        });
        const auto is_timed_out = [&](const request& each) {
            if (now_ < each.asked_at + timeout) {
                return false;
            }
            ++unanswered;
            --routers_[each.router].targets.at("t1")->running;
            return true;
        };
        std::erase_if(queue_, is_timed_out);
        std::erase_if(silent_, is_timed_out);
        while (running_.size() < slots && !queue_.empty()) {
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
                     static_cast<std::uint32_t>(queue_.size()), slots},
                    now_);
        record_answer(target, latency, true);
        --target.running;
        ++(now_ - done.asked_at <= objective ? in_time : late);
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
            target.rate_quota = quota == quotas.end() ? 0 : quota->second;
            set_work_ms(routers_[router], target, known.work_ms);
        }
    }

    double work_ms_;
    std::mt19937 random_{20261205};
    boot_time now_{milliseconds(100000)};
    route route_;
    std::vector<routing_state> routers_;
    routing_state leader_;
    demand_rates rates_;
    std::array<std::uint32_t, 9> demand_{};
    std::deque<request> queue_;
    std::vector<request> running_;
    std::deque<request> silent_;
    std::vector<request> waiting_;
};

}  // namespace

TEST_CASE("an owner that is slower than its service answers what it is sent in time [owner_load]") {
    constexpr double work_ms = 400;
    constexpr double capacity = slots * 1000 / work_ms;
    owned_keys load(work_ms);
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

TEST_CASE("the work time is told from an answer that waited behind others [owner_load]") {
    CHECK(work_time_of(milliseconds(300), {4, 0, 4}) == doctest::Approx(300));
    CHECK(work_time_of(milliseconds(1200), {4, 8, 4}) == doctest::Approx(400));
    CHECK(work_time_of(milliseconds(300), {0, 0, 0}) == doctest::Approx(300));
}
