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
    for (const char character : text) {
        if (character == '"' || character == '\\') {
            out.push_back('\\');
            out.push_back(character);
        } else {
            out.push_back(static_cast<unsigned char>(character) < ' ' ? ' ' : character);
        }
    }
    out.push_back('"');
}

void append_value(std::string& out, const log_value& value) {
    append_quoted(out, value.name);
    out.push_back(':');
    if (const auto* text = std::get_if<std::string_view>(&value.value)) {
        append_quoted(out, *text);
    } else if (const auto* integer = std::get_if<std::int64_t>(&value.value)) {
        out.append(std::to_string(*integer));
    } else {
        constexpr int significant_digits = 4;
        char buffer[32];
        const int size = std::snprintf(buffer, sizeof buffer, "%.*g", significant_digits,
                                       std::get<double>(value.value));
        out.append(buffer, static_cast<std::size_t>(size));
    }
}

}  // namespace detail

decision_log::decision_log(int descriptor, log_rate_limit rate_limit)
    : descriptor_(descriptor),
      rate_limit_(rate_limit),
      available_lines_(rate_limit.max_burst_lines) {
    const int flags = fcntl(descriptor_, F_GETFL);
    if (flags >= 0) {
        fcntl(descriptor_, F_SETFL, flags | O_NONBLOCK);
    }
}

void decision_log::write(std::string_view event, std::initializer_list<log_value> values) {
    constexpr double ms_per_s = 1000;
    const auto now_unix_ms = detail::unix_milliseconds();
    const auto elapsed_ms =
        static_cast<double>(std::max<std::int64_t>(now_unix_ms - refilled_unix_ms_, 0));
    refilled_unix_ms_ = now_unix_ms;
    available_lines_ =
        std::min(rate_limit_.max_burst_lines,
                 available_lines_ + elapsed_ms / ms_per_s * rate_limit_.lines_per_second);
    if (available_lines_ < 1) {
        ++dropped_since_last_line_;
        ++dropped_total_;
        return;
    }
    available_lines_ -= 1;
    write_line(event, values);
}

void decision_log::write_always(std::string_view event, std::initializer_list<log_value> values) {
    write_line(event, values);
}

void decision_log::write_line(std::string_view event, std::initializer_list<log_value> values) {
    std::string line = "{\"at_ms\":" + std::to_string(detail::unix_milliseconds()) + ",\"event\":";
    detail::append_quoted(line, event);
    for (const auto& value : values) {
        line.push_back(',');
        detail::append_value(line, value);
    }
    if (dropped_since_last_line_ > 0) {
        line.append(",\"lines_left_out\":").append(std::to_string(dropped_since_last_line_));
    }
    line.append("}\n");
    const auto written = ::write(descriptor_, line.data(), line.size());
    if (written < 0) {
        ++dropped_since_last_line_;
        ++dropped_total_;
    } else {
        dropped_since_last_line_ = 0;
    }
}

}  // namespace mimosavalve::observe
