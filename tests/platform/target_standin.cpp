#include "target_standin.hpp"

#include <algorithm>
#include <nlohmann/json.hpp>

#include "wire_names.hpp"

namespace mimosavalve::platform::testing {

namespace {

using gateway::boot_clock;
using gateway::internal_answer;
using gateway::milliseconds;
using nlohmann::json;

constexpr unsigned ok = 200;
constexpr unsigned conflict = 409;
constexpr unsigned misdirected = 421;
constexpr unsigned unavailable = 503;
constexpr std::uint32_t max_running = 4;

std::string address_text(const gateway::tcp::endpoint& address) {
    return address.address().to_string() + ":" + std::to_string(address.port());
}

bool ranges_overlap(std::uint32_t first, std::uint32_t last, std::uint32_t other_first,
                    std::uint32_t other_last) {
    return first <= other_last && other_first <= last;
}

}  // namespace

target_standin::target_standin(boost::asio::io_context& context, target_options options,
                               target_group& group, target_history& history)
    : context_(context), options_(std::move(options)), group_(group), history_(history) {
    started_unix_ms_ =
        static_cast<std::uint64_t>(std::chrono::duration_cast<milliseconds>(
                                       std::chrono::system_clock::now().time_since_epoch())
                                       .count());
    server_ = std::make_unique<gateway::internal_server>(
        context_, options_.address,
        [this](const gateway::message_head& head, const std::string& body,
               const gateway::internal_server::respond& respond) { serve(head, body, respond); });
    group_.push_back(this);
}

target_standin::~target_standin() {
    std::erase(group_, this);
}

std::string target_standin::next_store_entry() {
    return json({{"service", options_.service},
                 {"address", address_text(options_.address)},
                 {"zone", options_.failure_domain},
                 {"version", "1"},
                 {"slots", max_running},
                 {"state", leaving ? "draining" : "ready"},
                 {"warmupLeftMs", 0},
                 {"sequence", ++sequence_},
                 {"born", started_unix_ms_}})
        .dump();
}

bool target_standin::holds(std::uint32_t key) const {
    const auto now = boot_clock::now();
    return std::any_of(granted_ranges_.begin(), granted_ranges_.end(),
                       [&](const granted_range& held) {
                           return held.first <= key && key <= held.last && now < held.end;
                       });
}

void target_standin::serve(const gateway::message_head& head, const std::string& body,
                           const gateway::internal_server::respond& respond) {
    if (silent) {
        return;
    }
    const auto path = gateway::path_of(head);
    const auto expected = gateway::field_of(head, wire::expected_target_header);
    if (path == wire::grant_path && !expected.empty() && expected != options_.id) {
        respond({misdirected, "application/json", "{}", {}});
    } else if (path == wire::grant_path) {
        const auto arrived = boot_clock::now();
        if (grant_delay.count() > 0) {
            gateway::run_after(context_, grant_delay, lifetime_,
                               [this, body, arrived] { grant(body, arrived); });
            return;
        }
        respond({grant(body, arrived), "application/json", "{}", {}});
    } else if (path == wire::release_path) {
        release(body);
        internal_answer answer{ok, "application/json", "{}", {}};
        answer.fields.push_back(
            {wire::handover_header, handover.empty() ? "handover-" + options_.id : handover});
        respond(answer);
    } else {
        run_request(head, respond);
    }
}

unsigned target_standin::grant(const std::string& body, gateway::boot_time arrived) {
    const auto call = json::parse(body);
    const granted_range added{call.at("from"), call.at("to"), call.at("fence"),
                              arrived + milliseconds(call.at("holdMs").get<std::int64_t>())};
    for (const auto& held : granted_ranges_) {
        if (ranges_overlap(held.first, held.last, added.first, added.last) &&
            held.fence > added.fence) {
            return conflict;
        }
    }
    check_other_holders(added);
    std::erase_if(granted_ranges_, [&](const granted_range& held) {
        return held.first >= added.first && held.last <= added.last && held.fence <= added.fence;
    });
    granted_ranges_.push_back(added);
    return ok;
}

// A key has one owner. Two holders at the same time violate this guarantee, and so does a grant
// whose fence is not above that of another holder.
void target_standin::check_other_holders(const granted_range& added) {
    const auto now = boot_clock::now();
    if (added.end <= now) {
        return;
    }
    for (const auto* other : group_) {
        if (other == this || other->options_.service != options_.service) {
            continue;
        }
        for (const auto& held : other->granted_ranges_) {
            if (!ranges_overlap(held.first, held.last, added.first, added.last)) {
                continue;
            }
            if (now < held.end) {
                history_.violations.push_back("key " + std::to_string(added.first) +
                                              " is held by " + other->options_.id +
                                              " and granted to " + options_.id);
            } else if (held.fence >= added.fence) {
                history_.violations.push_back("the fence of " + options_.id +
                                              " is not above that of " + other->options_.id);
            }
        }
    }
}

void target_standin::release(const std::string& body) {
    const auto call = json::parse(body);
    const std::uint32_t first = call.at("from");
    const std::uint32_t last = call.at("to");
    std::vector<granted_range> remaining;
    for (const auto& held : granted_ranges_) {
        if (!ranges_overlap(held.first, held.last, first, last)) {
            remaining.push_back(held);
            continue;
        }
        if (held.first < first) {
            remaining.push_back({held.first, first - 1, held.fence, held.end});
        }
        if (held.last > last) {
            remaining.push_back({last + 1, held.last, held.fence, held.end});
        }
    }
    granted_ranges_ = std::move(remaining);
}

internal_answer target_standin::with_identity(internal_answer answer,
                                              const gateway::message_head& head) const {
    answer.fields.push_back(
        {wire::request_id_header, std::string(gateway::field_of(head, wire::request_id_header))});
    answer.fields.push_back(
        {wire::load_header, std::to_string(running_) + ",0," + std::to_string(max_running)});
    if (says_it_leaves) {
        answer.fields.push_back({wire::leaving_header, "1"});
    }
    if (!request_limit.empty()) {
        answer.fields.push_back({wire::request_limit_header, request_limit});
    }
    return answer;
}

void target_standin::run_request(const gateway::message_head& head,
                                 const gateway::internal_server::respond& respond) {
    const auto id = std::string(gateway::field_of(head, wire::request_id_header));
    const auto expected = gateway::field_of(head, wire::expected_target_header);
    const auto key = std::string(gateway::field_of(head, wire::key_header));
    const bool is_held =
        !options_.keyed || (!key.empty() && holds(static_cast<std::uint32_t>(std::stoul(key))));
    if (!is_held || (!expected.empty() && expected != options_.id)) {
        internal_answer refusal{misdirected, "text/plain", "", {}};
        refusal.fields.push_back({wire::not_run_header, "1"});
        respond(with_identity(refusal, head));
        return;
    }
    if (!refusal_pause.empty()) {
        ++refusal_count;
        internal_answer refusal{unavailable, "text/plain", "", {}};
        refusal.fields.push_back({wire::not_run_header, "1"});
        refusal.fields.push_back({wire::retry_after_header, refusal_pause});
        respond(with_identity(refusal, head));
        return;
    }
    ++history_.runs_by_request[id];
    ++run_count_;
    if (!crash_path.empty() && gateway::path_of(head) == crash_path) {
        crashed = true;
        gateway::run_after(context_, milliseconds(0), lifetime_, [this] { server_.reset(); });
        return;
    }
    ++running_;
    const bool is_slow = !slow_path.empty() && gateway::path_of(head) == slow_path;
    const auto work_time = is_slow ? slow_work_time : options_.work_time;
    gateway::run_after(context_, work_time, lifetime_, [this, head, respond] {
        --running_;
        internal_answer result{ok, "text/plain", "done by " + options_.id, {}};
        result.fields.push_back({wire::signature_header, "signed-" + options_.id});
        respond(with_identity(result, head));
    });
}

}  // namespace mimosavalve::platform::testing
