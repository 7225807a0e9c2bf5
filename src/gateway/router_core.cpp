#include "router_core.hpp"

#include <algorithm>

#include "exchange.hpp"

namespace mimosavalve::gateway {

const std::string& choose_service(router_core& core, const route& request_route) {
    if (request_route.services.size() == 1) {
        return request_route.services.front().service;
    }
    double total = 0;
    const weighted_service* best = nullptr;
    double best_credit = 0;
    for (const auto& part : request_route.services) {
        total += part.weight;
        auto& credit = core.split_credit[request_route.name + "\n" + part.service];
        credit += part.weight;
        if (part.weight > 0 && (best == nullptr || credit > best_credit)) {
            best = &part;
            best_credit = credit;
        }
    }
    core.split_credit[request_route.name + "\n" + best->service] -= total;
    return best->service;
}

void dispatch_waiting(router_core& core) {
    dispatch_round round;
    const std::vector<exchange*> waiting(core.waiting.begin(), core.waiting.end());
    for (auto* request : waiting) {
        // Answering one request may remove others from the list.
        if (std::find(core.waiting.begin(), core.waiting.end(), request) != core.waiting.end()) {
            request->redispatch_if_waiting(round);
        }
    }
}

}  // namespace mimosavalve::gateway
