// Handovers that cannot be passed on, or that the new owner of the keys rejects.
#include <doctest/doctest.h>

#include <string>
#include <vector>

#include "decider_fixture.hpp"
#include "gateway/utf8.hpp"

using namespace mimosavalve;
using namespace mimosavalve::gateway;
using namespace mimosavalve::gateway::testing;

namespace {

key_map owned_by_a() {
    key_map map;
    map.segments = {{0, key_count - 1, "a", 7, false, 1, 0}};
    return map;
}

/// A fleet whose target "a" leaves, returns `handover` to releases, and whose successor "b" rejects
/// grants with the handover `rejected`.
struct handover_fixture : decider_fixture {
    explicit handover_fixture(const std::string& handover, const std::string& rejected = "none") {
        add_target("a");
        add_target("b");
        record(owned_by_a());
        lead();
        advance_time(milliseconds(200));
        core.state.registry.targets["a"].leaving = true;
        update_targets(core.state, now);
        on_order = [this, handover, rejected](const received_order& order) {
            orders.push_back(order);
            const bool is_rejected = order.grant && order.handover == rejected;
            answer_later([order, handover, is_rejected] {
                order.done(
                    is_rejected ? make_error_code(errc::malformed_message) : std::error_code(),
                    order.grant ? "" : handover);
            });
        };
        advance_time(milliseconds(900));
    }
    /// Handovers of the grants that "b" has received, in their order.
    [[nodiscard]] std::vector<std::string> granted_handovers() const {
        std::vector<std::string> out;
        for (const auto& order : orders) {
            if (order.grant && order.address == "b") {
                out.push_back(order.handover);
            }
        }
        return out;
    }
};

}  // namespace

// The encoder of the grant's JSON body threw, which ended the leader's process.
TEST_CASE("a handover that is not UTF-8 is discarded, and the keys move [decider]") {
    handover_fixture fleet(
        "\xe8"
        "andover");
    CHECK(fleet.owner_of(5) == "b");
    REQUIRE_FALSE(fleet.granted_handovers().empty());
    CHECK(fleet.granted_handovers().front().empty());
    CHECK(fleet.core.metrics.counters["handovers_rejected"] == 1);
}

// Each of the grants carried the handover that the new owner had rejected, so it got the keys only
// with the renewal that follows the last one.
TEST_CASE("a grant whose handover is rejected is repeated without it [decider]") {
    handover_fixture fleet("unknown", "unknown");
    const auto granted = fleet.granted_handovers();
    REQUIRE(granted.size() >= 2);
    CHECK(granted[0] == "unknown");
    CHECK(granted[1].empty());
    CHECK(fleet.owner_of(5) == "b");
    CHECK(fleet.core.metrics.counters["handovers_rejected"] == 1);
}

TEST_CASE("text is UTF-8 only if each of its characters is whole [decider]") {
    for (const std::string text :
         {"", "5c0e7a21d94b36f8", "\x7f", "\xc3\xa9", "\xe2\x82\xac", "\xf0\x9f\x94\x91"}) {
        CAPTURE(text);
        CHECK(is_utf8(text));
    }
    // A lone byte, a cut character, an overlong form, a surrogate, and one above U+10FFFF.
    for (const std::string text :
         {"\xe8", "a\xe2\x82", "\xc0\xaf", "\xed\xa0\x80", "\xf4\x90\x80\x80", "\x80"}) {
        CAPTURE(text);
        CHECK_FALSE(is_utf8(text));
    }
}
