#include "mimosavalve/check/home_settings.hpp"

namespace mimosavalve::check {

home_regions read_home_regions(const std::string& file,
                               std::vector<load::settings_problem>& problems) {
    const auto map = load::load_settings_file(file, {}, problems);
    load::settings_reader reader(file, map, "", problems);
    home_regions homes;
    for (auto& account : reader.nested_list("accounts")) {
        const auto name = account.required_text("name");
        homes[name] = account.texts("home_regions");
        account.reject_unknown_fields();
    }
    reader.reject_unknown_fields();
    return homes;
}

}  // namespace mimosavalve::check
