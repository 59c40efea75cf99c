#include "settings/settings.h"
#include "settings/settings_error.h"

#include <criterion/criterion.h>

#include <fstream>
#include <map>
#include <optional>
#include <set>
#include <sstream>
#include <string>
#include <vector>

// The templates of deploy/, filled in with the figures that the platform may state: whole numbers, fractions, true or false, or nothing.

using namespace appleramp;
using namespace std::chrono_literals;

namespace {

using fields = std::map<std::string, std::string>;

const fields usualFields {
    { "node_name", "front-a-1" },
    { "zone", "a" },
    { "ip", "10.1.0.40" },
    { "inner_port_range.0", "7340" },
    { "listen.front", "10.1.0.40:8227" },
    { "listen.ready_addr", "10.1.0.40:8220" },
    { "listen.directory", "10.1.0.40:8224" },
    { "platform.address", "10.200.1.7:8223" },
    { "app", "10.1.0.41:8080" },
    { "service", "huvo11a" },
    { "limits.link_mbps", "1000.0" },
    { "bounds.revoke_ms", "5000" },
    { "bounds.drain_ms", "2000" },
    { "bounds.grace_s", "8" },
    { "bounds.stall_ms", "1500" },
    { "bounds.retry_window_s", "10" },
    { "bounds.pass_ms", "120" },
    { "bounds.retry_budget_ratio", "0.2" },
    { "bounds.retry_budget_slack", "92" },
    { "bounds.cold_overshoot", "1.5" },
    { "bounds.cold_slack", "5" },
};

const std::vector<std::string> templates { "entry.ini", "agent.ini" };

bool isFigure(const std::string& field) { return field.starts_with("bounds.") || field.starts_with("limits."); }

std::string readTemplate(const std::string& name)
{
    std::ifstream file(std::string(DEPLOY_FOLDER "/") + name);
    cr_assert(file.good(), "%s", name.c_str());
    std::ostringstream text;
    text << file.rdbuf();
    return text.str();
}

// Fills in the placeholders, and adds the names of their fields to `used`.
std::string fillIn(std::string text, const fields& values, std::set<std::string>& used)
{
    for (auto begin = text.find("{{"); begin != std::string::npos; begin = text.find("{{")) {
        const auto end = text.find("}}", begin);
        const std::string field = text.substr(begin + 2, end - begin - 2);
        cr_assert(values.contains(field), "%s has no value in this test", field.c_str());
        used.insert(field);
        text.replace(begin, end + 2 - begin, values.at(field));
    }
    return text;
}

std::set<std::string> figuresOf(const std::string& name)
{
    std::set<std::string> used;
    fillIn(readTemplate(name), usualFields, used);
    std::erase_if(used, [](const std::string& field) { return !isFigure(field); });
    return used;
}

process_settings read(const std::string& name, const std::string& field = {}, const std::string& value = {})
{
    fields values = usualFields;
    if (!field.empty())
        values[field] = value;
    std::set<std::string> used;
    std::istringstream text(fillIn(readTemplate(name), values, used));
    return parseSettings(text, name);
}

std::optional<std::string> problemOf(const std::string& name, const std::string& field, const std::string& value)
{
    try {
        read(name, field, value);
        return std::nullopt;
    } catch (const settings_error& problem) {
        return problem.what();
    }
}

} // namespace

// A time bound that was a fraction kept every process from starting: the template wrote zeros behind it to make milliseconds of seconds.
Test(settings_templates, every_figure_may_be_whole_a_fraction_or_absent)
{
    for (const std::string& name : templates) {
        for (const std::string& field : figuresOf(name)) {
            for (const char* const value : { "7", "7.5", "7.0", "0.5", "7.0005", "4500.5", "1e1", "7.5e-1", "1200", "" }) {
                const auto problem = problemOf(name, field, value);
                cr_expect_not(problem.has_value(), "%s = '%s': %s", field.c_str(), value, problem.value_or("").c_str());
            }
        }
    }
}

// What is no figure must be seen by the operator, with the key that has it.
Test(settings_templates, what_is_no_figure_is_refused_by_name)
{
    for (const std::string& name : templates) {
        for (const std::string& field : figuresOf(name)) {
            for (const char* const value : { "true", "false", "-1", "nan", "inf", "1e400", "7,5", "7.5 s", "{\"a\":1}" })
                cr_expect(problemOf(name, field, value).has_value(), "%s = '%s' was accepted", field.c_str(), value);
        }
    }
    const std::string problem = problemOf("entry.ini", "bounds.grace_s", "true").value_or("");
    cr_expect(problem.find("[bounds] grace_s: \"true\" is not a number") != std::string::npos, "%s", problem.c_str());
}

Test(settings_templates, bounds_keep_their_value_in_either_unit)
{
    cr_expect(read("entry.ini").bounds.grace == duration(8s));
    cr_expect(read("entry.ini").bounds.repeatWindow == duration(10s));
    cr_expect(read("agent.ini").bounds.grace == duration(8s));
    cr_expect(read("entry.ini", "bounds.grace_s", "7.5").bounds.grace == duration(7500ms));
    cr_expect(read("entry.ini", "bounds.grace_s", "7.0005").bounds.grace == duration(7000500us));
    cr_expect(read("entry.ini", "bounds.retry_window_s", "0.5").bounds.repeatWindow == duration(500ms));
    cr_expect(read("entry.ini", "bounds.revoke_ms", "4500.5").bounds.revocation == duration(4500500us));
    // A figure that the deployment does not state.
    cr_expect(read("entry.ini", "bounds.grace_s", "").bounds.grace == duration(8s));
    cr_expect(read("entry.ini", "bounds.pass_ms", "").bounds.pause == duration(200ms));
}

// A bound that the process keeps must not grow, and a time that it waits must not shrink.
Test(settings_templates, times_between_two_microseconds_go_to_their_safe_side)
{
    const auto bounds = [](const std::string& field, const std::string& value) { return read("entry.ini", field, value).bounds; };
    cr_expect(bounds("bounds.revoke_ms", "1.0019").revocation == duration(1001us));
    cr_expect(bounds("bounds.drain_ms", "1.0019").drain == duration(1001us));
    cr_expect(bounds("bounds.grace_s", "1.0000019").grace == duration(1000001us));
    cr_expect(bounds("bounds.pass_ms", "1.0019").pause == duration(1001us));
    cr_expect(bounds("bounds.stall_ms", "1.0011").stall == duration(1002us));
    cr_expect(bounds("bounds.retry_window_s", "1.0000011").repeatWindow == duration(1000002us));
}
