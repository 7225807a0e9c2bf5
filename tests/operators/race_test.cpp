#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <memory>

#include "mimosavalve/config/fleet_config_codec.hpp"
#include "operators/race_history.hpp"
#include "operators/simulated_store.hpp"

namespace cmd = mimosavalve::command;
namespace cfg = mimosavalve::config;
namespace testing = mimosavalve::testing;
using mimosavalve::traffic_verdict;
using namespace std::chrono_literals;

namespace {

cfg::fleet_config initial() {
    cfg::fleet_config config;
    config.version = 1;
    config.regions = {{"bagmati", {"bagmati-a"}}, {"gandaki", {"gandaki-a"}}};
    config.accounts = {{"a", {}, 100}, {"b", {"bagmati"}, 100}};
    return config;
}

std::string name_of(std::string prefix, int number) {
    return prefix.append(std::to_string(number));
}

cmd::change drawn_change() {
    const std::string account = *rc::gen::element("a", "b");
    switch (*rc::gen::inRange(0, 5)) {
        case 0:
            return cmd::set_account{account, std::nullopt, *rc::gen::inRange(1, 1000)};
        case 1:
            return cmd::set_account{
                account, std::vector<std::string>{*rc::gen::element("bagmati", "gandaki")},
                std::nullopt};
        case 2:
            return cmd::drain_target{name_of("t-", *rc::gen::inRange(0, 2))};
        case 3:
            return cmd::undrain_target{name_of("t-", *rc::gen::inRange(0, 2))};
        default:
            return cmd::rule_scope{"account/" + account, name_of("side-", *rc::gen::inRange(0, 2))};
    }
}

// Operators that submit commands to one store, each repeating its command under the same identity
// while its effect is not known.
class race {
public:
    explicit race(std::uint64_t seed) : store(clock, seed) {
        store.put(cfg::encode(initial()));
        environment.store = store.port();
        environment.now = [this] { return clock.now(); };
        environment.after = [this](auto delay, auto action) {
            clock.after(delay, std::move(action));
        };
    }

    struct plan {
        std::chrono::milliseconds start{0};
        cmd::change_request request;
        bool look = false;  ///< Base it on a version that the operator has looked at.
        std::uint64_t versions_behind = 0;
        int repeats = 0;
        bool twice = false;  ///< Also submit it through a second router, as after a cut connection.
    };

    void schedule(const plan& planned) {
        clock.after(planned.start, [this, planned] {
            auto request = planned.request;
            if (planned.look) {
                const auto newest = store.writes().size();
                const auto behind = planned.versions_behind;
                request.based_on = newest > behind ? newest - behind : 1;
            }
            submit(request, planned.repeats);
            if (planned.twice) {
                clock.after(15ms, [this, request, planned] { submit(request, planned.repeats); });
            }
        });
    }

    std::vector<std::string> run() {
        clock.run();
        std::vector<testing::race_record> out;
        for (const auto& each : records_) {
            out.push_back(*each);
        }
        return testing::contradictions(store.writes(), out);
    }

    [[nodiscard]] std::size_t count(traffic_verdict verdict) const {
        return static_cast<std::size_t>(
            std::count_if(records_.begin(), records_.end(),
                          [&](const auto& each) { return each->outcome.verdict == verdict; }));
    }

    testing::virtual_clock clock;
    testing::simulated_store store;
    cmd::writer_environment environment;

private:
    void submit(const cmd::change_request& request, int repeats) {
        auto& record = *records_.emplace_back(std::make_unique<testing::race_record>());
        record.request = request;
        cmd::submit_change(
            environment, request, clock.now() + 4s, [this, &record, repeats](auto outcome) {
                record.finished = true;
                record.outcome = std::move(outcome);
                if (record.outcome.verdict == traffic_verdict::may_have_run && repeats > 0) {
                    submit(record.request, repeats - 1);
                }
            });
    }

    std::vector<std::unique_ptr<testing::race_record>> records_;
};

void submit_drawn_commands(race& racing) {
    const auto commands = *rc::gen::inRange(2, 16);
    for (int each = 0; each < commands; ++each) {
        race::plan planned;
        planned.request = {drawn_change(), name_of("op-", each), std::nullopt};
        planned.start = std::chrono::milliseconds(*rc::gen::inRange(0, 400));
        planned.versions_behind = *rc::gen::inRange(0U, 3U);
        planned.look = !std::holds_alternative<cmd::rule_scope>(planned.request.what) &&
                       *rc::gen::arbitrary<bool>();
        planned.repeats = *rc::gen::inRange(0, 4);
        planned.twice = *rc::gen::inRange(0, 4) == 0;
        racing.schedule(planned);
    }
}

void require_none(const std::vector<std::string>& found) {
    for (const auto& each : found) {
        RC_LOG() << each << "\n";
    }
    RC_ASSERT(found.empty());
}

}  // namespace

// Guards against lost, reverted and repeated effects, and against false answers, when the store
// loses calls and answers and applies writes late.
TEST_CASE("racing operators get one order of configurations and true answers [operators]") {
    std::size_t acknowledged = 0;
    std::size_t undecided = 0;
    std::size_t refused = 0;
    CHECK(rc::check([&] {
        race racing(*rc::gen::arbitrary<std::uint64_t>());
        racing.store.faults.lost_call = *rc::gen::inRange(0, 40);
        racing.store.faults.lost_answer = *rc::gen::inRange(0, 60);
        racing.store.faults.delayed_call = *rc::gen::inRange(0, 40);
        submit_drawn_commands(racing);
        require_none(racing.run());
        acknowledged += racing.count(traffic_verdict::ran);
        undecided += racing.count(traffic_verdict::may_have_run);
        refused += racing.count(traffic_verdict::not_run);
    }));
    // Without each kind of answer the check would show nothing.
    CHECK(acknowledged > 50);
    CHECK(undecided > 10);
    CHECK(refused > 50);
}

TEST_CASE("operators that race without faults all get an answer that is decided [operators]") {
    CHECK(rc::check([] {
        race racing(*rc::gen::arbitrary<std::uint64_t>());
        submit_drawn_commands(racing);
        require_none(racing.run());
        RC_ASSERT(racing.count(traffic_verdict::may_have_run) == 0U);
    }));
}

// A ruling that is still travelling overtakes commands which were submitted before it.
TEST_CASE("commands that a ruling overtakes are refused and name the ruling [operators]") {
    CHECK(rc::check([] {
        race racing(*rc::gen::arbitrary<std::uint64_t>());
        racing.store.faults.delayed_call = 30;
        const auto commands = *rc::gen::inRange(1, 6);
        for (int each = 0; each < commands; ++each) {
            const cmd::set_account what{"b", std::nullopt, each + 1.0};
            race::plan planned;
            planned.start = std::chrono::milliseconds(*rc::gen::inRange(0, 200));
            planned.request = {what, name_of("op-", each), 1};
            planned.repeats = 3;
            racing.schedule(planned);
        }
        race::plan ruling;
        ruling.start = std::chrono::milliseconds(*rc::gen::inRange(0, 100));
        ruling.request = {cmd::rule_scope{"account/b", "north"}, "ruling", std::nullopt};
        ruling.repeats = 3;
        racing.schedule(ruling);
        require_none(racing.run());
    }));
}
