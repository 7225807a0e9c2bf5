#include "mimosavalve/core/verdict.hpp"

namespace mimosavalve {

std::string_view to_string(traffic_verdict verdict) {
    switch (verdict) {
        case traffic_verdict::not_run:
            return "not-run";
        case traffic_verdict::may_have_run:
            return "may-have-run";
        case traffic_verdict::ran:
            return "ran";
    }
    return "may-have-run";
}

}  // namespace mimosavalve
