#include "router/event_codec.hpp"

#include <sstream>

#include "ownership/shard_state_codec.hpp"

namespace mimosavalve::router {

namespace detail {

observe::event_kind kind_of(const std::string& name) {
    if (name == "grant" || name == "revoke") {
        return observe::event_kind::grant;
    }
    if (name == "activate" || name == "in-force") {
        return observe::event_kind::activation;
    }
    if (name == "move") {
        return observe::event_kind::move;
    }
    if (name == "target-lost") {
        return observe::event_kind::loss;
    }
    if (name == "target-join" || name == "target-return") {
        return observe::event_kind::comeback;
    }
    if (name == "config") {
        return observe::event_kind::command;
    }
    return observe::event_kind::leader;
}

/// Paths of the subjects of a decision. For a move `event.subject` has the form
/// "SERVICE FIRST-LAST to OWNER".
std::vector<std::string> subjects_of(const control::event& event) {
    const auto kind = kind_of(event.kind);
    const bool concerns_target = kind == observe::event_kind::grant ||
                                 kind == observe::event_kind::loss ||
                                 kind == observe::event_kind::comeback;
    if (concerns_target) {
        return {"target/" + event.subject};
    }
    if (kind == observe::event_kind::move && event.shard) {
        std::istringstream words(event.subject);
        std::string service;
        std::string slots;
        std::string separator;
        std::string owner;
        words >> service >> slots >> separator >> owner;
        return {"slots/" + service + "/" + event.shard->region + "/" + slots, "target/" + owner};
    }
    return {event.shard ? "shard/" + to_string(*event.shard) : "config/" + event.subject};
}

}  // namespace detail

void to_wire(const observe::event_record& from, wire::EventRecord& to) {
    ownership::to_wire(from.process, *to.mutable_process());
    to.set_number(from.number);
    to.set_unix_ms(from.unix_ms);
    to.set_kind(std::string(observe::to_string(from.kind)));
    to.set_subject(from.subject);
    to.set_cause(from.cause);
    ownership::to_wire(from.shard, *to.mutable_shard());
    ownership::to_wire(from.at, *to.mutable_at());
    to.set_config_version(from.config_version);
    for (const auto& region : from.bound_regions) {
        to.add_bound_regions(region);
    }
}

std::optional<observe::event_record> from_wire(const wire::EventRecord& from) {
    const auto kind = observe::event_kind_of(from.kind());
    if (!kind) {
        return std::nullopt;
    }
    observe::event_record to;
    to.process = ownership::from_wire(from.process());
    to.number = from.number();
    to.unix_ms = from.unix_ms();
    to.kind = *kind;
    to.subject = from.subject();
    to.cause = from.cause();
    to.shard = ownership::from_wire(from.shard());
    to.at = ownership::from_wire(from.at());
    to.config_version = from.config_version();
    to.bound_regions.assign(from.bound_regions().begin(), from.bound_regions().end());
    return to;
}

void to_wire(const observe::event_query& from, wire::EventsQuery& to) {
    for (const auto& subject : from.subjects) {
        to.add_subjects(subject);
    }
    to.set_since_unix_ms(from.since_unix_ms);
    to.set_until_unix_ms(from.until_unix_ms);
    to.set_asking_region(from.asking_region);
}

observe::event_query from_wire(const wire::EventsQuery& from) {
    observe::event_query to;
    to.subjects.assign(from.subjects().begin(), from.subjects().end());
    to.since_unix_ms = from.since_unix_ms();
    to.until_unix_ms = from.until_unix_ms();
    to.asking_region = from.asking_region();
    return to;
}

void set_sender(wire::Envelope& message, const instance_id& sender, const std::string& address) {
    ownership::to_wire(sender, *message.mutable_sender());
    message.set_sender_address(address);
}

std::vector<observe::event_record> to_records(const control::event& event, std::uint64_t unix_ms) {
    std::vector<observe::event_record> records;
    for (auto& subject : detail::subjects_of(event)) {
        observe::event_record record;
        record.unix_ms = unix_ms;
        record.kind = detail::kind_of(event.kind);
        record.subject = std::move(subject);
        record.cause = event.kind + " " + event.subject + ": " + event.cause;
        record.shard = event.shard.value_or(shard_id{});
        record.at = event.state_version;
        record.config_version = event.config_version;
        records.push_back(std::move(record));
    }
    return records;
}

}  // namespace mimosavalve::router
