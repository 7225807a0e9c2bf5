#include <easylogging++.h>
#include <tclap/CmdLine.h>

#include <fstream>
#include <iostream>
#include <map>
#include <string>
#include <vector>

#include "mimosavalve/check/history_check.hpp"
#include "mimosavalve/check/history_statistics.hpp"
#include "mimosavalve/check/home_settings.hpp"
#include "mimosavalve/load/program_arguments.hpp"

INITIALIZE_EASYLOGGINGPP

namespace check = mimosavalve::check;
namespace load = mimosavalve::load;

namespace {

check::history read_files(const std::vector<std::string>& files,
                          std::vector<std::string>& problems) {
    check::history all;
    check::open_runs open;
    for (const auto& file : files) {
        std::ifstream in(file);
        if (!in) {
            problems.push_back(file + ": can't be read; allowed: a readable file of JSON lines");
            continue;
        }
        check::read_history(in, file, all, open, problems);
    }
    check::finish_history(all, open, problems);
    return all;
}

// Prints at most `limit` violations of each kind and the counts. Returns how many count.
std::size_t print_violations(const std::vector<check::violation>& found, std::size_t limit,
                             bool permit_paused) {
    std::map<check::violation_kind, std::size_t> counts;
    std::size_t counting = 0;
    for (const auto& item : found) {
        const bool permitted =
            permit_paused && item.kind == check::violation_kind::overlap_across_pause;
        counting += permitted ? 0 : 1;
        if (++counts[item.kind] <= limit) {
            std::cout << (permitted ? "permitted " : "violation ") << to_string(item.kind) << ": "
                      << item.text << "\n";
        }
    }
    for (const auto& [kind, count] : counts) {
        std::cout << "count of " << to_string(kind) << ": " << count << "\n";
    }
    std::cout << "violations: " << counting << "\n";
    return counting;
}

}  // namespace

int main(int argc, char** argv) {
    TCLAP::CmdLine command_line(
        "checks histories of targets and callers; exit code 1 when one "
        "shows a violation",
        ' ', MV_VERSION);
    TCLAP::ValueArg<std::string> homes_file("", "homes", "YAML with the home regions of accounts",
                                            false, "", "file", command_line);
    TCLAP::ValueArg<std::size_t> limit("", "limit", "violations to print of each kind", false, 20,
                                       "count", command_line);
    TCLAP::SwitchArg permit_paused(
        "", "permit-paused-overlaps",
        "overlaps with a run that its target was paused in are printed, but are no violations",
        command_line);
    TCLAP::UnlabeledMultiArg<std::string> files("history", "files of targets and load programs",
                                                true, "file", command_line);
    int exit_code = 0;
    if (!load::parse_arguments(command_line, argc, argv, exit_code)) {
        return exit_code;
    }
    std::vector<load::settings_problem> settings_problems;
    check::home_regions homes;
    if (homes_file.isSet()) {
        homes = check::read_home_regions(homes_file.getValue(), settings_problems);
    }
    std::vector<std::string> problems;
    const auto all = read_files(files.getValue(), problems);
    load::print_problems(std::cerr, settings_problems);
    for (const auto& problem : problems) {
        std::cerr << problem << "\n";
    }
    if (!problems.empty() || !settings_problems.empty()) {
        return load::bad_settings_exit_code;
    }
    check::print(std::cout, check::measure_history(all));
    const auto found = check::check_history(all, homes);
    return print_violations(found, limit.getValue(), permit_paused.getValue()) == 0 ? 0 : 1;
}
