#include "mimosavalve/observe/log.hpp"

#include <easylogging++.h>

#include <array>
#include <atomic>
#include <chrono>
#include <ctime>
#include <iostream>
#include <nlohmann/json.hpp>

namespace mimosavalve::observe {

namespace detail {

constexpr std::array<std::string_view, 4> level_names{"debug", "info", "warning", "error"};
constexpr std::array<el::Level, 4> levels{el::Level::Debug, el::Level::Info, el::Level::Warning,
                                          el::Level::Error};
constexpr const char* callback_name = "stderr";

struct log_state {
    std::atomic<config::log_format> format{config::log_format::text};
};

log_state& shared_state() {
    static log_state instance;
    return instance;
}

// Writes the log to stderr. The output of the library itself is disabled, since it writes to
// stdout, which is reserved for the results of a program.
class stderr_callback : public el::LogDispatchCallback {
protected:
    void handle(const el::LogDispatchData* data) override {
        const std::string line = std::string(data->logMessage()->message()) + "\n";
        std::cerr.write(line.data(), static_cast<std::streamsize>(line.size()));
    }
};

std::string replace_control_characters(std::string_view text) {
    std::string out(text);
    for (auto& character : out) {
        if (static_cast<unsigned char>(character) < ' ') {
            character = ' ';
        }
    }
    return out;
}

std::uint64_t unix_ms_now() {
    const auto now = std::chrono::system_clock::now().time_since_epoch();
    return static_cast<std::uint64_t>(
        std::chrono::duration_cast<std::chrono::milliseconds>(now).count());
}

void write_to_library(config::log_level level, const std::string& text) {
    switch (level) {
        case config::log_level::debug:
            LOG(DEBUG) << text;
            break;
        case config::log_level::info:
            LOG(INFO) << text;
            break;
        case config::log_level::warning:
            LOG(WARNING) << text;
            break;
        case config::log_level::error:
            LOG(ERROR) << text;
            break;
    }
}

}  // namespace detail

std::string utc_time(std::uint64_t unix_ms) {
    constexpr std::uint64_t ms_per_second = 1000;
    const auto seconds = static_cast<std::time_t>(unix_ms / ms_per_second);
    std::tm parts{};
    gmtime_r(&seconds, &parts);
    std::array<char, 32> date{};
    std::strftime(date.data(), date.size(), "%Y-%m-%dT%H:%M:%S", &parts);
    const auto milliseconds = std::to_string(ms_per_second + unix_ms % ms_per_second).substr(1);
    return std::string(date.data()) + "." + milliseconds + "Z";
}

std::string format_log_line(const log_line& line, config::log_format format,
                            std::uint64_t unix_ms) {
    const auto level = detail::level_names.at(static_cast<std::size_t>(line.level));
    if (format == config::log_format::json) {
        nlohmann::ordered_json out;
        out["time"] = utc_time(unix_ms);
        out["level"] = level;
        out["component"] = line.component;
        if (!line.request.empty()) {
            out["request"] = line.request;
        }
        out["message"] = line.message;
        return out.dump(-1, ' ', false, nlohmann::ordered_json::error_handler_t::replace);
    }
    auto text = utc_time(unix_ms) + " " + std::string(level) + " " + std::string(line.component);
    if (!line.request.empty()) {
        text += " [" + detail::replace_control_characters(line.request) + "]";
    }
    return text + ": " + detail::replace_control_characters(line.message);
}

void set_up_log(const config::log_settings& settings) {
    detail::shared_state().format = settings.format;
    el::Configurations options;
    options.setToDefault();
    options.setGlobally(el::ConfigurationType::ToFile, "false");
    options.setGlobally(el::ConfigurationType::ToStandardOutput, "false");
    options.setGlobally(el::ConfigurationType::Format, "%msg");
    for (std::size_t index = 0; index < detail::levels.size(); ++index) {
        const bool is_enabled = index >= static_cast<std::size_t>(settings.level);
        options.set(detail::levels.at(index), el::ConfigurationType::Enabled,
                    is_enabled ? "true" : "false");
    }
    el::Loggers::reconfigureAllLoggers(options);
    if (el::Helpers::logDispatchCallback<detail::stderr_callback>(detail::callback_name) ==
        nullptr) {
        el::Helpers::installLogDispatchCallback<detail::stderr_callback>(detail::callback_name);
    }
}

void write_log(const log_line& line) {
    detail::write_to_library(
        line.level, format_log_line(line, detail::shared_state().format, detail::unix_ms_now()));
}

}  // namespace mimosavalve::observe
