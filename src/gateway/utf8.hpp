#pragma once

#include <string_view>

namespace mimosavalve::gateway {

/// Whether bytes are text in UTF-8 (RFC 3629), as strings of JSON bodies must be.
bool is_utf8(std::string_view bytes);

}  // namespace mimosavalve::gateway
