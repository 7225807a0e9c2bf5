#include "mimosavalve/load/attempt_record.hpp"

#include <nlohmann/json.hpp>

namespace mimosavalve::load {

bool is_good(const attempt_record& record) {
    return record.status >= 200 && record.status < 300;
}

bool shows_outage(const attempt_record& record) {
    const bool own_fault = record.reason == "wrong-region" || record.reason == "duplicate";
    return !is_good(record) && !own_fault;
}

std::string to_json(const attempt_record& record) {
    nlohmann::ordered_json line;
    line["t_ns_start"] = record.start_ns;
    line["t_ns_end"] = record.end_ns;
    line["request_id"] = record.request_id;
    line["attempt"] = record.attempt;
    line["router"] = record.router;
    line["method"] = record.method;
    line["path"] = record.path;
    line["account"] = record.account;
    line["idempotency_key"] = record.idempotency_key;
    line["status"] = record.status;
    line["verdict"] = record.verdict;
    line["reason"] = record.reason;
    line["error"] = record.error;
    line["answered_id"] = record.answered_id;
    line["expected_hash"] = record.expected_hash;
    line["expected_size"] = record.expected_size;
    line["received_hash"] = record.received_hash;
    line["received_size"] = record.received_size;
    line["body_matches"] = record.body_matches;
    return line.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

std::optional<attempt_record> parse_attempt(std::string_view line) {
    const auto object = nlohmann::json::parse(line, nullptr, false);
    if (!object.is_object()) {
        return std::nullopt;
    }
    attempt_record record;
    try {
        object.at("t_ns_start").get_to(record.start_ns);
        object.at("t_ns_end").get_to(record.end_ns);
        object.at("request_id").get_to(record.request_id);
        object.at("attempt").get_to(record.attempt);
        object.at("router").get_to(record.router);
        object.at("method").get_to(record.method);
        object.at("path").get_to(record.path);
        object.at("account").get_to(record.account);
        object.at("idempotency_key").get_to(record.idempotency_key);
        object.at("status").get_to(record.status);
        object.at("verdict").get_to(record.verdict);
        object.at("reason").get_to(record.reason);
        object.at("error").get_to(record.error);
        object.at("answered_id").get_to(record.answered_id);
        object.at("expected_hash").get_to(record.expected_hash);
        object.at("expected_size").get_to(record.expected_size);
        object.at("received_hash").get_to(record.received_hash);
        object.at("received_size").get_to(record.received_size);
        object.at("body_matches").get_to(record.body_matches);
    } catch (const nlohmann::json::exception&) {
        return std::nullopt;
    }
    return record;
}

}  // namespace mimosavalve::load
