#include "mimosavalve/standins/target_history.hpp"

#include <nlohmann/json.hpp>

namespace mimosavalve::standins {

namespace detail {

std::int64_t nanoseconds_of(std::chrono::steady_clock::time_point at) {
    return std::chrono::duration_cast<std::chrono::nanoseconds>(at.time_since_epoch()).count();
}

// Headers may hold any bytes; those that are not UTF-8 are replaced rather than thrown upon.
std::string line_of(const nlohmann::ordered_json& object) {
    return object.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

}  // namespace detail

std::error_code target_history::open(const target_settings& settings, std::uint64_t instance) {
    target_ = settings.id;
    instance_ = instance;
    if (settings.history_file.empty()) {
        return {};
    }
    file_.open(settings.history_file, std::ios::app);
    if (!file_) {
        return std::make_error_code(std::errc::io_error);
    }
    nlohmann::ordered_json line;
    line["t_ns"] = detail::nanoseconds_of(std::chrono::steady_clock::now());
    line["target"] = target_;
    line["instance"] = instance_;
    line["event"] = "open";
    line["service"] = settings.service;
    line["region"] = settings.region;
    line["failure_domain"] = settings.failure_domain;
    line["slots"] = settings.slots;
    line["checks_fence"] = settings.checks_fence;
    file_ << detail::line_of(line) << std::endl;
    return {};
}

void target_history::record(std::string_view event, const request_info& request,
                            std::chrono::steady_clock::time_point at) {
    if (!file_.is_open()) {
        return;
    }
    nlohmann::ordered_json line;
    line["t_ns"] = detail::nanoseconds_of(at);
    line["target"] = target_;
    line["instance"] = instance_;
    line["event"] = event;
    line["service"] = request.service;
    line["slot"] = request.slot ? nlohmann::ordered_json(*request.slot) : nullptr;
    line["key"] = request.path;
    line["account"] = request.account;
    line["fence"] = request.fence ? nlohmann::ordered_json(to_string(*request.fence)) : nullptr;
    line["request_id"] = request.request_id;
    line["idempotency_key"] = request.idempotency_key;
    line["method"] = request.method;
    file_ << detail::line_of(line) << std::endl;
}

void target_history::record_pause(std::chrono::steady_clock::time_point from,
                                  std::chrono::steady_clock::time_point until) {
    if (!file_.is_open()) {
        return;
    }
    nlohmann::ordered_json line;
    line["t_ns"] = detail::nanoseconds_of(until);
    line["target"] = target_;
    line["instance"] = instance_;
    line["event"] = "pause";
    line["from_ns"] = detail::nanoseconds_of(from);
    file_ << detail::line_of(line) << std::endl;
}

}  // namespace mimosavalve::standins
