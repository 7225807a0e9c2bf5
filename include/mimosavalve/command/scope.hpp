#pragma once

#include <string>
#include <string_view>

#include "mimosavalve/command/command.hpp"

namespace mimosavalve::command {

/// What a change touches, as a path: "account/ward-4/home". A change of one field has the scope of
/// this field, so that changes of different fields merge; else it has that of the whole item.
std::string scope_of(const change& what);

/// Whether one scope is the other or lies below it.
bool scopes_overlap(std::string_view left, std::string_view right);

/// Whether `text` is a scope: a kind (route, service, account, target or domain), a name and,
/// possibly, a field.
bool is_scope(std::string_view text);

}  // namespace mimosavalve::command
