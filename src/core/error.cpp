#include "mimosavalve/core/error.hpp"

#include <string>

namespace mimosavalve {

namespace detail {

class category : public std::error_category {
public:
    [[nodiscard]] const char* name() const noexcept override { return "mimosavalve"; }

    [[nodiscard]] std::string message(int value) const override {
        switch (static_cast<errc>(value)) {
            case errc::store_unavailable:
                return "the store did not answer in time";
            case errc::store_refused:
                return "the store refused the call and changed nothing";
            case errc::store_conflict:
                return "the stored revision differs from the expected one";
            case errc::store_lease_expired:
                return "the store lease has expired";
            case errc::history_lost:
                return "the store no longer has the requested changes";
            case errc::not_found:
                return "not found";
            case errc::invalid_settings:
                return "invalid settings";
            case errc::malformed_message:
                return "malformed message";
            case errc::peer_unreachable:
                return "the peer did not answer in time";
            case errc::target_unreachable:
                return "the target cannot be reached";
            case errc::target_refused:
                return "the target refused the call";
            case errc::no_serving_lease:
                return "no serving lease for the shard";
            case errc::deadline_exceeded:
                return "the deadline has passed";
        }
        return "unknown error";
    }
};

}  // namespace detail

const std::error_category& mimosavalve_category() {
    static const detail::category instance;
    return instance;
}

std::error_code make_error_code(errc code) {
    return {static_cast<int>(code), mimosavalve_category()};
}

}  // namespace mimosavalve
