#include "mimosavalve/standins/hosts_service.hpp"

#include <boost/beast/http.hpp>
#include <chrono>
#include <string>
#include <string_view>
#include <utility>

#include "mimosavalve/adapters/host_json.hpp"
#include "mimosavalve/adapters/request_target.hpp"

namespace mimosavalve::standins {

namespace http = boost::beast::http;
using adapters::http_request;
using adapters::http_response;
using adapters::make_response;

namespace {

constexpr std::string_view list_path = "/hosts";
constexpr std::string_view leaving_suffix = "/leaving";

http_response result_of(bool found) {
    return found ? make_response(http::status::ok)
                 : make_response(http::status::not_found, "no such host\n");
}

http_response list_hosts(hosts_data& data) {
    const auto hosts = shown_hosts(data, std::chrono::steady_clock::now());
    return make_response(http::status::ok, adapters::encode_hosts(hosts) + "\n",
                         "application/json");
}

http_response replace_host(hosts_data& data, const std::string& id, const std::string& body) {
    auto host = adapters::decode_host(body);
    if (!host || host->id != id) {
        return make_response(http::status::bad_request,
                             "the body must be a JSON object with the id of the path, role "
                             "\"router\" or \"target\", address \"ip:port\", and numbers of slots "
                             "and connections from 1\n");
    }
    put_host(data, std::move(*host), std::chrono::steady_clock::now());
    return make_response(http::status::ok);
}

http_response change_host(hosts_data& data, const http_request& request, std::string_view rest) {
    const auto now = std::chrono::steady_clock::now();
    const auto leaving = request.method() == http::verb::post && rest.ends_with(leaving_suffix);
    if (leaving) {
        rest.remove_suffix(leaving_suffix.size());
    }
    const auto id = adapters::percent_decode(rest);
    if (id && leaving) {
        return result_of(mark_leaving(data, *id, now));
    }
    if (id && request.method() == http::verb::put) {
        return replace_host(data, *id, request.body());
    }
    if (id && request.method() == http::verb::delete_) {
        return result_of(remove_host(data, *id, now));
    }
    return make_response(http::status::bad_request, "no such call\n");
}

http_response answer(hosts_data& data, const http_request& request) {
    auto path = adapters::split_target({request.target().data(), request.target().size()}).path;
    if (request.method() == http::verb::get && path == list_path) {
        return list_hosts(data);
    }
    if (path.starts_with("/hosts/")) {
        path.remove_prefix(list_path.size() + 1);
        return change_host(data, request, path);
    }
    return make_response(http::status::bad_request, "no such call\n");
}

}  // namespace

adapters::http_handler make_hosts_handler(std::shared_ptr<hosts_data> data) {
    return
        [data = std::move(data)](const http_request& request, const boost::asio::yield_context&) {
            return answer(*data, request);
        };
}

}  // namespace mimosavalve::standins
