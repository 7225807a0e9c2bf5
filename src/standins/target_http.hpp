#pragma once

#include <boost/beast/http/fields.hpp>
#include <boost/beast/http/message.hpp>
#include <string>

#include "mimosavalve/standins/target_history.hpp"

namespace mimosavalve::standins {

/// Reads the headers of a request. On failure `problem` names the header and what is allowed.
bool read_request_info(const boost::beast::http::request_header<>& header, request_info& info,
                       std::string& problem);

/// Path of a request target without the query.
std::string path_of(const boost::beast::http::request_header<>& header);

/// Answer body that describes a stored value: its xxh64 as 16 hexadecimal digits, and its size.
std::string digest_text(std::uint64_t xxh64, std::uint64_t size);

}  // namespace mimosavalve::standins
