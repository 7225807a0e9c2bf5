#pragma once

#include <string>

#include "mimosavalve/gateway/platform_port.hpp"

namespace mimosavalve::gateway {

/// Lists all items under a prefix, page by page. The pages are not one snapshot: `revision` is that
/// of the first page, so that a watch from this revision reports changes made while the other pages
/// were read. If a page fails, the whole listing fails. It fails with `errc::history_lost` if the
/// store came back from an older copy between two pages; it can be repeated at once.
/// `page_timeout`: maximum duration of the call for one page; a listing takes as many calls as it
/// has pages.
void list_all(const metadata_store& store, const std::string& prefix, milliseconds page_timeout,
              metadata_store::items_handler done);

}  // namespace mimosavalve::gateway
