#pragma once

#include <memory>

#include "mimosavalve/adapters/http_server.hpp"
#include "mimosavalve/standins/hosts_data.hpp"

namespace mimosavalve::standins {

/// HTTP interface of the host list: `GET /hosts`, `PUT /hosts/<id>` with a JSON object,
/// `DELETE /hosts/<id>` and `POST /hosts/<id>/leaving`. The handler keeps the data alive.
adapters::http_handler make_hosts_handler(std::shared_ptr<hosts_data> data);

}  // namespace mimosavalve::standins
