#pragma once

#include <cstdint>
#include <string>
#include <unordered_map>

namespace mimosavalve::load {

/// Longest times without a good answer. An outage lasts from the start of the first failed attempt
/// to the end of the next good one. All times are nanoseconds of one monotonic clock.
class outage_tracker {
public:
    struct longest {
        std::int64_t nanoseconds = 0;
        std::string key;
        std::int64_t since = 0;
    };

    /// Attempts are added in the order of their ends.
    void add(const std::string& key, std::int64_t start, std::int64_t end, bool good);
    /// Counts outages that have not ended.
    void finish(std::int64_t now);

    [[nodiscard]] const longest& per_key() const { return per_key_; }
    /// Longest time without a good answer for any key.
    [[nodiscard]] const longest& over_all() const { return over_all_; }

private:
    struct open_outage {
        bool open = false;
        std::int64_t since = 0;
    };

    static void keep_longer(longest& kept, const open_outage& outage, const std::string& key,
                            std::int64_t end);

    std::unordered_map<std::string, open_outage> open_;
    open_outage all_open_;
    longest per_key_;
    longest over_all_;
};

}  // namespace mimosavalve::load
