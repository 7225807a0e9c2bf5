// Tests of the client of the store over sockets, with a stand-in for the store.
#include "store_client.hpp"

#include <doctest/doctest.h>

#include <optional>

#include "gateway/control_timing.hpp"
#include "mimosavalve/core/error.hpp"
#include "store_standin.hpp"

using namespace mimosavalve;
using namespace mimosavalve::platform::testing;
using gateway::milliseconds;
using gateway::detail::deadline_in;

namespace {

constexpr milliseconds call_time{2000};

struct number_result {
    std::error_code error;
    std::uint64_t number = 0;
};

struct items_result {
    std::error_code error;
    gateway::store_items items;
};

/// A client of a store that the test can restore from a copy.
struct store_fixture {
    boost::asio::io_context context;
    store_standin standin{context};
    gateway::call_client calls{context};
    gateway::tcp::endpoint address =
        standin.listen("h1", {boost::asio::ip::address_v4::loopback(), 0});
    gateway::metadata_store store = platform::make_store(calls, address);
    gateway::metadata_store other_store = platform::make_store(calls, address);

    /// The next calls come from another client, and those after another change from the first
    /// again.
    void change_client() { std::swap(store, other_store); }
    template <typename Result, typename Call>
    Result result_of(Call call) {
        std::optional<Result> out;
        call([&](std::error_code error, auto value) { out = Result{error, std::move(value)}; });
        CHECK_FALSE(out);  // A handler never runs inside the call.
        while (!out) {
            context.run_one();
        }
        return *out;
    }
    items_result list() {
        return result_of<items_result>(
            [&](auto done) { store.list("a/", "", deadline_in(call_time), done); });
    }
    items_result watch(std::uint64_t revision, milliseconds wait = milliseconds(50)) {
        return result_of<items_result>(
            [&](auto done) { store.watch("a/", revision, wait, deadline_in(call_time), done); });
    }
    number_result write(const gateway::store_batch& batch) {
        return result_of<number_result>(
            [&](auto done) { store.write(batch, deadline_in(call_time), done); });
    }
    number_result put(const std::string& key, std::uint64_t condition, std::uint64_t lease = 0) {
        return write({{{key, condition}}, {{key, "v", lease}}, {}});
    }
    number_result grant_lease() {
        return result_of<number_result>([&](auto done) {
            store.grant_lease(milliseconds(60000), deadline_in(call_time), done);
        });
    }
    number_result renew_lease(std::uint64_t lease) {
        return result_of<number_result>(
            [&](auto done) { store.renew_lease(lease, deadline_in(call_time), done); });
    }
    number_result revoke_lease(std::uint64_t lease) {
        return result_of<number_result>(
            [&](auto done) { store.revoke_lease(lease, deadline_in(call_time), done); });
    }
};

}  // namespace

TEST_CASE("revisions and lease ids rise although the store gives them out again [platform]") {
    store_fixture fixture;
    fixture.standin.take_copy();
    const auto before = fixture.put("a/1", 0);
    const auto lease_before = fixture.grant_lease();
    fixture.standin.restore_copy();
    const auto after = fixture.put("a/1", 0);
    CHECK_FALSE(after.error);
    CHECK(gateway::store_era_of(before.number) == 0);
    CHECK(gateway::store_era_of(after.number) == 1);
    CHECK(after.number > before.number);
    const auto lease = fixture.grant_lease();
    CHECK(lease.number > lease_before.number);
    CHECK_FALSE(fixture.put("a/2", 0, lease.number).error);

    const auto listed = fixture.list();
    REQUIRE(listed.items.items.size() == 2);
    CHECK(listed.items.revision > after.number);
    CHECK(listed.items.items[0].revision == after.number);
    CHECK(listed.items.items[0].created == after.number);
    CHECK(listed.items.items[0].lease == 0);
    CHECK(listed.items.items[1].lease == lease.number);
    CHECK_FALSE(fixture.put("a/1", after.number).error);
    CHECK_FALSE(fixture.renew_lease(lease.number).error);
    CHECK_FALSE(fixture.revoke_lease(lease.number).error);
}

