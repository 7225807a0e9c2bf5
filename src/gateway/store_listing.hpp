#pragma once

#include <string>

#include "mimosavalve/gateway/platform_port.hpp"

namespace mimosavalve::gateway {

/// Lists all items under a prefix, page by page. The pages are not one snapshot: `revision` is that
/// of the first page, so that a watch from there on sees what changed while the others were read.
/// Any page that fails fails the whole.
void list_all(const metadata_store& store, const std::string& prefix, call_deadline deadline,
              metadata_store::items_handler done);

}  // namespace mimosavalve::gateway
