#include "wire.hpp"

#include <arpa/inet.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cctype>
#include <cerrno>
#include <stdexcept>
#include <utility>

namespace review {

namespace {

bool equal_names(std::string_view left, std::string_view right) {
    return std::equal(left.begin(), left.end(), right.begin(), right.end(), [](char one, char two) {
        return std::tolower(static_cast<unsigned char>(one)) ==
               std::tolower(static_cast<unsigned char>(two));
    });
}

sockaddr_in address_of(const std::string& address, std::uint16_t port) {
    sockaddr_in out{};
    out.sin_family = AF_INET;
    out.sin_port = htons(port);
    inet_pton(AF_INET, address.c_str(), &out.sin_addr);
    return out;
}

int left_ms(clock::time_point deadline) {
    const auto left = std::chrono::ceil<std::chrono::milliseconds>(deadline - clock::now()).count();
    return static_cast<int>(std::max<std::int64_t>(left, 0));
}

}  // namespace

std::string message::value_of(std::string_view name) const {
    for (const auto& each : fields) {
        if (equal_names(each.name, name)) {
            return each.value;
        }
    }
    return {};
}

bool message::has(std::string_view name) const {
    return std::any_of(fields.begin(), fields.end(),
                       [&](const field& each) { return equal_names(each.name, name); });
}

std::string_view to_string(ending how) {
    switch (how) {
        case ending::complete:
            return "complete";
        case ending::closed:
            return "closed";
        case ending::reset:
            return "reset";
        case ending::timed_out:
            return "timed-out";
        case ending::malformed:
            return "malformed";
    }
    return "unknown";
}

connection::~connection() {
    if (descriptor_ >= 0) {
        close(descriptor_);
    }
}

connection::connection(connection&& other) noexcept
    : descriptor_(std::exchange(other.descriptor_, -1)), input_(std::move(other.input_)) {}

std::optional<connection> connection::open(const std::string& address, std::uint16_t port) {
    const int descriptor = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    connection opened(descriptor);
    const timeval limit{1, 0};
    setsockopt(descriptor, SOL_SOCKET, SO_SNDTIMEO, &limit, sizeof limit);
    const int on = 1;
    setsockopt(descriptor, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    const auto to = address_of(address, port);
    if (connect(descriptor, reinterpret_cast<const sockaddr*>(&to), sizeof to) != 0) {
        return std::nullopt;
    }
    const timeval none{0, 0};
    setsockopt(descriptor, SOL_SOCKET, SO_SNDTIMEO, &none, sizeof none);
    return opened;
}

bool connection::send(std::string_view bytes) const {
    while (!bytes.empty()) {
        const auto count = ::send(descriptor_, bytes.data(), bytes.size(), MSG_NOSIGNAL);
        if (count < 0 && errno == EINTR) {
            continue;
        }
        if (count <= 0) {
            return false;
        }
        bytes.remove_prefix(static_cast<std::size_t>(count));
    }
    return true;
}

ending connection::read_more(clock::time_point deadline) {
    pollfd waiting{descriptor_, POLLIN, 0};
    const int ready = poll(&waiting, 1, left_ms(deadline));
    if (ready == 0) {
        return ending::timed_out;
    }
    std::array<char, 65536> chunk{};
    const auto count = recv(descriptor_, chunk.data(), chunk.size(), 0);
    if (count < 0) {
        return ending::reset;
    }
    input_.append(chunk.data(), static_cast<std::size_t>(count));
    return count == 0 ? ending::closed : ending::complete;
}

ending connection::read_head(message& into, clock::time_point deadline) {
    constexpr std::string_view end_of_head = "\r\n\r\n";
    while (input_.find(end_of_head) == std::string::npos) {
        const auto how = read_more(deadline);
        if (how != ending::complete) {
            return how;
        }
    }
    auto head = input_.substr(0, input_.find(end_of_head) + 2);
    input_.erase(0, head.size() + 2);
    into.start_line = head.substr(0, head.find("\r\n"));
    head.erase(0, into.start_line.size() + 2);
    while (!head.empty()) {
        const auto line = head.substr(0, head.find("\r\n"));
        head.erase(0, line.size() + 2);
        const auto colon = line.find(':');
        if (colon == std::string::npos) {
            return ending::malformed;
        }
        const auto value = line.find_first_not_of(" \t", colon + 1);
        into.fields.push_back(
            {line.substr(0, colon), value == std::string::npos ? "" : line.substr(value)});
    }
    return ending::complete;
}

ending connection::read_body(std::string& so_far, std::size_t length, clock::time_point deadline) {
    while (true) {
        const auto taken = std::min(length - so_far.size(), input_.size());
        so_far.append(input_, 0, taken);
        input_.erase(0, taken);
        if (so_far.size() == length) {
            return ending::complete;
        }
        const auto how = read_more(deadline);
        if (how != ending::complete) {
            return how;
        }
    }
}

ending connection::read_chunks(std::string& body, clock::time_point deadline) {
    while (true) {
        while (input_.find("\r\n") == std::string::npos) {
            const auto how = read_more(deadline);
            if (how != ending::complete) {
                return how;
            }
        }
        const auto line = input_.substr(0, input_.find("\r\n"));
        input_.erase(0, line.size() + 2);
        constexpr int hexadecimal = 16;
        const auto size = std::strtoull(line.c_str(), nullptr, hexadecimal);
        std::string chunk;
        const auto how = read_body(chunk, size + 2, deadline);
        body.append(chunk, 0, std::min<std::size_t>(chunk.size(), size));
        if (how != ending::complete || size == 0) {
            return how;
        }
    }
}

received connection::read_request(clock::time_point deadline, bool head_only) {
    received out;
    out.how = read_head(out.content, deadline);
    if (out.how != ending::complete || head_only) {
        return out;
    }
    if (out.content.has("Transfer-Encoding")) {
        out.how = read_chunks(out.content.body, deadline);
    } else if (out.content.has("Content-Length")) {
        out.how = read_body(out.content.body, std::stoull(out.content.value_of("Content-Length")),
                            deadline);
    }
    return out;
}

received connection::read_answer(clock::time_point deadline) {
    received out;
    out.how = read_head(out.content, deadline);
    if (out.how != ending::complete) {
        return out;
    }
    const auto space = out.content.start_line.find(' ');
    out.content.status =
        static_cast<unsigned>(std::strtoul(out.content.start_line.c_str() + space, nullptr, 10));
    if (out.content.has("Transfer-Encoding")) {
        out.how = read_chunks(out.content.body, deadline);
    } else if (out.content.has("Content-Length")) {
        out.how = read_body(out.content.body, std::stoull(out.content.value_of("Content-Length")),
                            deadline);
    } else {
        out.until_close = true;
        while (out.how == ending::complete) {
            out.how = read_more(deadline);
        }
        out.content.body = std::exchange(input_, {});
        // The orderly end of the connection completes such an answer (RFC 9112, 6.3).
        out.how = out.how == ending::closed ? ending::complete : out.how;
    }
    return out;
}

bool connection::wait_for_close(clock::time_point deadline) {
    while (true) {
        const auto how = read_more(deadline);
        input_.clear();
        if (how != ending::complete) {
            return how != ending::timed_out;
        }
    }
}

void connection::reset() {
    const linger at_once{1, 0};
    setsockopt(descriptor_, SOL_SOCKET, SO_LINGER, &at_once, sizeof at_once);
    close(std::exchange(descriptor_, -1));
}

int listen_on(const std::string& address, std::uint16_t port) {
    const int descriptor = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int on = 1;
    setsockopt(descriptor, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    const auto at = address_of(address, port);
    constexpr int backlog = 256;
    if (bind(descriptor, reinterpret_cast<const sockaddr*>(&at), sizeof at) != 0 ||
        listen(descriptor, backlog) != 0) {
        throw std::runtime_error("cannot listen on " + address);
    }
    return descriptor;
}

}  // namespace review
