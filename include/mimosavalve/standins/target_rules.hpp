#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "mimosavalve/core/types.hpp"
#include "mimosavalve/ownership/slot.hpp"
#include "mimosavalve/ports/target_control.hpp"

namespace mimosavalve::standins {

/// Reads "epoch.sequence"; nothing when the text has another form.
std::optional<version> parse_fence(std::string_view text);

/// Grant or revocation as the target receives it.
struct target_order {
    std::vector<ports::slot_grant> grants;
    std::uint64_t deadline_clock_ms = 0;  ///< By the target's own clock.
};

/// Reads the JSON body of an order. On failure `problem` names the field and what is allowed.
std::optional<target_order> parse_order(std::string_view json, std::string& problem);

/// Why a target does not start a request.
enum class start_refusal {
    none,
    start_by,
    overloaded,
    no_grant,
    fence,
};

/// Value of the `Target-Reason` header.
std::string_view to_string(start_refusal refusal);

/// Slots that a target holds, with the highest fence that it has seen of each.
class fence_table {
public:
    /// Whether some slot of the order has already seen a newer fence. Such an order is refused as a
    /// whole.
    [[nodiscard]] bool is_older(std::span<const ports::slot_grant> grants) const;

    void grant(std::span<const ports::slot_grant> grants);
    /// Takes back the slots that were granted below the fence.
    void revoke(std::span<const ports::slot_grant> grants);

    /// Whether a request may start under `fence`.
    [[nodiscard]] start_refusal check(const std::string& service, ownership::slot_number slot,
                                      const version& fence) const;
    [[nodiscard]] bool holds_any() const;

private:
    struct slot_key {
        std::string service;
        ownership::slot_number slot = 0;
        auto operator<=>(const slot_key&) const = default;
    };
    struct slot_entry {
        version highest;
        std::optional<version> granted;
    };

    std::map<slot_key, slot_entry> slots_;
};

}  // namespace mimosavalve::standins
