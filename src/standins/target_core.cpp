#include "target_core.hpp"

#include <algorithm>
#include <cstdlib>
#include <nlohmann/json.hpp>
#include <random>

namespace mimosavalve::standins {

namespace detail {

using clock = std::chrono::steady_clock;

std::uint64_t random_instance() {
    std::random_device device;
    // JSON numbers above 2^53 lose digits in many readers.
    constexpr std::uint64_t mask = (std::uint64_t{1} << 53U) - 1;
    return ((std::uint64_t{device()} << 32U) | device()) & mask;
}

bool covers(const ports::slot_grant& grant, const request_info& info) {
    const auto slot = info.slot.value_or(0);
    return info.slot && grant.service == info.service && slot >= grant.first_slot &&
           slot - grant.first_slot < grant.count && info.fence.value_or(version{}) < grant.fence;
}

}  // namespace detail

target_core::target_core(boost::asio::io_context& context, const target_settings& settings)
    : context_(context),
      settings_(settings),
      instance_(detail::random_instance()),
      // Each run has a clock of its own, so that a router that mixes clocks up is found out.
      clock_offset_(instance_ % 1'000'000),
      work_(settings.work, settings.cold, settings.slots),
      last_alive_(detail::clock::now()) {
    loads_.push_back({last_alive_, 0});
}

std::chrono::nanoseconds target_core::clock_at(detail::clock::time_point now) const {
    return now.time_since_epoch() + clock_offset_;
}

std::uint64_t target_core::clock_ms() const {
    const auto reading = clock_at(detail::clock::now());
    return static_cast<std::uint64_t>(
        std::chrono::duration_cast<std::chrono::milliseconds>(reading).count());
}

std::string target_core::probe_text() {
    note_load();
    nlohmann::ordered_json answer;
    answer["clock_ms"] = clock_ms();
    answer["instance"] = instance_;
    answer["load"] = loads_.front().load;
    answer["leaving"] = leaving_;
    return answer.dump();
}

void target_core::note_load() {
    const auto now = detail::clock::now();
    loads_.push_back({now, static_cast<std::uint32_t>(active_.size())});
    while (loads_.size() > 1 && loads_[1].at + settings_.load_report_lag <= now) {
        loads_.pop_front();
    }
}

unsigned target_core::check_order(const target_order& order) const {
    if (!settings_.checks_fence) {
        return 200;
    }
    const auto deadline = std::chrono::milliseconds(order.deadline_clock_ms);
    if (clock_at(detail::clock::now()) > deadline) {
        return 410;
    }
    return fences_.is_older(order.grants) ? 409 : 200;
}

unsigned target_core::grant(const target_order& order) {
    const auto status = check_order(order);
    if (status == 200) {
        fences_.grant(order.grants);
    }
    return status;
}

bool target_core::runs_below(const target_order& order) const {
    return std::any_of(active_.begin(), active_.end(), [&](const running_request* request) {
        return std::any_of(order.grants.begin(), order.grants.end(), [&](const auto& grant) {
            return detail::covers(grant, *request->info);
        });
    });
}

unsigned target_core::revoke(const target_order& order, const boost::asio::yield_context& yield) {
    const auto status = check_order(order);
    if (status != 200) {
        return status;
    }
    fences_.revoke(order.grants);
    boost::asio::steady_timer woken(context_, detail::clock::time_point::max());
    const auto place = revocations_.insert(revocations_.end(), &woken);
    while (runs_below(order)) {
        boost::system::error_code ignored;
        woken.async_wait(yield[ignored]);
        woken.expires_at(detail::clock::time_point::max());
    }
    revocations_.erase(place);
    return 200;
}

start_refusal target_core::refuse_start(const request_info& info,
                                        detail::clock::time_point now) const {
    if (info.start_by_ms && clock_at(now) > std::chrono::milliseconds(*info.start_by_ms)) {
        return start_refusal::start_by;
    }
    if (faults_.refuse) {
        return start_refusal::overloaded;
    }
    if (!settings_.checks_fence) {
        return start_refusal::none;
    }
    if (!info.slot || !info.fence) {
        return start_refusal::no_grant;
    }
    return fences_.check(info.service, *info.slot, *info.fence);
}

start_refusal target_core::refuse_early(const request_info& info) const {
    const auto refusal = refuse_start(info, detail::clock::now());
    if (refusal != start_refusal::none) {
        return refusal;
    }
    const bool full = used_slots_ >= work_.slots() && waiting_.size() >= settings_.queue;
    return full ? start_refusal::overloaded : start_refusal::none;
}

bool target_core::wait_for_slot(running_request& request, const boost::asio::yield_context& yield) {
    if (used_slots_ < work_.slots() && waiting_.empty()) {
        ++used_slots_;
        request.has_slot = true;
        return true;
    }
    if (waiting_.size() >= settings_.queue) {
        return false;
    }
    const auto place = waiting_.insert(waiting_.end(), &request);
    while (!request.has_slot && !request.gone) {
        boost::system::error_code ignored;
        request.timer->expires_at(detail::clock::time_point::max());
        request.timer->async_wait(yield[ignored]);
    }
    if (!request.has_slot) {
        waiting_.erase(place);
    }
    return true;
}

void target_core::give_free_slots() {
    while (!waiting_.empty() && used_slots_ < work_.slots()) {
        ++used_slots_;
        waiting_.front()->has_slot = true;
        waiting_.front()->timer->cancel();
        waiting_.pop_front();
    }
}

void target_core::release_slot(running_request& request) {
    if (request.has_slot) {
        --used_slots_;
        request.has_slot = false;
    }
    give_free_slots();
}

start_refusal target_core::start(running_request& request,
                                 const boost::asio::yield_context& yield) {
    if (!wait_for_slot(request, yield)) {
        return start_refusal::overloaded;
    }
    if (request.gone) {
        release_slot(request);
        return start_refusal::none;
    }
    // Separates starts before a pause from those after it.
    note_alive();
    // One clock reading decides and is recorded, so that a pause in between can't make a request
    // look as if it had been started after its `Start-By`.
    const auto now = detail::clock::now();
    const auto refusal = refuse_start(*request.info, now);
    if (refusal != start_refusal::none) {
        release_slot(request);
        return refusal;
    }
    request.started = now;
    active_.push_back(&request);
    note_load();
    history_.record("start", *request.info, now);
    return start_refusal::none;
}

work_end target_core::work(running_request& request, const boost::asio::yield_context& yield) {
    const auto& path = request.info->path;
    if (!faults_.crash_on.empty() && path.find(faults_.crash_on) != std::string::npos) {
        std::abort();
    }
    const auto queued = static_cast<std::uint32_t>(waiting_.size());
    const auto end = detail::clock::now() + work_.next_time(queued, faults_.slow_factor);
    while (!request.gone && detail::clock::now() < end) {
        boost::system::error_code ignored;
        request.timer->expires_at(end);
        request.timer->async_wait(yield[ignored]);
    }
    // A pause shows before the effect: the slots may have another owner by now.
    note_alive();
    const bool keyed = settings_.checks_fence && request.info->slot.has_value();
    if (keyed && pause_until_ > request.started) {
        return work_end::hold_ended;
    }
    return request.gone ? work_end::caller_gone : work_end::completed;
}

void target_core::finish(running_request& request, work_end end) {
    active_.remove(&request);
    note_load();
    // Work whose hold has ended was void from the beginning of the pause on.
    const auto at =
        end == work_end::hold_ended ? std::max(pause_from_, request.started) : detail::clock::now();
    history_.record(end == work_end::completed ? "end" : "cancel", *request.info, at);
    if (end == work_end::completed) {
        work_.served();
    }
    release_slot(request);
    for (auto* revocation : revocations_) {
        revocation->cancel();
    }
}

void target_core::store(const std::string& path, const body_digest& body) {
    // Bounds the memory of a long run with many keys.
    constexpr std::size_t most_values = 100'000;
    if (values_.size() >= most_values && !values_.contains(path)) {
        values_.erase(values_.begin());
    }
    values_[path] = body.kept ? body.value : path + "\n";
}

std::string target_core::value_of(const std::string& path) const {
    const auto found = values_.find(path);
    return found == values_.end() ? path + "\n" : found->second;
}

std::string target_core::echoed_id(const std::string& request_id) {
    // Probes and orders carry no id and take no part in the fault.
    if (request_id.empty()) {
        return request_id;
    }
    auto echoed = faults_.wrong_request_id ? previous_id_ : request_id;
    previous_id_ = request_id;
    return echoed;
}

void target_core::note_alive() {
    // Longer than the alive timer's period by far, shorter than any loss detection.
    constexpr auto least_pause = std::chrono::milliseconds(150);
    const auto now = detail::clock::now();
    // Until the start window of a request has ended, no other owner can have started (250 ms).
    constexpr auto hold = std::chrono::milliseconds(250);
    if (now - last_alive_ > least_pause) {
        history_.record_pause(last_alive_, now);
    }
    if (now - last_alive_ > hold) {
        pause_from_ = last_alive_;
        pause_until_ = now;
    }
    last_alive_ = now;
}

}  // namespace mimosavalve::standins
