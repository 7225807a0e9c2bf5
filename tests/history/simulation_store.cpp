#include <algorithm>

#include "history/simulation.hpp"

namespace mimosavalve::test {

void simulation::store_operation(sim_host& host, steady_time deadline,
                                 const std::function<std::function<void()>()>& effect,
                                 const std::function<void()>& failed) {
    const auto end = true_time(host, deadline);
    const auto index = host.index;
    const auto instance = host.instance;
    const auto fail = [this, index, instance, end, failed] {
        clock_.at(end, [this, index, instance, failed] { deliver(index, instance, failed); });
    };
    if (host.store_cut || !store_up) {
        fail();
        return;
    }
    const auto delay = random_delay();
    clock_.after(delay, [this, index, instance, effect, failed, fail, end] {
        if (!store_up) {
            fail();
            return;
        }
        expire_leases();
        auto answer = effect();
        const auto return_delay = random_delay();
        if (chance(store_answer_loss) || clock_.now() + return_delay > end) {
            fail();
            return;
        }
        clock_.after(return_delay,
                     [this, index, instance, answer] { deliver(index, instance, answer); });
    });
}

void simulation::expire_leases() {
    for (auto lease = leases_.begin(); lease != leases_.end();) {
        if (lease->second > clock_.now()) {
            ++lease;
            continue;
        }
        const auto id = lease->first;
        lease = leases_.erase(lease);
        std::vector<std::string> expired_keys;
        for (const auto& [key, entry] : store_) {
            if (entry.lease == id) {
                expired_keys.push_back(key);
            }
        }
        for (const auto& key : expired_keys) {
            store_.erase(key);
            wake_watches(key);
        }
    }
}

void simulation::wake_watches(const std::string& key) {
    std::vector<sim_watch> due_watches;
    for (auto& watch : watches_) {
        const auto found = store_.find(key);
        const auto revision = found == store_.end() ? 0 : found->second.revision;
        if (watch.key == key && watch.known_revision != revision) {
            due_watches.push_back(watch);
            watch.key.clear();
        }
    }
    std::erase_if(watches_, [](const sim_watch& watch) { return watch.key.empty(); });
    for (const auto& watch : due_watches) {
        watch.answer();
    }
}

std::error_code simulation::write_entry(const std::string& key, std::uint64_t expected,
                                        std::string value, std::uint64_t lease,
                                        std::uint64_t& revision) {
    const auto found = store_.find(key);
    const auto current = found == store_.end() ? 0 : found->second.revision;
    if (current != expected) {
        return errc::store_conflict;
    }
    if (lease != 0 && !leases_.contains(lease)) {
        return errc::store_lease_expired;
    }
    revision = next_revision_++;
    check_stored(key, found == store_.end() ? "" : found->second.value, value);
    store_[key] = {std::move(value), revision, lease};
    wake_watches(key);
    return {};
}

void simulation::check_stored(const std::string& key, const std::string& before,
                              const std::string& after) {
    if (!key.starts_with("shards/") || before.empty()) {
        return;
    }
    std::error_code error;
    const auto older = ownership::decode_shard_state(before, error);
    const auto newer = ownership::decode_shard_state(after, error);
    if (!older || !newer || newer->at <= older->at) {
        violations.push_back("stored version of " + key + " did not increase");
        return;
    }
    if (newer->config_version < older->config_version) {
        violations.push_back("stored configuration version of " + key + " went back");
    }
    for (const auto& assignment : older->assignments) {
        for (auto slot = assignment.first_slot; slot < assignment.first_slot + assignment.count;
             ++slot) {
            const auto* now = ownership::find_assignment(*newer, assignment.service, slot);
            const bool is_kept = now != nullptr && !now->owner.empty() &&
                                 (now->owner == assignment.owner ? now->fence >= assignment.fence
                                                                 : now->fence == newer->at);
            if (!is_kept) {
                violations.push_back("recorded assignment of " + assignment.service + "/" +
                                     std::to_string(slot) + " was lost at " + to_string(newer->at));
            }
        }
    }
}

ports::store simulation::store_for(sim_host& owner) {
    ports::store store;
    const auto index = owner.index;
    store.read = [this, index](const std::string& key, steady_time deadline,
                               const ports::store::entry_handler& done) {
        store_operation(
            hosts[index], deadline,
            [this, key, done]() -> std::function<void()> {
                const auto found = store_.find(key);
                if (found == store_.end()) {
                    return [done] { done(errc::not_found, {}); };
                }
                return [done,
                        entry = ports::store_entry{found->second.value, found->second.revision}] {
                    done({}, entry);
                };
            },
            [done] { done(errc::store_unavailable, {}); });
    };
    store.compare_and_swap = [this, index](const std::string& key, std::uint64_t expected,
                                           const std::string& value, std::uint64_t lease,
                                           steady_time deadline,
                                           const ports::store::revision_handler& done) {
        store_operation(
            hosts[index], deadline,
            [this, key, expected, value, lease, done]() -> std::function<void()> {
                std::uint64_t revision = 0;
                const auto error = write_entry(key, expected, value, lease, revision);
                return [done, error, revision] { done(error, revision); };
            },
            [done] { done(errc::store_unavailable, 0); });
    };
    store.grant_lease = [this, index](milliseconds ttl, steady_time deadline,
                                      const ports::store::lease_handler& done) {
        store_operation(
            hosts[index], deadline,
            [this, ttl, done]() -> std::function<void()> {
                const auto id = next_lease_++;
                leases_[id] = clock_.now() + ttl;
                clock_.after(ttl, [this] { expire_leases(); });
                return [done, id] { done({}, id); };
            },
            [done] { done(errc::store_unavailable, 0); });
    };
    store.renew_lease = [this, index](std::uint64_t lease, steady_time deadline,
                                      const ports::store::done_handler& done) {
        store_operation(
            hosts[index], deadline,
            [this, lease, done]() -> std::function<void()> {
                const auto found = leases_.find(lease);
                if (found == leases_.end()) {
                    return [done] { done(errc::store_lease_expired); };
                }
                constexpr milliseconds ttl{1000};
                found->second = clock_.now() + ttl;
                clock_.after(ttl, [this] { expire_leases(); });
                return [done] { done({}); };
            },
            [done] { done(errc::store_unavailable); });
    };
    store.revoke_lease = [this, index](std::uint64_t lease, steady_time deadline,
                                       const ports::store::done_handler& done) {
        store_operation(
            hosts[index], deadline,
            [this, lease, done]() -> std::function<void()> {
                if (const auto found = leases_.find(lease); found != leases_.end()) {
                    found->second = clock_.now();
                }
                expire_leases();
                return [done] { done({}); };
            },
            [done] { done(errc::store_unavailable); });
    };
    store.watch = [this, index, instance = owner.instance](
                      const std::string& key, std::uint64_t known_revision, steady_time deadline,
                      const ports::store::entry_handler& done) {
        auto& host = hosts[index];
        if (host.store_cut || !store_up) {
            clock_.after(milliseconds(50), [this, index, instance, done] {
                deliver(index, instance, [done] { done(errc::store_unavailable, {}); });
            });
            return;
        }
        auto answered = std::make_shared<bool>(false);
        auto answer = [this, index, instance, key, done, answered] {
            if (*answered) {
                return;
            }
            *answered = true;
            const auto found = store_.find(key);
            const auto entry = found == store_.end() ? ports::store_entry{}
                                                     : ports::store_entry{found->second.value,
                                                                          found->second.revision};
            const bool reachable = store_up && !hosts[index].store_cut;
            clock_.after(random_delay(), [this, index, instance, done, entry, reachable] {
                deliver(index, instance, [done, entry, reachable] {
                    done(reachable ? std::error_code{} : make_error_code(errc::store_unavailable),
                         entry);
                });
            });
        };
        const auto found = store_.find(key);
        const auto revision = found == store_.end() ? 0 : found->second.revision;
        if (revision != known_revision) {
            answer();
            return;
        }
        watches_.push_back({key, known_revision, answer});
        clock_.at(true_time(host, deadline), answer);
    };
    return store;
}

}  // namespace mimosavalve::test
