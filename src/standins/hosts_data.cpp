#include "mimosavalve/standins/hosts_data.hpp"

#include <utility>

namespace mimosavalve::standins {

namespace {

void apply(hosts_data& data, hosts_change change) {
    if (change.host) {
        data.shown.insert_or_assign(change.id, std::move(*change.host));
    } else {
        data.shown.erase(change.id);
    }
}

}  // namespace

void add_initial_hosts(hosts_data& data, const std::vector<ports::listed_host>& hosts) {
    for (const auto& host : hosts) {
        data.present.insert_or_assign(host.id, host);
        data.shown.insert_or_assign(host.id, host);
    }
}

void put_host(hosts_data& data, ports::listed_host host, steady_time now) {
    data.pending.push_back({now + data.lag, host.id, host});
    auto id = host.id;
    data.present.insert_or_assign(std::move(id), std::move(host));
}

bool remove_host(hosts_data& data, std::string_view id, steady_time now) {
    const auto found = data.present.find(id);
    if (found == data.present.end()) {
        return false;
    }
    data.present.erase(found);
    data.pending.push_back({now + data.lag, std::string(id), std::nullopt});
    return true;
}

bool mark_leaving(hosts_data& data, std::string_view id, steady_time now) {
    const auto found = data.present.find(id);
    if (found == data.present.end()) {
        return false;
    }
    auto host = found->second;
    host.leaving = true;
    put_host(data, std::move(host), now);
    return true;
}

std::vector<ports::listed_host> shown_hosts(hosts_data& data, steady_time now) {
    while (!data.pending.empty() && data.pending.front().shown_at <= now) {
        apply(data, std::move(data.pending.front()));
        data.pending.pop_front();
    }
    std::vector<ports::listed_host> hosts;
    hosts.reserve(data.shown.size());
    for (const auto& [id, host] : data.shown) {
        hosts.push_back(host);
    }
    return hosts;
}

}  // namespace mimosavalve::standins
