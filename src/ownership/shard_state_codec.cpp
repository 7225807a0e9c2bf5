#include "ownership/shard_state_codec.hpp"

#include <algorithm>

#include "mimosavalve/core/error.hpp"

namespace mimosavalve::ownership {

namespace detail {

bool is_sorted_and_disjoint(const std::vector<assignment>& ranges) {
    return std::adjacent_find(
               ranges.begin(), ranges.end(), [](const auto& left, const auto& right) {
                   if (left.service != right.service) {
                       return left.service > right.service;
                   }
                   return std::uint64_t{left.first_slot} + left.count > right.first_slot;
               }) == ranges.end();
}

target target_from_wire(const wire::Target& from) {
    target to;
    to.id = from.id();
    to.service = from.service();
    to.address = from.address();
    to.failure_domain = from.failure_domain();
    to.slots = from.slots();
    to.connections = from.connections();
    to.checks_fence = from.checks_fence();
    to.condition = static_cast<target_condition>(from.condition());
    to.instance = from.instance();
    to.fresh_since = from_wire(from.fresh_since());
    return to;
}

void target_to_wire(const target& from, wire::Target& to) {
    to.set_id(from.id);
    to.set_service(from.service);
    to.set_address(from.address);
    to.set_failure_domain(from.failure_domain);
    to.set_slots(from.slots);
    to.set_connections(from.connections);
    to.set_checks_fence(from.checks_fence);
    to.set_condition(static_cast<std::uint32_t>(from.condition));
    to.set_instance(from.instance);
    to_wire(from.fresh_since, *to.mutable_fresh_since());
}

}  // namespace detail

void to_wire(const version& from, wire::Version& to) {
    to.set_epoch(from.epoch);
    to.set_sequence(from.sequence);
}

version from_wire(const wire::Version& from) {
    return {from.epoch(), from.sequence()};
}

void to_wire(const instance_id& from, wire::Instance& to) {
    to.set_host(from.host);
    to.set_number(from.number);
}

instance_id from_wire(const wire::Instance& from) {
    return {from.host(), from.number()};
}

void to_wire(const shard_id& from, wire::Shard& to) {
    to.set_region(from.region);
    to.set_index(from.index);
}

shard_id from_wire(const wire::Shard& from) {
    return {from.region(), from.index()};
}

void to_wire(const shard_state& from, wire::ShardState& to) {
    to_wire(from.shard, *to.mutable_shard());
    to_wire(from.at, *to.mutable_at());
    to_wire(from.leader, *to.mutable_leader());
    to.set_leader_address(from.leader_address);
    for (const auto& voter : from.voters) {
        auto& out = *to.add_voters();
        to_wire(voter.id, *out.mutable_id());
        out.set_failure_domain(voter.failure_domain);
        out.set_address(voter.address);
    }
    to.set_store_weight(from.store_weight);
    to.set_config_version(from.config_version);
    for (const auto& target : from.targets) {
        detail::target_to_wire(target, *to.add_targets());
    }
    for (const auto& range : from.assignments) {
        auto& out = *to.add_assignments();
        out.set_service(range.service);
        out.set_first_slot(range.first_slot);
        out.set_count(range.count);
        out.set_owner(range.owner);
        to_wire(range.fence, *out.mutable_fence());
        out.set_previous_owner(range.previous_owner);
    }
    for (const auto& key : from.hot_keys) {
        auto& out = *to.add_hot_keys();
        out.set_service(key.service);
        out.set_key(key.key);
        out.set_owner(key.owner);
        to_wire(key.fence, *out.mutable_fence());
        out.set_previous_owner(key.previous_owner);
    }
    to.set_write_nonce(from.write_nonce);
}

std::optional<shard_state> from_wire(const wire::ShardState& from) {
    shard_state to;
    to.shard = from_wire(from.shard());
    to.at = from_wire(from.at());
    to.leader = from_wire(from.leader());
    to.leader_address = from.leader_address();
    for (const auto& voter : from.voters()) {
        to.voters.push_back({from_wire(voter.id()), voter.failure_domain(), voter.address()});
    }
    to.store_weight = from.store_weight();
    to.config_version = from.config_version();
    for (const auto& target : from.targets()) {
        if (target.condition() > static_cast<std::uint32_t>(target_condition::lost)) {
            return std::nullopt;
        }
        to.targets.push_back(detail::target_from_wire(target));
    }
    for (const auto& range : from.assignments()) {
        to.assignments.push_back({range.service(), range.first_slot(), range.count(), range.owner(),
                                  from_wire(range.fence()), range.previous_owner()});
    }
    for (const auto& key : from.hot_keys()) {
        to.hot_keys.push_back(
            {key.service(), key.key(), key.owner(), from_wire(key.fence()), key.previous_owner()});
    }
    to.write_nonce = from.write_nonce();
    if (to.shard.region.empty() || !detail::is_sorted_and_disjoint(to.assignments)) {
        return std::nullopt;
    }
    return to;
}

std::string encode(const shard_state& state) {
    wire::ShardState message;
    to_wire(state, message);
    return message.SerializeAsString();
}

std::optional<shard_state> decode_shard_state(std::string_view bytes, std::error_code& error) {
    wire::ShardState message;
    std::optional<shard_state> state;
    if (message.ParseFromArray(bytes.data(), static_cast<int>(bytes.size()))) {
        state = from_wire(message);
    }
    error = state ? std::error_code{} : make_error_code(errc::malformed_message);
    return state;
}

}  // namespace mimosavalve::ownership
