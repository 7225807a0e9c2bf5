#include "control/fleet_watch.hpp"

#include <algorithm>

#include "mimosavalve/core/error.hpp"

namespace mimosavalve::control::detail {

namespace {

/// Accepts a configuration that is newer than the current one; an older one is ignored.
void accept_config(control_state& self, const std::string& bytes) {
    auto decoded = self.decode_config(bytes);
    if (!decoded) {
        record_event(self, "config-fault", "config", "the value is not a configuration");
        return;
    }
    if (self.config && decoded->version <= self.config->version) {
        return;
    }
    self.config = std::make_shared<const config::fleet_config>(std::move(*decoded));
    self.config_bytes = bytes;
    self.snapshot_changed = true;
    create_shard_entries(self);
    record_event(self, "config", std::to_string(self.config->version),
                 "a newer version was received");
}

void watch_config(control_state& self, steady_time now) {
    if (self.config_watch_pending || now < self.next_config_watch) {
        return;
    }
    self.config_watch_pending = true;
    auto received = [&self](std::error_code error, const ports::store_entry& value) {
        self.config_watch_pending = false;
        if (error && error != errc::not_found) {
            self.next_config_watch = now_of(self) + self.settings.intervals.store_retry_delay;
            return;
        }
        self.next_config_watch = now_of(self);
        if (error || value.revision == 0) {
            self.config_revision = 0;
            self.next_config_watch += self.settings.intervals.store_retry_delay;
        } else if (value.revision != self.config_revision) {
            self.config_revision = value.revision;
            accept_config(self, value.value);
        }
    };
    self.ports.store.watch("config", self.config_revision,
                           now + self.settings.intervals.store_watch_timeout,
                           guarded(self, received));
}

void read_host_list(control_state& self, steady_time now) {
    if (self.host_list_read_pending || now < self.next_host_list) {
        return;
    }
    self.host_list_read_pending = true;
    self.next_host_list = now + self.settings.intervals.host_list_interval;
    auto done = [&self](std::error_code error, const std::vector<ports::listed_host>& hosts) {
        self.host_list_read_pending = false;
        if (!error) {
            self.listed_hosts = hosts;
        }
    };
    self.ports.host_list.read(now + self.settings.intervals.host_list_interval,
                              guarded(self, done));
}

}  // namespace

void tick_fleet_watch(control_state& self, steady_time now) {
    watch_config(self, now);
    read_host_list(self, now);
}

void handle_config_fetch(control_state& self, const wire::Envelope& message) {
    if (!self.config || self.config->version <= message.config_fetch().held()) {
        return;
    }
    wire::Envelope answer;
    answer.mutable_config_update()->set_version(self.config->version);
    answer.mutable_config_update()->set_value(self.config_bytes);
    send(self, message.sender_address(), std::move(answer));
}

void handle_config_update(control_state& self, const wire::Envelope& message) {
    accept_config(self, message.config_update().value());
}

}  // namespace mimosavalve::control::detail
