#include "gateway/store_listing.hpp"

#include <doctest/doctest.h>

#include "mimosavalve/core/error.hpp"

using namespace mimosavalve;
using namespace mimosavalve::gateway;

namespace {

// Returns pages of one item, with a revision that increases with each page.
metadata_store paged_store(std::vector<std::string> keys, std::size_t failing_page) {
    metadata_store store;
    store.list = [keys = std::move(keys), failing_page, revision = std::uint64_t{40}](
                     const std::string&, const std::string& after, call_deadline,
                     const metadata_store::items_handler& done) mutable {
        const auto next = std::upper_bound(keys.begin(), keys.end(), after);
        store_items page;
        page.revision = ++revision;
        if (static_cast<std::size_t>(next - keys.begin()) == failing_page) {
            done(make_error_code(errc::store_unavailable), {});
            return;
        }
        if (next != keys.end()) {
            page.items.push_back({*next, "value of " + *next, 7, 7, 0});
            page.has_more = std::next(next) != keys.end();
        }
        done({}, page);
    };
    return store;
}

struct outcome {
    std::error_code error;
    store_items items;
    int calls = 0;
};

outcome list_from(const metadata_store& store) {
    outcome result;
    list_all(store, "targets/", milliseconds(800), [&](std::error_code error, store_items items) {
        result.error = error;
        result.items = std::move(items);
        ++result.calls;
    });
    return result;
}

}  // namespace

// Guards against a router that uses only the first page and so loses the other targets.
TEST_CASE("a listing contains the items of all pages [store_listing]") {
    const auto result = list_from(paged_store({"a", "b", "c"}, 9));
    CHECK(result.calls == 1);
    CHECK_FALSE(result.error);
    REQUIRE(result.items.items.size() == 3);
    CHECK(result.items.items.back().key == "c");
}

TEST_CASE(
    "a listing has the revision of its first page, for the watch that follows [store_listing]") {
    CHECK(list_from(paged_store({"a", "b", "c"}, 9)).items.revision == 41);
}

TEST_CASE("a failed page makes the listing fail [store_listing]") {
    const auto result = list_from(paged_store({"a", "b", "c"}, 1));
    CHECK(result.calls == 1);
    CHECK(result.error == errc::store_unavailable);
    CHECK(result.items.items.empty());
}

TEST_CASE("an empty page marked as incomplete ends the listing with an error [store_listing]") {
    metadata_store store;
    int calls = 0;
    store.list = [&](const std::string&, const std::string&, call_deadline,
                     const metadata_store::items_handler& done) {
        ++calls;
        store_items page;
        page.has_more = true;
        done({}, page);
    };
    CHECK(list_from(store).error == errc::malformed_message);
    CHECK(calls == 1);
}

// The first page is of the old era, the second one lacks what was written since the copy.
TEST_CASE("pages from before and after the store came back older are no listing [store_listing]") {
    metadata_store store;
    store.list = [](const std::string&, const std::string& after, call_deadline,
                    const metadata_store::items_handler& done) {
        store_items page;
        const std::uint64_t era = after.empty() ? 0 : 1;
        page.revision = (era << store_era_shift) + 40;
        page.items.push_back({after.empty() ? "a" : "b", "value", page.revision, 7, 0});
        page.has_more = after.empty();
        done({}, page);
    };
    const auto result = list_from(store);
    CHECK(result.calls == 1);
    CHECK(result.error == errc::history_lost);
    CHECK(result.items.items.empty());
}

// A store that answered each call with the same page kept its reader listing for ever.
TEST_CASE("a listing whose pages do not advance fails [store_listing]") {
    metadata_store store;
    int calls = 0;
    store.list = [&](const std::string&, const std::string&, call_deadline,
                     const metadata_store::items_handler& done) {
        store_items page;
        page.items.push_back({"a/1", "v", 7, 7, 0});
        page.has_more = ++calls < 100;
        done({}, page);
    };
    const auto listed = list_from(store);
    CHECK(listed.error == errc::malformed_message);
    CHECK(calls == 2);
}
