#include "mimosavalve/gateway/crash_watch.hpp"

#include <algorithm>

namespace mimosavalve::gateway {

namespace detail {

// Maximum number of losses that a router keeps until its next report; a crash causes a few dozen.
constexpr std::size_t max_losses = 256;
// The users' platform requires that a request is refused after its third crash.
constexpr std::size_t losses_until_quarantine = 3;
// All routers' reports of one crash arrive within this time; a slow sync call takes 0.9 s.
constexpr milliseconds report_time{2000};
// Time for which an instance is remembered after it was last in the target table. A loss is
// confirmed as a crash if its instance is remembered and no longer in the table, up to 5 s after
// the loss (see traffic/quarantine.cpp). If the instance were forgotten before that, the loss could
// stay unconfirmed and would not count for the quarantine of the request.
constexpr milliseconds known_instance_expiry{10000};

// Time for which a router repeats a loss to a new leader: later it cannot be confirmed.
constexpr milliseconds loss_repetition{5000};
// Number of crashes that the leader announces; a request is refused after its third one.
constexpr std::size_t max_announced_crashes = 8;

// The quarantine is shared with the router daemon, whose clock does not count suspended time.
steady_time steady_of(boot_time time) {
    return steady_time(std::chrono::duration_cast<steady_time::duration>(time.time_since_epoch()));
}

boot_time boot_time_of(steady_time time) {
    return boot_time(std::chrono::duration_cast<boot_clock::duration>(time.time_since_epoch()));
}

}  // namespace detail

std::string instance_name(std::string_view target_id, std::uint64_t started_unix_ms) {
    return std::string(target_id) + "@" + std::to_string(started_unix_ms);
}

void record_lost_connection(crash_report& report, std::string target_instance,
                            std::uint64_t fingerprint, boot_time now) {
    if (report.losses.size() < detail::max_losses) {
        report.losses.push_back({std::move(target_instance), fingerprint, now});
    }
}

void keep_losses(std::vector<crash_report::loss>& kept, const crash_report& report, boot_time now) {
    kept.insert(kept.end(), report.losses.begin(), report.losses.end());
    std::erase_if(kept, [&](const auto& loss) {
        return now - loss.at > detail::loss_repetition ||
               report.answered_suspects.contains(loss.fingerprint);
    });
}

crash_watch resume_crash_watch(
    const crash_findings& findings,
    const std::map<std::string, std::unique_ptr<target_state>, std::less<>>& targets,
    boot_time now) {
    crash_watch watch;
    for (const auto& crash : findings.crashes) {
        watch.quarantine.losses.push_back(
            {crash.target_instance, detail::steady_of(crash.at), crash.fingerprints, true});
    }
    for (const auto& [id, target] : targets) {
        watch.known_instances[instance_name(id, target->entry.started_unix_ms)] = now;
    }
    for (const auto fingerprint : findings.quarantined) {
        traffic::add_to_quarantine(watch.quarantine, fingerprint, detail::steady_of(now));
    }
    return watch;
}

void add_report(crash_watch& watch, const crash_report& report, boot_time now) {
    for (const auto& loss : report.losses) {
        traffic::record_lost_connection(watch.quarantine, loss.target_instance, loss.fingerprint,
                                        detail::steady_of(loss.at));
    }
    for (const auto& instance : report.ended_instances) {
        watch.ended_instances[instance] = now;
    }
    for (const auto fingerprint : report.answered_suspects) {
        traffic::clear_suspect(watch.quarantine, fingerprint);
    }
}

crash_findings find_crashes(
    crash_watch& watch,
    const std::map<std::string, std::unique_ptr<target_state>, std::less<>>& targets,
    boot_time now) {
    auto& quarantine = watch.quarantine;
    std::erase_if(watch.ended_instances,
                  [&](const auto& gone) { return now - gone.second > detail::report_time; });
    const auto at = detail::steady_of(now);
    std::set<std::string> running;
    for (const auto& [id, target] : targets) {
        running.insert(instance_name(id, target->entry.started_unix_ms));
    }
    for (const auto& loss : std::vector(quarantine.losses)) {
        const bool ended =
            watch.known_instances.contains(loss.target) && !running.contains(loss.target);
        if (!loss.confirmed && (ended || watch.ended_instances.contains(loss.target))) {
            traffic::confirm_loss(quarantine, loss.target, at);
        }
    }
    // An instance that has ended remains listed while routers may still report its losses.
    for (auto& instance : running) {
        watch.known_instances[instance] = now;
    }
    std::erase_if(watch.known_instances, [&](const auto& known) {
        return now - known.second > detail::known_instance_expiry;
    });
    traffic::update_quarantine(quarantine, at, detail::losses_until_quarantine);
    crash_findings findings;
    for (const auto fingerprint : traffic::find_suspects(quarantine, at)) {
        findings.suspects.insert(fingerprint);
    }
    for (const auto& held : quarantine.quarantined) {
        if (traffic::is_quarantined(quarantine, held.fingerprint, at)) {
            findings.quarantined.insert(held.fingerprint);
        }
    }
    for (const auto& loss : quarantine.losses) {
        if (loss.confirmed && !loss.fingerprints.empty()) {
            findings.crashes.push_back(
                {loss.target, loss.fingerprints, detail::boot_time_of(loss.lost_at)});
        }
    }
    if (findings.crashes.size() > detail::max_announced_crashes) {
        findings.crashes.erase(findings.crashes.begin(),
                               findings.crashes.end() - detail::max_announced_crashes);
    }
    return findings;
}

}  // namespace mimosavalve::gateway
