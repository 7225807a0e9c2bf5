#include "mimosavalve/observe/decision_log.hpp"

#include <fcntl.h>
#include <unistd.h>

#include <algorithm>
#include <chrono>
#include <cstdio>

namespace mimosavalve::observe {

namespace detail {

std::int64_t unix_milliseconds() {
    return std::chrono::duration_cast<std::chrono::milliseconds>(
               std::chrono::system_clock::now().time_since_epoch())
        .count();
}

void append_quoted(std::string& out, std::string_view text) {
    out.push_back('"');
    for (const char letter : text) {
        if (letter == '"' || letter == '\\') {
            out.push_back('\\');
            out.push_back(letter);
        } else {
            out.push_back(static_cast<unsigned char>(letter) < ' ' ? ' ' : letter);
        }
    }
    out.push_back('"');
}

void append_value(std::string& out, const log_value& value) {
    append_quoted(out, value.name);
    out.push_back(':');
    if (const auto* text = std::get_if<std::string_view>(&value.value)) {
        append_quoted(out, *text);
    } else if (const auto* whole = std::get_if<std::int64_t>(&value.value)) {
        out.append(std::to_string(*whole));
    } else {
        constexpr int digits = 4;
        char buffer[32];
        const int size =
            std::snprintf(buffer, sizeof buffer, "%.*g", digits, std::get<double>(value.value));
        out.append(buffer, static_cast<std::size_t>(size));
    }
}

}  // namespace detail

decision_log::decision_log(int descriptor, log_bounds bounds)
    : descriptor_(descriptor), bounds_(bounds), available_(bounds.burst) {
    const int flags = fcntl(descriptor_, F_GETFL);
    if (flags >= 0) {
        fcntl(descriptor_, F_SETFL, flags | O_NONBLOCK);
    }
}

void decision_log::write(std::string_view event, std::initializer_list<log_value> values) {
    constexpr double ms_per_s = 1000;
    const auto now = detail::unix_milliseconds();
    const auto passed = static_cast<double>(std::max<std::int64_t>(now - refilled_ms_, 0));
    refilled_ms_ = now;
    available_ = std::min(bounds_.burst, available_ + passed / ms_per_s * bounds_.lines_per_second);
    if (available_ < 1) {
        ++dropped_;
        ++dropped_total_;
        return;
    }
    available_ -= 1;
    emit(event, values);
}

void decision_log::write_always(std::string_view event, std::initializer_list<log_value> values) {
    emit(event, values);
}

void decision_log::emit(std::string_view event, std::initializer_list<log_value> values) {
    std::string line = "{\"at_ms\":" + std::to_string(detail::unix_milliseconds()) + ",\"event\":";
    detail::append_quoted(line, event);
    for (const auto& value : values) {
        line.push_back(',');
        detail::append_value(line, value);
    }
    if (dropped_ > 0) {
        line.append(",\"lines_left_out\":").append(std::to_string(dropped_));
    }
    line.append("}\n");
    const auto written = ::write(descriptor_, line.data(), line.size());
    if (written < 0) {
        ++dropped_;
        ++dropped_total_;
    } else {
        dropped_ = 0;
    }
}

}  // namespace mimosavalve::observe
