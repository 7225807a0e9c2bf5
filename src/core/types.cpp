#include "mimosavalve/core/types.hpp"

namespace mimosavalve {

std::string to_string(const version& value) {
    return std::to_string(value.epoch) + "." + std::to_string(value.sequence);
}

std::string to_string(const shard_id& value) {
    return value.region + "/" + std::to_string(value.index);
}

std::string to_string(const instance_id& value) {
    return value.host + "#" + std::to_string(value.number);
}

}  // namespace mimosavalve
