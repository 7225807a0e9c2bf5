#pragma once

#include <random>

namespace mimosavalve::gateway::detail {

/// A random number from 0 to 1.
inline double random_fraction() {
    static std::minstd_rand source{std::random_device{}()};
    return std::uniform_real_distribution<double>(0, 1)(source);
}

}  // namespace mimosavalve::gateway::detail
