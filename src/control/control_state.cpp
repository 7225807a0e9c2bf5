#include "control/control_state.hpp"

#include <algorithm>

#include "control/control_plane_dispatch.hpp"
#include "control/router_role.hpp"
#include "ownership/shard_state_codec.hpp"

namespace mimosavalve::control::detail {

void send(control_state& self, const std::string& address, wire::Envelope message) {
    ownership::to_wire(self.settings.self, *message.mutable_sender());
    message.set_sender_address(self.settings.address);
    if (address == self.settings.address) {
        self.loopback_messages.push_back(std::move(message));
    } else if (!address.empty()) {
        self.ports.peers.send(address, message);
    }
}

void record_event(control_state& self, std::string kind, std::string subject, std::string cause,
                  const shard_entry* entry) {
    if (!self.outputs.record) {
        return;
    }
    event happened;
    happened.kind = std::move(kind);
    happened.subject = std::move(subject);
    happened.cause = std::move(cause);
    happened.config_version = self.config ? self.config->version : 0;
    if (entry != nullptr) {
        happened.shard = entry->id;
        happened.state_version = entry->state ? entry->state->at : version{};
    }
    self.outputs.record(std::move(happened));
}

void finish_input(control_state& self) {
    while (!self.loopback_messages.empty()) {
        const auto message = std::move(self.loopback_messages.front());
        self.loopback_messages.pop_front();
        dispatch(self, message, now_of(self));
    }
    publish_if_changed(self);
}

bool has_voter(const ownership::shard_state& state, const instance_id& process) {
    return std::any_of(state.voters.begin(), state.voters.end(),
                       [&](const ownership::voter& entry) { return entry.id == process; });
}

void create_shard_entries(control_state& self) {
    if (!self.config) {
        return;
    }
    for (const auto& region : self.config->regions) {
        for (std::uint32_t index = 0; index < self.config->shards_per_region; ++index) {
            const shard_id id{region.name, index};
            auto& entry = self.shards[id];
            entry.id = id;
            if (region.name == self.settings.region && !entry.leader) {
                entry.leader.emplace();
            }
        }
    }
}

}  // namespace mimosavalve::control::detail
