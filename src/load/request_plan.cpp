#include "mimosavalve/load/request_plan.hpp"

#include <algorithm>
#include <cmath>
#include <vector>

namespace mimosavalve::load {

namespace detail {

std::vector<double> zipf_weights(const key_settings& keys) {
    std::vector<double> weights(keys.count);
    for (std::size_t rank = 0; rank < weights.size(); ++rank) {
        weights[rank] = std::pow(static_cast<double>(rank + 1), -keys.exponent);
    }
    return weights;
}

std::vector<double> mix_weights(const load_settings& settings) {
    std::vector<double> weights;
    for (const auto& entry : settings.mix) {
        weights.push_back(entry.weight);
    }
    return weights;
}

std::int64_t unix_ms_now() {
    const auto since_epoch = std::chrono::system_clock::now().time_since_epoch();
    return std::chrono::duration_cast<std::chrono::milliseconds>(since_epoch).count();
}

char filler_at(std::uint64_t position) {
    // A period that no buffer size divides, so that a piece out of place changes the hash.
    constexpr std::uint64_t period = 251;
    return static_cast<char>(position % period);
}

}  // namespace detail

request_planner::request_planner(const load_settings& settings, std::string run)
    : settings_(settings), run_(std::move(run)), random_(settings.seed) {
    const auto ranks = detail::zipf_weights(settings.keys);
    ranks_ = std::discrete_distribution<std::uint64_t>(ranks.begin(), ranks.end());
    const auto entries = detail::mix_weights(settings);
    entries_ = std::discrete_distribution<std::size_t>(entries.begin(), entries.end());
}

std::uint64_t request_planner::draw_key(std::chrono::nanoseconds elapsed) {
    const auto rank = ranks_(random_);
    if (settings_.keys.hot_change.count() == 0) {
        return rank;
    }
    // Each period shifts the ranking, so that other keys become the hot ones.
    const auto period = static_cast<std::uint64_t>(elapsed / settings_.keys.hot_change);
    constexpr std::uint64_t stride = 7919;
    return (rank + period * stride) % settings_.keys.count;
}

planned_request request_planner::next(std::chrono::nanoseconds elapsed) {
    planned_request request;
    const auto key = draw_key(elapsed);
    request.id = run_ + "-" + std::to_string(++number_);
    request.entry = &settings_.mix[entries_(random_)];
    request.account = &settings_.accounts[key % settings_.accounts.size()];
    request.path =
        "/" + request.entry->route + "/" + request.account->name + "/k" + std::to_string(key);
    if (request.entry->kind == request_kind::payment) {
        request.idempotency_key = request.id;
        request.idempotency_unix_ms = detail::unix_ms_now();
    }
    if (request.entry->kind != request_kind::read) {
        request.body_prefix = request.path + "\n" + request.id + "\n";
        request.body_size =
            std::max<std::uint64_t>(request.body_prefix.size(), request.entry->body_bytes);
    }
    return request;
}

std::chrono::nanoseconds request_planner::next_gap() {
    const auto seconds = std::exponential_distribution<double>(settings_.rate)(random_);
    return std::chrono::duration_cast<std::chrono::nanoseconds>(
        std::chrono::duration<double>(seconds));
}

const router_address& request_planner::choose_router(const load_account& account,
                                                     const std::string& previous) {
    std::vector<const router_address*> usable;
    const router_address* repeated = &settings_.routers.front();
    for (const auto& router : settings_.routers) {
        if (!account.region.empty() && !router.region.empty() && router.region != account.region) {
            continue;
        }
        if (router.address == previous) {
            repeated = &router;
        } else {
            usable.push_back(&router);
        }
    }
    if (usable.empty()) {
        return *repeated;
    }
    std::uniform_int_distribution<std::size_t> any(0, usable.size() - 1);
    return *usable[any(random_)];
}

body_source::body_source(std::string prefix, std::uint64_t size)
    : prefix_(std::move(prefix)), size_(size) {}

std::size_t body_source::read(std::span<char> buffer) {
    const auto count = std::min<std::uint64_t>(buffer.size(), size_ - position_);
    for (auto& byte : buffer.first(count)) {
        byte = position_ < prefix_.size() ? prefix_[position_] : detail::filler_at(position_);
        ++position_;
    }
    return count;
}

}  // namespace mimosavalve::load
