#include "command/tokenizer.hpp"

#include <optional>

namespace mimosavalve::command {

namespace detail {

bool is_space(char letter) {
    return letter == ' ' || letter == '\t' || letter == '\r' || letter == '\n';
}

bool is_control(char letter) {
    constexpr unsigned char first_printable = 0x20;
    constexpr unsigned char del = 0x7f;
    const auto code = static_cast<unsigned char>(letter);
    return code < first_printable || code == del;
}

// Later bytes of a UTF-8 character do not start a new column.
bool starts_character(char letter) {
    constexpr unsigned char mask = 0xc0;
    constexpr unsigned char continuation = 0x80;
    return (static_cast<unsigned char>(letter) & mask) != continuation;
}

class scanner {
public:
    explicit scanner(std::string_view text) : rest_(text) {}

    std::variant<std::vector<token>, parse_error> run() {
        skip_spaces();
        while (!rest_.empty() && !error_) {
            tokens_.push_back(rest_.front() == '"' ? quoted() : plain());
            skip_spaces();
        }
        if (error_) {
            return *error_;
        }
        tokens_.push_back({token_kind::end, "", column_});
        return std::move(tokens_);
    }

private:
    char take() {
        const char letter = rest_.front();
        rest_.remove_prefix(1);
        if (starts_character(letter)) {
            ++column_;
        }
        return letter;
    }

    void skip_spaces() {
        while (!rest_.empty() && is_space(rest_.front())) {
            take();
        }
    }

    void fail(std::uint32_t column, std::string expected, std::string found) {
        error_ = parse_error{column, std::move(expected), std::move(found)};
        rest_ = {};
    }

    token plain() {
        token out{token_kind::word, "", column_};
        while (!rest_.empty() && !is_space(rest_.front())) {
            if (is_control(rest_.front()) || rest_.front() == '"') {
                fail(column_, "a space or a printable character",
                     rest_.front() == '"' ? "'\"'" : "a control character");
                return out;
            }
            out.text += take();
        }
        if (out.text.starts_with("--")) {
            out.kind = token_kind::option;
            out.text.erase(0, 2);
        }
        return out;
    }

    token quoted() {
        token out{token_kind::quoted, "", column_};
        take();
        while (!rest_.empty() && rest_.front() != '"') {
            if (rest_.front() == '\\') {
                take();
            }
            if (rest_.empty()) {
                break;
            }
            if (is_control(rest_.front())) {
                fail(column_, "a printable character", "a control character");
                return out;
            }
            out.text += take();
        }
        if (rest_.empty()) {
            fail(column_, "'\"' that closes the text", "the end of the command");
            return out;
        }
        take();
        return out;
    }

    std::string_view rest_;
    std::uint32_t column_ = 1;
    std::vector<token> tokens_;
    std::optional<parse_error> error_;
};

}  // namespace detail

std::variant<std::vector<token>, parse_error> tokenize(std::string_view text) {
    return detail::scanner(text).run();
}

}  // namespace mimosavalve::command
