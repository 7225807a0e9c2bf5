#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

/// Blocking HTTP/1.1 over loopback TCP, for the stand-ins of workers and clients. It is written
/// anew, and not taken from the router, so that a fault of the router's parser does not hide
/// itself.
namespace review {

using clock = std::chrono::steady_clock;

struct field {
    std::string name;
    std::string value;
};

struct message {
    std::string start_line;
    std::vector<field> fields;
    std::string body;
    unsigned status = 0;  ///< Of an answer; 0 when there was none.

    [[nodiscard]] std::string value_of(std::string_view name) const;
    [[nodiscard]] bool has(std::string_view name) const;
};

/// How the bytes of a message ended.
enum class ending { complete, closed, reset, timed_out, malformed };
std::string_view to_string(ending how);

struct received {
    message content;
    ending how = ending::closed;
    bool until_close = false;  ///< Neither a length nor chunks: complete when the peer closes.
};

class connection {
public:
    explicit connection(int descriptor) : descriptor_(descriptor) {}
    ~connection();
    connection(connection&& other) noexcept;
    connection& operator=(connection&&) = delete;
    connection(const connection&) = delete;
    connection& operator=(const connection&) = delete;

    /// Nothing if the connection is not open within a second.
    static std::optional<connection> open(const std::string& address, std::uint16_t port);

    /// Whether the kernel has accepted all bytes.
    bool send(std::string_view bytes) const;
    /// Reads a request, or only its head.
    received read_request(clock::time_point deadline, bool head_only = false);
    received read_answer(clock::time_point deadline);
    /// Reads the rest of a body of `length` bytes, of which `so_far` has arrived.
    ending read_body(std::string& so_far, std::size_t length, clock::time_point deadline);
    /// Whether the peer closes or resets the connection before the deadline; discards what comes.
    bool wait_for_close(clock::time_point deadline);
    /// Resets instead of closing in an orderly way.
    void reset();
    [[nodiscard]] int descriptor() const { return descriptor_; }

private:
    /// Appends what arrives; `ending::complete` if something did.
    ending read_more(clock::time_point deadline);
    ending read_head(message& into, clock::time_point deadline);
    ending read_chunks(std::string& body, clock::time_point deadline);

    int descriptor_;
    std::string input_;
};

int listen_on(const std::string& address, std::uint16_t port);

}  // namespace review
