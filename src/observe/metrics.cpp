#include "mimosavalve/observe/metrics.hpp"

#include <sstream>

namespace mimosavalve::observe {

namespace detail {

constexpr std::array<std::string_view, 3> class_names{"status", "order", "upload"};
constexpr std::array verdicts{traffic_verdict::not_run, traffic_verdict::ran,
                              traffic_verdict::may_have_run};
constexpr std::array quantiles{0.5, 0.99, 0.999};

void increment(std::atomic<std::uint64_t>& counter) {
    counter.store(counter.load(std::memory_order_relaxed) + 1, std::memory_order_relaxed);
}

void record_request(request_series& series, traffic_verdict verdict, std::uint64_t microseconds) {
    increment(series.verdicts.at(static_cast<std::size_t>(verdict)));
    series.latency.record(microseconds);
}

void add(request_series& sum, const request_series& addend) {
    for (std::size_t index = 0; index < sum.verdicts.size(); ++index) {
        sum.verdicts.at(index) += addend.verdicts.at(index);
    }
    sum.latency.add(addend.latency);
}

std::string escape_label_value(std::string_view text) {
    std::string out;
    for (const auto character : text) {
        if (character == '"' || character == '\\') {
            out.push_back('\\');
        }
        out.push_back(character);
    }
    return out;
}

void write_series(std::ostream& out, std::string_view label, std::string_view name,
                  const request_series& series) {
    const auto value = escape_label_value(name);
    for (const auto verdict : verdicts) {
        out << "mimosavalve_requests_total{" << label << "=\"" << value << "\",verdict=\""
            << to_string(verdict) << "\"} "
            << series.verdicts.at(static_cast<std::size_t>(verdict)).load() << '\n';
    }
    for (const auto fraction : quantiles) {
        out << "mimosavalve_latency_microseconds{" << label << "=\"" << value << "\",quantile=\""
            << fraction << "\"} " << series.latency.quantile(fraction) << '\n';
    }
    out << "mimosavalve_latency_microseconds_sum{" << label << "=\"" << value << "\"} "
        << series.latency.sum_microseconds() << '\n';
    out << "mimosavalve_latency_microseconds_count{" << label << "=\"" << value << "\"} "
        << series.latency.total() << '\n';
}

void write_account_series(std::ostream& out, const std::vector<const request_metrics*>& threads,
                          const account_labels& labels, std::size_t index) {
    request_series sum;
    bool has_series = false;
    for (const auto* thread : threads) {
        if (const auto* series = thread->account_series(index)) {
            add(sum, *series);
            has_series = true;
        }
    }
    if (has_series) {
        write_series(out, "account", labels.name_of(index), sum);
    }
}

}  // namespace detail

std::size_t account_labels::index_of(std::string_view account) {
    const std::lock_guard lock(mutex_);
    const auto found = indices_.find(std::string(account));
    if (found != indices_.end()) {
        return found->second;
    }
    if (names_.size() >= max_accounts) {
        return other_index;
    }
    names_.emplace_back(account);
    indices_.emplace(account, names_.size() - 1);
    return names_.size() - 1;
}

std::string account_labels::name_of(std::size_t index) const {
    const std::lock_guard lock(mutex_);
    return index < names_.size() ? names_[index] : "other";
}

std::size_t account_labels::size() const {
    const std::lock_guard lock(mutex_);
    return names_.size();
}

void request_metrics::record(config::traffic_class route_class, std::string_view account,
                             traffic_verdict verdict, std::uint64_t microseconds) {
    detail::record_request(class_series_.at(static_cast<std::size_t>(route_class)), verdict,
                           microseconds);
    if (account.empty()) {
        return;
    }
    auto& index = label_indices_.try_emplace(std::string(account), SIZE_MAX).first->second;
    if (index == SIZE_MAX) {
        index = labels_.index_of(account);
    }
    auto* series = account_series_.at(index).load(std::memory_order_relaxed);
    if (series == nullptr) {
        owned_series_.push_back(std::make_unique<request_series>());
        series = owned_series_.back().get();
        account_series_.at(index).store(series, std::memory_order_release);
    }
    detail::record_request(*series, verdict, microseconds);
}

const request_series& request_metrics::class_series(config::traffic_class route_class) const {
    return class_series_.at(static_cast<std::size_t>(route_class));
}

const request_series* request_metrics::account_series(std::size_t index) const {
    return account_series_.at(index).load(std::memory_order_acquire);
}

std::string format_metrics(const std::vector<const request_metrics*>& threads,
                           const account_labels& labels) {
    std::ostringstream out;
    std::uint64_t retries = 0;
    std::uint64_t silent_probes = 0;
    for (const auto* thread : threads) {
        retries += thread->retries;
        silent_probes += thread->silent_probes;
    }
    for (std::size_t index = 0; index < detail::class_names.size(); ++index) {
        request_series sum;
        for (const auto* thread : threads) {
            detail::add(sum, thread->class_series(static_cast<config::traffic_class>(index)));
        }
        detail::write_series(out, "class", detail::class_names.at(index), sum);
    }
    for (std::size_t index = 0; index <= account_labels::max_accounts; ++index) {
        detail::write_account_series(out, threads, labels, index);
    }
    out << "mimosavalve_retries_total " << retries << '\n';
    out << "mimosavalve_silent_probes_total " << silent_probes << '\n';
    return out.str();
}

}  // namespace mimosavalve::observe
