#include "store_listing.hpp"

#include <iterator>
#include <memory>

#include "control_timing.hpp"
#include "mimosavalve/core/error.hpp"

namespace mimosavalve::gateway {

namespace detail {

struct listing {
    const metadata_store* store = nullptr;
    std::string prefix;
    milliseconds page_timeout;
    metadata_store::items_handler done;
    store_items items;
};

void on_page(std::unique_ptr<listing> running, std::error_code error, store_items page);

void request_page(std::unique_ptr<listing> running) {
    const auto after = running->items.items.empty() ? "" : running->items.items.back().key;
    const auto& store = *running->store;
    const auto prefix = running->prefix;
    const auto deadline = deadline_in(running->page_timeout);
    // Shared pointer, since handlers of calls must be copyable.
    auto kept = std::make_shared<std::unique_ptr<listing>>(std::move(running));
    store.list(prefix, after, deadline, [kept](std::error_code error, store_items page) {
        on_page(std::move(*kept), error, std::move(page));
    });
}

void on_page(std::unique_ptr<listing> running, std::error_code error, store_items page) {
    const auto& known = running->items.items;
    const bool advances =
        !page.items.empty() && (known.empty() || page.items.back().key > known.back().key);
    if (!error && page.has_more && !advances) {
        error = make_error_code(errc::malformed_message);  // The listing would never end.
    }
    if (error) {
        running->done(error, {});
        return;
    }
    auto& all = running->items;
    if (!all.items.empty() && store_era_of(page.revision) != store_era_of(all.revision)) {
        running->done(make_error_code(errc::history_lost), {});
        return;
    }
    if (all.items.empty()) {
        all.revision = page.revision;
    }
    all.transfer_time += page.transfer_time;
    all.skipped += page.skipped;
    std::move(page.items.begin(), page.items.end(), std::back_inserter(all.items));
    if (page.has_more) {
        request_page(std::move(running));
    } else {
        running->done({}, std::move(all));
    }
}

}  // namespace detail

void list_all(const metadata_store& store, const std::string& prefix, milliseconds page_timeout,
              metadata_store::items_handler done) {
    detail::request_page(std::make_unique<detail::listing>(
        detail::listing{&store, prefix, page_timeout, std::move(done), {}}));
}

}  // namespace mimosavalve::gateway
