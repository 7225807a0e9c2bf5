#include "mimosavalve/observe/event_log.hpp"

#include <algorithm>
#include <map>
#include <optional>
#include <tuple>
#include <utility>

namespace mimosavalve::observe {

namespace detail {

bool has_shard(const event_record& record) {
    return !record.shard.region.empty();
}

bool is_earlier(const event_record& left, const event_record& right) {
    return std::tie(left.unix_ms, left.process, left.number) <
           std::tie(right.unix_ms, right.process, right.number);
}

// Merges the lists of the processes by repeatedly taking the first remaining record of one list.
class merger {
public:
    explicit merger(std::span<const std::vector<event_record>> record_lists) {
        std::map<instance_id, std::map<std::uint64_t, const event_record*>> by_process;
        for (const auto& record_list : record_lists) {
            for (const auto& record : record_list) {
                by_process[record.process].emplace(record.number, &record);
            }
        }
        for (const auto& [process, records] : by_process) {
            auto& list = lists_.emplace_back();
            for (const auto& [number, record] : records) {
                list.records.push_back(record);
                if (has_shard(*record)) {
                    ++remaining_by_version_[record->shard][record->at];
                }
            }
        }
    }

    std::vector<event_record> merged_records() {
        std::vector<event_record> out;
        while (auto* list = next_list()) {
            const auto& record = *list->records[list->taken_count++];
            if (has_shard(record)) {
                remove_remaining(record);
            }
            out.push_back(record);
        }
        return out;
    }

private:
    struct process_list {
        std::vector<const event_record*> records;
        std::size_t taken_count = 0;
    };

    void remove_remaining(const event_record& record) {
        auto& versions = remaining_by_version_[record.shard];
        const auto found = versions.find(record.at);
        if (--found->second == 0) {
            versions.erase(found);
        }
    }

    // Whether all records of the shard at older versions have been merged.
    [[nodiscard]] bool is_ready(const event_record& record) const {
        return !has_shard(record) ||
               remaining_by_version_.at(record.shard).begin()->first == record.at;
    }

    // List whose first remaining record is the earliest of those that are ready. When none is
    // ready, list with the earliest first remaining record. Null when all lists are empty.
    process_list* next_list() {
        process_list* best = nullptr;
        bool best_is_ready = false;
        for (auto& list : lists_) {
            if (list.taken_count == list.records.size()) {
                continue;
            }
            const auto& front = *list.records[list.taken_count];
            const bool is_ready_now = is_ready(front);
            const bool is_better = best == nullptr || (is_ready_now && !best_is_ready) ||
                                   (is_ready_now == best_is_ready &&
                                    is_earlier(front, *best->records[best->taken_count]));
            if (is_better) {
                best = &list;
                best_is_ready = is_ready_now;
            }
        }
        return best;
    }

    std::vector<process_list> lists_;
    std::map<shard_id, std::map<version, std::size_t>> remaining_by_version_;
};

}  // namespace detail

event_log::event_log(instance_id process, std::size_t capacity)
    : process_(std::move(process)), capacity_(capacity) {}

std::uint64_t event_log::append(event_record record) {
    const std::lock_guard lock(mutex_);
    record.process = process_;
    record.number = ++newest_number_;
    if (ring_.size() < capacity_) {
        ring_.push_back(std::move(record));
    } else {
        ring_[(newest_number_ - 1) % capacity_] = std::move(record);
    }
    return newest_number_;
}

std::vector<event_record> event_log::query(const event_query& query,
                                           std::size_t max_records) const {
    const std::lock_guard lock(mutex_);
    std::vector<event_record> out;
    for (auto number = newest_number_;
         number > newest_number_ - ring_.size() && out.size() < max_records; --number) {
        const auto& record = ring_[(number - 1) % capacity_];
        if (matches(record, query)) {
            out.push_back(record);
        }
    }
    std::reverse(out.begin(), out.end());
    return out;
}

std::uint64_t event_log::dropped() const {
    const std::lock_guard lock(mutex_);
    return newest_number_ - ring_.size();
}

std::vector<event_record> merge(std::span<const std::vector<event_record>> record_lists) {
    return detail::merger(record_lists).merged_records();
}

}  // namespace mimosavalve::observe
