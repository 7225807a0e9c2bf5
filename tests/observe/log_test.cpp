#include <doctest/doctest.h>

#include <algorithm>
#include <iostream>
#include <sstream>

#include "mimosavalve/observe/log.hpp"

namespace obs = mimosavalve::observe;
namespace cfg = mimosavalve::config;

namespace {

// Captures what this process writes to std::cerr while the object exists.
class captured_stderr {
public:
    captured_stderr() : original_buffer_(std::cerr.rdbuf(text_.rdbuf())) {}
    ~captured_stderr() { std::cerr.rdbuf(original_buffer_); }
    captured_stderr(const captured_stderr&) = delete;
    captured_stderr& operator=(const captured_stderr&) = delete;

    [[nodiscard]] std::string text() const { return text_.str(); }

private:
    std::ostringstream text_;
    std::streambuf* original_buffer_;
};

}  // namespace

TEST_CASE("a log line contains time, level, component and request [log]") {
    const obs::log_line line{cfg::log_level::warning, "control", "r-7", "lease\nended"};
    CHECK(obs::format_log_line(line, cfg::log_format::text, 1'796'366'400'250) ==
          "2026-12-04T06:40:00.250Z warning control [r-7]: lease ended");
    CHECK(obs::format_log_line(line, cfg::log_format::json, 1'796'366'400'250) ==
          R"({"time":"2026-12-04T06:40:00.250Z","level":"warning","component":"control",)"
          R"("request":"r-7","message":"lease\nended"})");
}

TEST_CASE("only lines of the configured level and above are written to stderr [log]") {
    const captured_stderr captured;
    obs::set_up_log({cfg::log_level::warning, cfg::log_format::text});
    obs::write_log({cfg::log_level::info, "control", "", "quiet"});
    obs::write_log({cfg::log_level::error, "control", "", "loud % sign"});
    obs::set_up_log({cfg::log_level::debug, cfg::log_format::json});
    obs::write_log({cfg::log_level::debug, "traffic", "", "detail"});
    const auto text = captured.text();
    CHECK(text.find("quiet") == std::string::npos);
    CHECK(text.find("error control: loud % sign\n") != std::string::npos);
    CHECK(text.find(R"("component":"traffic","message":"detail"})") != std::string::npos);
    CHECK(std::count(text.begin(), text.end(), '\n') == 2);
}
