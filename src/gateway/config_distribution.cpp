#include "mimosavalve/gateway/config_distribution.hpp"

#include <algorithm>
#include <tuple>

namespace mimosavalve::gateway {

namespace detail {

// Transfers that one router sends at a time. With three, four rounds reach 250 routers.
constexpr std::int64_t max_transfers_of_source = 3;
// Transfers into a region at a time while no router there has the configuration; the second one
// makes up for a router that fails.
constexpr std::int64_t max_transfers_between_regions = 2;

}  // namespace detail

void update_transfers(config_distribution& distribution, std::uint64_t version,
                      const std::string& receiver, boot_time now) {
    if (distribution.version != version) {
        distribution = {};
        distribution.version = version;
    }
    std::erase_if(distribution.running, [&](const auto& transfer) {
        return transfer.until <= now || transfer.to == receiver;
    });
}

const config_peer* choose_source(config_distribution& distribution,
                                 std::span<const config_peer> holders, const config_peer& to,
                                 milliseconds transfer_time, boot_time now) {
    auto& running = distribution.running;
    if (std::any_of(running.begin(), running.end(),
                    [&](const auto& transfer) { return transfer.to == to.host; })) {
        return nullptr;
    }
    const bool has_holder_in_region =
        std::any_of(holders.begin(), holders.end(),
                    [&](const config_peer& holder) { return holder.region == to.region; });
    const auto crossing = std::count_if(running.begin(), running.end(), [&](const auto& transfer) {
        return transfer.crosses_regions && transfer.to_region == to.region;
    });
    const config_peer* best = nullptr;
    // The source that has sent least, which also leaves one that fails; then the nearest.
    std::tuple<std::uint32_t, bool> best_rank;
    for (const auto& holder : holders) {
        const bool crosses = holder.region != to.region;
        const auto sending =
            std::count_if(running.begin(), running.end(),
                          [&](const auto& transfer) { return transfer.from == holder.host; });
        if (holder.host == to.host || sending >= detail::max_transfers_of_source ||
            (crosses &&
             (has_holder_in_region || crossing >= detail::max_transfers_between_regions))) {
            continue;
        }
        const std::tuple rank(distribution.sent_by[holder.host],
                              holder.failure_domain != to.failure_domain);
        if (best == nullptr || rank < best_rank) {
            best = &holder;
            best_rank = rank;
        }
    }
    if (best != nullptr) {
        running.push_back(
            {best->host, to.host, to.region, best->region != to.region, now + transfer_time});
        ++distribution.sent_by[best->host];
    }
    return best;
}

}  // namespace mimosavalve::gateway
