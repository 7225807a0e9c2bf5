#include "control/claims.hpp"

#include <algorithm>

#include "control/leader_role.hpp"
#include "ownership/shard_state_codec.hpp"

namespace mimosavalve::control::detail {

namespace {

claim_status decide_claim(control_state& self, const shard_id& shard, std::string_view key,
                          std::uint64_t first_attempt_unix_ms) {
    const auto found = self.shards.find(shard);
    const bool can_decide = found != self.shards.end() &&
                            can_act(self, found->second, now_of(self)) &&
                            found->second.leader->claims.started_unix_ms != 0;
    if (!can_decide) {
        return claim_status::no_leader;
    }
    return control::claim(found->second.leader->claims, key, first_attempt_unix_ms,
                          self.ports.unix_ms(), self.settings.intervals);
}

wire::ClaimReply::Status to_wire_status(claim_status status) {
    switch (status) {
        case claim_status::granted:
            return wire::ClaimReply::GRANTED;
        case claim_status::duplicate:
            return wire::ClaimReply::ALREADY_CLAIMED;
        case claim_status::too_old:
            return wire::ClaimReply::TOO_OLD;
        case claim_status::no_leader:
            break;
    }
    return wire::ClaimReply::NOT_LEADER;
}

claim_status from_wire_status(wire::ClaimReply::Status status) {
    switch (status) {
        case wire::ClaimReply::GRANTED:
            return claim_status::granted;
        case wire::ClaimReply::ALREADY_CLAIMED:
            return claim_status::duplicate;
        case wire::ClaimReply::TOO_OLD:
            return claim_status::too_old;
        default:
            return claim_status::no_leader;
    }
}

}  // namespace

void start_claim(control_state& self, const shard_id& shard, std::string_view key,
                 std::uint64_t first_attempt_unix_ms, steady_time deadline,
                 std::function<void(claim_status)> handler) {
    const auto found = self.shards.find(shard);
    if (found == self.shards.end() || !found->second.state) {
        handler(claim_status::no_leader);
        return;
    }
    if (is_leading(self, found->second)) {
        handler(decide_claim(self, shard, key, first_attempt_unix_ms));
        return;
    }
    wire::Envelope message;
    auto& request = *message.mutable_claim_request();
    request.set_number(self.next_request_number++);
    ownership::to_wire(shard, *request.mutable_shard());
    request.set_key(std::string(key));
    request.set_first_attempt_unix_ms(first_attempt_unix_ms);
    ownership::to_wire(found->second.state->at, *request.mutable_held());
    self.pending_claims.push_back({request.number(), deadline, std::move(handler)});
    send(self, found->second.state->leader_address, std::move(message));
}

void handle_claim_request(control_state& self, const wire::Envelope& message) {
    const auto& request = message.claim_request();
    const auto status = decide_claim(self, ownership::from_wire(request.shard()), request.key(),
                                     request.first_attempt_unix_ms());
    wire::Envelope answer;
    answer.mutable_claim_reply()->set_number(request.number());
    answer.mutable_claim_reply()->set_status(to_wire_status(status));
    send(self, message.sender_address(), std::move(answer));
}

void handle_claim_reply(control_state& self, const wire::Envelope& message) {
    const auto& reply = message.claim_reply();
    const auto found =
        std::find_if(self.pending_claims.begin(), self.pending_claims.end(),
                     [&](const pending_claim& entry) { return entry.number == reply.number(); });
    if (found == self.pending_claims.end()) {
        return;
    }
    const auto handler = std::move(found->handler);
    self.pending_claims.erase(found);
    handler(from_wire_status(reply.status()));
}

void tick_claims(control_state& self, steady_time now) {
    std::vector<pending_claim> ended;
    const auto is_open = [&](const pending_claim& entry) { return entry.deadline > now; };
    const auto first =
        std::stable_partition(self.pending_claims.begin(), self.pending_claims.end(), is_open);
    std::move(first, self.pending_claims.end(), std::back_inserter(ended));
    self.pending_claims.erase(first, self.pending_claims.end());
    for (const auto& entry : ended) {
        entry.handler(claim_status::no_leader);
    }
}

}  // namespace mimosavalve::control::detail
