#include "mimosavalve/traffic/admission_queue.hpp"

#include <algorithm>

namespace mimosavalve::traffic {

namespace detail {

// In pieces of 64 KB; an upload of 1 MB thus waits for as many rounds as it has pieces.
constexpr std::int64_t credit_per_round = 1;

std::vector<account_queue>& class_of(admission_queue& queue, const waiting_request& request) {
    return queue.classes.at(static_cast<std::size_t>(request.priority));
}

account_queue& find_account(std::vector<account_queue>& accounts, const std::string& name) {
    const auto found =
        std::find_if(accounts.begin(), accounts.end(),
                     [&](const account_queue& entry) { return entry.account == name; });
    return found == accounts.end() ? accounts.emplace_back(account_queue{name, 0, {}}) : *found;
}

void discard_expired(admission_queue& queue, account_queue& account, steady_time now) {
    while (!account.requests.empty() && now >= account.requests.front()->deadline) {
        account.requests.pop_front();
        --queue.size;
    }
}

/// Serves the account at the front, which moves to the back after one request or when its credit
/// does not cover the cost of its next request.
waiting_request* pop_from_class(admission_queue& queue, std::vector<account_queue>& accounts,
                                steady_time now) {
    while (!accounts.empty()) {
        auto& account = accounts.front();
        discard_expired(queue, account, now);
        if (account.requests.empty()) {
            accounts.erase(accounts.begin());
            continue;
        }
        auto* request = account.requests.front();
        if (account.deficit < request->cost) {
            account.deficit += credit_per_round;
        }
        if (account.deficit < request->cost) {
            std::rotate(accounts.begin(), accounts.begin() + 1, accounts.end());
            continue;
        }
        account.deficit -= request->cost;
        account.requests.pop_front();
        --queue.size;
        std::rotate(accounts.begin(), accounts.begin() + 1, accounts.end());
        return request;
    }
    return nullptr;
}

}  // namespace detail

bool push(admission_queue& queue, waiting_request& request) {
    if (queue.size >= queue.max_size) {
        return false;
    }
    auto& account = detail::find_account(detail::class_of(queue, request), request.account);
    account.requests.push_back(&request);
    ++queue.size;
    return true;
}

waiting_request* pop(admission_queue& queue, steady_time now) {
    for (auto& accounts : queue.classes) {
        if (auto* request = detail::pop_from_class(queue, accounts, now)) {
            return request;
        }
    }
    return nullptr;
}

void remove(admission_queue& queue, const waiting_request& request) {
    for (auto& account : detail::class_of(queue, request)) {
        queue.size -= std::erase(account.requests, &request);
    }
}

}  // namespace mimosavalve::traffic