TEST_CASE("a watch does not go on from a revision of an earlier era [platform]") {
    store_fixture fixture;
    fixture.standin.take_copy();
    const auto before = fixture.put("a/1", 0);
    fixture.standin.restore_copy();
    // The store gives out the revision of the first write again.
    fixture.standin.put("b/1", "v");
    CHECK(fixture.watch(before.number).error == errc::history_lost);
    // Now the client knows the new era.
    CHECK(fixture.watch(before.number).error == errc::history_lost);
    const auto listed = fixture.list();
    fixture.standin.put("a/2", "v");
    const auto watched = fixture.watch(listed.items.revision);
    REQUIRE(watched.items.items.size() == 1);
    CHECK(watched.items.items[0].key == "a/2");
}

TEST_CASE("a condition from an earlier era never holds by accident [platform]") {
    store_fixture fixture;
    fixture.standin.take_copy();
    const auto before = fixture.put("a/1", 0);
    fixture.standin.restore_copy();
    fixture.standin.put("a/1", "written by another");
    // The client does not know of the new era yet, and the store took the write.
    CHECK(fixture.put("a/1", before.number).error == errc::store_unavailable);

    fixture.standin.put("a/1", "written by another");
    CHECK(fixture.put("a/1", before.number).error == errc::store_conflict);
    CHECK(*fixture.standin.value_of("a/1") == "written by another");
    CHECK(fixture.put("a/2", 0).error == std::error_code());
}

TEST_CASE("a lease from an earlier era is never taken for one given out again [platform]") {
    store_fixture fixture;
    fixture.standin.take_copy();
    const auto lease = fixture.grant_lease();
    fixture.change_client();
    const auto lease_of_other = fixture.grant_lease();
    fixture.standin.restore_copy();
    // Another router gets both ids. The first two clients do not know of the new era yet.
    auto newcomer = platform::make_store(fixture.calls, fixture.address);
    std::swap(fixture.store, newcomer);
    const auto first_again = fixture.grant_lease();
    const auto second_again = fixture.grant_lease();
    REQUIRE(gateway::store_era_of(first_again.number) == 1);
    std::swap(fixture.store, newcomer);

    CHECK(fixture.put("a/1", 0, lease_of_other.number).error == errc::store_unavailable);
    CHECK(fixture.put("a/2", 0, lease_of_other.number).error == errc::store_conflict);
    fixture.change_client();
    CHECK(fixture.renew_lease(lease.number).error == errc::store_lease_expired);
    CHECK(fixture.renew_lease(lease.number).error == errc::store_lease_expired);
    CHECK(fixture.revoke_lease(lease.number).error == errc::store_lease_expired);
    CHECK(fixture.put("a/3", 0, lease.number).error == errc::store_conflict);

    std::swap(fixture.store, newcomer);
    CHECK_FALSE(fixture.renew_lease(first_again.number).error);
    CHECK_FALSE(fixture.renew_lease(second_again.number).error);
}

TEST_CASE("a lease id that does not fit below the era is passed back whole [platform]") {
    store_fixture fixture;
    const auto lease = fixture.grant_lease();
    CHECK_FALSE(fixture.renew_lease(lease.number).error);
    CHECK_FALSE(fixture.put("a/1", 0, lease.number).error);
    const auto listed = fixture.list();
    REQUIRE(listed.items.items.size() == 1);
    CHECK(listed.items.items[0].lease == lease.number);
    CHECK_FALSE(fixture.revoke_lease(lease.number).error);
    CHECK(fixture.list().items.items.empty());

    fixture.change_client();
    const auto lease_of_other = fixture.grant_lease();
    CHECK_FALSE(fixture.put("a/2", 0, lease_of_other.number).error);
    fixture.change_client();
    // The item of another client must not seem to be under this client's lease.
    CHECK(fixture.list().items.items.front().lease != lease.number);
    CHECK(fixture.list().items.items.front().lease != 0);
}

// An item with a key that was shorter than the prefix ended the process that read it.
TEST_CASE("items outside the prefix, and those without a key, are left out [platform]") {
    store_fixture fixture;
    fixture.standin.adds_foreign_items = true;
    fixture.put("a/1", 0);
    const auto listed = fixture.list();
    REQUIRE(listed.items.items.size() == 1);
    CHECK(listed.items.items[0].key == "a/1");
    CHECK(listed.items.skipped == 2);
    fixture.put("a/2", 0);
    const auto watched = fixture.watch(listed.items.revision);
    REQUIRE(watched.items.items.size() == 1);
    CHECK(watched.items.items[0].key == "a/2");
    CHECK(watched.items.skipped == 2);
}
