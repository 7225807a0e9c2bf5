#pragma once

#include <functional>
#include <string>

namespace mimosavalve::wire {
class Envelope;
}

namespace mimosavalve::ports {

/// One-way messages to other daemons. Messages may be lost, delayed, or repeated.
struct peers {
    /// `address` is "ip:port" of the receiver's peer socket. Never blocks; drops when a peer cannot
    /// keep up.
    std::function<void(const std::string& address, const wire::Envelope&)> send;
};

}  // namespace mimosavalve::ports
