#include "mimosavalve/command/operator_client.hpp"

#include <array>
#include <random>
#include <utility>
#include <variant>

#include "mimosavalve/command/parser.hpp"

namespace mimosavalve::command {

namespace detail {

using std::chrono::milliseconds;

// A wait is answered by the router at its own deadline; the answer needs some time more.
milliseconds timeout_of(const client_settings& settings, const command& read) {
    const auto* asked = std::get_if<query>(&read);
    const auto* wait = asked == nullptr ? nullptr : std::get_if<wait_version>(asked);
    return wait == nullptr ? settings.timeout : settings.timeout + wait->within;
}

client_result local_result(const client_settings& settings, outcome how, std::string message,
                           std::string id = {}) {
    command_result result;
    result.how = how;
    result.message = std::move(message);
    result.id = std::move(id);
    const bool json = settings.format == output_format::json;
    return {how, json ? to_json(result) : to_table(result)};
}

std::string attempts_line(const std::string& router, const exchange& answer) {
    return router + ": " + answer.body + "\n";
}

client_result run_query(const client_settings& settings, const std::string& text,
                        milliseconds timeout, const exchange_function& send) {
    std::string errors;
    for (const auto& router : settings.routers) {
        auto answer = send(router, text, settings.format, timeout);
        const bool usable = answer.status == exchange_status::answered &&
                            answer.how != outcome::unreachable &&
                            answer.how != outcome::may_have_run;
        if (usable) {
            return {answer.how, std::move(answer.body)};
        }
        errors += attempts_line(router, answer);
    }
    return local_result(settings, outcome::unreachable, "no router answered\n" + errors);
}

client_result run_change(const client_settings& settings, const std::string& text,
                         const std::string& id, milliseconds timeout,
                         const exchange_function& send) {
    std::string errors;
    bool undecided = false;
    for (const auto& router : settings.routers) {
        auto answer = send(router, text, settings.format, timeout);
        const bool answered = answer.status == exchange_status::answered;
        const bool open = answer.status == exchange_status::no_answer ||
                          (answered && answer.how == outcome::may_have_run);
        const bool final = answered && !open && (!undecided || answer.how == outcome::done);
        if (final) {
            return {answer.how, std::move(answer.body)};
        }
        undecided = undecided || open;
        errors += attempts_line(router, answer);
    }
    if (undecided) {
        return local_result(settings, outcome::may_have_run,
                            "may have run; repeat it with --id " + id + "\n" + errors, id);
    }
    return local_result(settings, outcome::unreachable, "not run\n" + errors, id);
}

}  // namespace detail

client_result run_command(const client_settings& settings, std::string_view text,
                          const exchange_function& send) {
    const auto parsed = parse(text);
    if (const auto* error = std::get_if<parse_error>(&parsed)) {
        return detail::local_result(settings, outcome::bad_command, to_string(*error, text));
    }
    const auto& read = std::get<command>(parsed);
    const auto timeout = detail::timeout_of(settings, read);
    const auto* asked = std::get_if<change_command>(&read);
    if (asked == nullptr) {
        return detail::run_query(settings, std::string(text), timeout, send);
    }
    if (!asked->id.empty()) {
        return detail::run_change(settings, std::string(text), asked->id, timeout, send);
    }
    const auto id = new_identity();
    return detail::run_change(settings, std::string(text) + " --id " + id, id, timeout, send);
}

std::string new_identity() {
    constexpr std::string_view digits = "0123456789abcdef";
    constexpr int length = 16;
    std::random_device source;
    std::uniform_int_distribution<std::size_t> digit(0, digits.size() - 1);
    std::string out = "mvctl-";
    for (int each = 0; each < length; ++each) {
        out += digits[digit(source)];
    }
    return out;
}

}  // namespace mimosavalve::command
