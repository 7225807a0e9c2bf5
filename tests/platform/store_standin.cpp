#include "store_standin.hpp"

#include <nlohmann/json.hpp>

#include "base64.hpp"
#include "wire_names.hpp"

namespace mimosavalve::platform::testing {

namespace {

using gateway::internal_answer;
using gateway::milliseconds;
using nlohmann::json;

constexpr unsigned ok = 200;
constexpr unsigned bad_request = 400;
constexpr unsigned not_found = 404;
constexpr unsigned gone = 410;
constexpr unsigned precondition_failed = 412;
constexpr unsigned unavailable = 503;

/// Adds an item whose key is shorter than any prefix, and one without a key.
void add_foreign_items(json& items) {
    items.push_back({{"key", "x"}, {"value", "dg=="}, {"revision", 1}, {"createRev", 1}});
    items.push_back({{"value", "dg=="}, {"revision", 1}, {"createRev", 1}});
}

internal_answer json_answer(unsigned status, const json& body) {
    return {status, "application/json", body.dump(), {}};
}

std::string percent_decoded(std::string_view text) {
    std::string out;
    for (std::size_t position = 0; position < text.size(); ++position) {
        if (text[position] == '%' && position + 2 < text.size()) {
            out.push_back(static_cast<char>(
                std::stoi(std::string(text.substr(position + 1, 2)), nullptr, 16)));
            position += 2;
        } else {
            out.push_back(text[position]);
        }
    }
    return out;
}

std::map<std::string, std::string> query_of(std::string_view target) {
    std::map<std::string, std::string> out;
    const auto question_mark = target.find('?');
    auto rest = question_mark == std::string_view::npos ? std::string_view()
                                                        : target.substr(question_mark + 1);
    while (!rest.empty()) {
        const auto parameter = rest.substr(0, rest.find('&'));
        const auto equals_sign = parameter.find('=');
        out[percent_decoded(parameter.substr(0, equals_sign))] =
            percent_decoded(parameter.substr(equals_sign + 1));
        rest.remove_prefix(std::min(parameter.size() + 1, rest.size()));
    }
    return out;
}

std::string parameter_of(const std::map<std::string, std::string>& query, const std::string& name) {
    const auto found = query.find(name);
    return found == query.end() ? std::string() : found->second;
}

std::uint64_t number_of(const std::string& text) {
    return text.empty() ? 0 : std::stoull(text);
}

}  // namespace

gateway::tcp::endpoint store_standin::listen(const std::string& host,
                                             const gateway::tcp::endpoint& address) {
    servers_[host] = std::make_unique<gateway::internal_server>(
        context_, address,
        [this, host](const gateway::message_head& head, const std::string& body,
                     const gateway::internal_server::respond& respond) {
            serve(host, head, body, [this, host, respond](internal_answer result) {
                answered_bytes_[host] += result.body.size();
                if (era_ != 0) {
                    result.fields.push_back({wire::store_era_header, std::to_string(era_)});
                }
                if (answer_delay.count() == 0) {
                    respond(result);
                } else {
                    gateway::run_after(context_, answer_delay, lifetime_,
                                       [respond, result] { respond(result); });
                }
            });
        });
    return servers_[host]->address();
}

void store_standin::set_access(const std::string& host, store_access access) {
    access_[host] = access;
    // Pending watches of the host get an error, or no answer at all.
    for (auto& pending : watchers_) {
        if (pending.host == host && access == store_access::refused) {
            pending.respond(json_answer(unavailable, json::object()));
        }
    }
    std::erase_if(watchers_, [&](const auto& pending) {
        return pending.host == host && access != store_access::served;
    });
}

void store_standin::put(const std::string& key, const std::string& value) {
    apply(key, value, 0, ++contents_.revision);
    notify_watchers();
}

void store_standin::remove(const std::string& key) {
    erase(key, ++contents_.revision);
    notify_watchers();
}

const std::string* store_standin::value_of(const std::string& key) const {
    const auto found = contents_.items.find(key);
    return found == contents_.items.end() ? nullptr : &found->second.value;
}

void store_standin::discard_history() {
    contents_.history.clear();
    contents_.history_start_revision = contents_.revision;
    const auto pending = std::move(watchers_);
    watchers_.clear();
    for (const auto& watch : pending) {
        watch.respond(json_answer(gone, json::object()));
    }
}

void store_standin::restore_copy() {
    contents_ = copy_;
    ++era_;
    for (auto& [id, lease] : contents_.leases) {
        lease.renewal = ++last_renewal_;
        schedule_lease_expiry(id);
    }
    const auto pending = std::move(watchers_);
    watchers_.clear();
    for (const auto& watch : pending) {
        watch.respond(json_answer(unavailable, json::object()));
    }
}

void store_standin::serve(const std::string& host, const gateway::message_head& head,
                          const std::string& body,
                          const gateway::internal_server::respond& respond) {
    const auto access = access_[host];
    if (access == store_access::unanswered) {
        return;
    }
    if (access == store_access::refused) {
        respond(json_answer(unavailable, json::object()));
        return;
    }
    const auto path = std::string(gateway::path_of(head));
    const auto query = query_of(head.request_target);
    const auto id_after = [&](const char* prefix) {
        return number_of(path.substr(std::string_view(prefix).size()));
    };
    if (path == wire::read_item_path) {
        respond(read(query));
    } else if (path == wire::list_items_path) {
        respond(list(query));
    } else if (path == wire::watch_path) {
        watch(host, query, respond);
    } else if (path == wire::write_path) {
        const auto written = write(body);
        if (written.status == ok && unanswered_writes > 0) {
            --unanswered_writes;
        } else {
            respond(written);
        }
    } else if (path == wire::open_lease_path) {
        respond(open_lease(body));
    } else if (path.starts_with(wire::renew_lease_path)) {
        respond(renew_lease(id_after(wire::renew_lease_path)));
    } else if (path.starts_with(wire::end_lease_path)) {
        const auto id = id_after(wire::end_lease_path);
        const bool known = contents_.leases.contains(id);
        end_lease(id);
        respond(json_answer(known ? ok : not_found, json::object()));
    } else {
        respond(json_answer(bad_request, json::object()));
    }
}

namespace {

template <typename Item>
json to_json(const std::string& key, const Item& item) {
    return {{"key", key},
            {"value", encode_base64(item.value)},
            {"revision", item.revision},
            {"createRev", item.created_revision},
            {"lease", item.lease}};
}

}  // namespace

internal_answer store_standin::read(const std::map<std::string, std::string>& query) const {
    const auto found = contents_.items.find(parameter_of(query, "key"));
    if (found == contents_.items.end()) {
        return json_answer(not_found, {{"asOf", contents_.revision}});
    }
    auto body = to_json(found->first, found->second);
    body["asOf"] = contents_.revision;
    return json_answer(ok, body);
}

internal_answer store_standin::list(const std::map<std::string, std::string>& query) const {
    const auto prefix = parameter_of(query, "prefix");
    const auto after = parameter_of(query, "after");
    json items = json::array();
    bool has_more = false;
    for (const auto& [key, item] : contents_.items) {
        if (!key.starts_with(prefix) || key <= after) {
            continue;
        }
        has_more = items.size() >= max_page_items;
        if (has_more) {
            break;
        }
        items.push_back(to_json(key, item));
    }
    if (adds_foreign_items) {
        add_foreign_items(items);
    }
    return json_answer(ok, {{"items", items}, {"hasMore", has_more}, {"asOf", contents_.revision}});
}

std::string store_standin::events_after(const std::string& prefix,
                                        std::uint64_t after_revision) const {
    json events = json::array();
    for (const auto& change : contents_.history) {
        if (change.item.revision <= after_revision || !change.key.starts_with(prefix)) {
            continue;
        }
        events.push_back(
            change.deleted
                ? json({{"key", change.key}, {"revision", change.item.revision}, {"deleted", true}})
                : to_json(change.key, change.item));
    }
    if (adds_foreign_items && !events.empty()) {
        add_foreign_items(events);
    }
    return events.empty() ? std::string()
                          : json({{"events", events}, {"asOf", contents_.revision}}).dump();
}

void store_standin::watch(const std::string& host, const std::map<std::string, std::string>& query,
                          const gateway::internal_server::respond& respond) {
    const watcher added{host, parameter_of(query, "prefix"),
                        number_of(parameter_of(query, "after")), respond};
    if (added.after_revision < contents_.history_start_revision ||
        added.after_revision > contents_.revision) {
        respond(json_answer(gone, json::object()));
        return;
    }
    const auto events = events_after(added.prefix, added.after_revision);
    if (!events.empty()) {
        respond({ok, "application/json", events, {}});
        return;
    }
    watchers_.push_back(added);
    const auto stored = &watchers_.back();
    gateway::run_after(
        context_, milliseconds(number_of(parameter_of(query, "waitMs"))), lifetime_,
        [this, stored, after_revision = added.after_revision] {
            for (auto position = watchers_.begin(); position != watchers_.end(); ++position) {
                if (&*position == stored && position->after_revision == after_revision) {
                    const auto respond_empty = position->respond;
                    watchers_.erase(position);
                    respond_empty(
                        json_answer(ok, {{"events", json::array()}, {"asOf", contents_.revision}}));
                    return;
                }
            }
        });
}

void store_standin::notify_watchers() {
    for (auto position = watchers_.begin(); position != watchers_.end();) {
        const auto events = events_after(position->prefix, position->after_revision);
        if (events.empty()) {
            ++position;
            continue;
        }
        const auto respond = position->respond;
        position = watchers_.erase(position);
        respond({ok, "application/json", events, {}});
    }
}

internal_answer store_standin::write(const std::string& text) {
    const auto body = json::parse(text, nullptr, false);
    if (!body.is_object()) {
        return json_answer(bad_request, json::object());
    }
    json current = json::array();
    bool conditions_hold = true;
    for (const auto& row : body.at("precondition")) {
        const auto key = row.at("key").get<std::string>();
        const auto found = contents_.items.find(key);
        const auto revision = found == contents_.items.end() ? 0 : found->second.revision;
        conditions_hold = conditions_hold && revision == row.at("revision").get<std::uint64_t>();
        current.push_back(found == contents_.items.end() ? json({{"key", key}, {"revision", 0}})
                                                         : to_json(key, found->second));
    }
    if (!conditions_hold) {
        return json_answer(precondition_failed, {{"items", current}, {"asOf", contents_.revision}});
    }
    for (const auto& row : body.at("puts")) {
        const auto lease = row.at("lease").get<std::uint64_t>();
        if (lease != 0 && !contents_.leases.contains(lease)) {
            return json_answer(not_found, json::object());
        }
    }
    ++contents_.revision;
    for (const auto& row : body.at("puts")) {
        apply(row.at("key").get<std::string>(), decode_base64(row.at("value").get<std::string>()),
              row.at("lease").get<std::uint64_t>(), contents_.revision);
    }
    for (const auto& key : body.at("remove")) {
        erase(key.get<std::string>(), contents_.revision);
    }
    const auto written = contents_.revision;
    notify_watchers();
    return json_answer(ok, {{"revision", written}});
}

internal_answer store_standin::open_lease(const std::string& text) {
    const auto ttl = json::parse(text).at("ttlMs").get<std::uint64_t>();
    const auto id = contents_.next_lease++;
    contents_.leases[id] = {ttl, ++last_renewal_};
    schedule_lease_expiry(id);
    return json_answer(ok, {{"lease", id}, {"ttlMs", ttl}});
}

internal_answer store_standin::renew_lease(std::uint64_t id) {
    const auto found = contents_.leases.find(id);
    if (found == contents_.leases.end()) {
        return json_answer(not_found, json::object());
    }
    found->second.renewal = ++last_renewal_;
    schedule_lease_expiry(id);
    return json_answer(ok, {{"ttlMs", found->second.ttl_ms}});
}

void store_standin::schedule_lease_expiry(std::uint64_t id) {
    const auto& lease = contents_.leases.at(id);
    gateway::run_after(
        context_, milliseconds(lease.ttl_ms), lifetime_, [this, id, renewal = lease.renewal] {
            const auto found = contents_.leases.find(id);
            if (found != contents_.leases.end() && found->second.renewal == renewal) {
                end_lease(id);
            }
        });
}

void store_standin::end_lease(std::uint64_t id) {
    if (contents_.leases.erase(id) == 0) {
        return;
    }
    std::vector<std::string> removed_keys;
    for (const auto& [key, item] : contents_.items) {
        if (item.lease == id) {
            removed_keys.push_back(key);
        }
    }
    ++contents_.revision;
    for (const auto& key : removed_keys) {
        erase(key, contents_.revision);
    }
    notify_watchers();
}

void store_standin::apply(const std::string& key, const std::string& value, std::uint64_t lease,
                          std::uint64_t revision) {
    auto& item = contents_.items[key];
    item.value = value;
    item.revision = revision;
    item.created_revision = item.created_revision == 0 ? revision : item.created_revision;
    item.lease = lease;
    contents_.history.push_back({key, item, false});
}

void store_standin::erase(const std::string& key, std::uint64_t revision) {
    if (contents_.items.erase(key) > 0) {
        stored_change removed;
        removed.key = key;
        removed.item.revision = revision;
        removed.deleted = true;
        contents_.history.push_back(std::move(removed));
    }
}

}  // namespace mimosavalve::platform::testing
