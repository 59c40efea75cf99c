#include "settings/settings.h"

#include "settings/setting_descriptor.h"
#include "settings/settings_error.h"

#include <criterion/criterion.h>

#include <unistd.h>

#include <cstdio>
#include <fstream>
#include <set>
#include <sstream>
#include <utility>
#include <vector>

using namespace appleramp;

namespace {

const std::string entryFile = R"(; an entry
[process]
role = entry
instance = entry-1
availability_zone = zone-a

[listen]
callers = 127.0.0.1:8080
operations = 127.0.0.1:0
links = 127.0.0.1:0

[platform]
table_url = http://127.0.0.1:9000/
objects_url = http://127.0.0.1:9001
instances_url = http://127.0.0.1:9002
)";

const std::string agentFile = R"([process]
role = agent
instance = agent-1
availability_zone = zone-a
[listen]
operations = 127.0.0.1:0
links = 127.0.0.1:0
[platform]
table_url = http://127.0.0.1:9000
objects_url = http://127.0.0.1:9001
instances_url = http://127.0.0.1:9002
[endpoint]
id = engine-1
kind = model
url = http://127.0.0.1:7000
services = assistant, drafts
capacity = 32
cold_slots = 2
)";

process_settings parse(const std::string& text)
{
    std::istringstream input(text);
    return parseSettings(input, "test.ini");
}

std::string replaced(std::string text, const std::string& from, const std::string& to)
{
    const auto at = text.find(from);
    cr_assert(at != std::string::npos, "the text does not contain %s", from.c_str());
    return text.replace(at, from.size(), to);
}

// Checks that the text is rejected with a one-line error that names the file, the section and the key, and contains the
// advice.
void assertRefused(const std::string& text, const std::string& section, const std::string& key, const std::string& advice)
{
    try {
        parse(text);
    } catch (const settings_error& problem) {
        const std::string what = problem.what();
        cr_assert_eq(problem.file(), "test.ini");
        cr_assert_eq(problem.section(), section, "%s", what.c_str());
        cr_assert_eq(problem.key(), key, "%s", what.c_str());
        cr_assert(what.find(advice) != std::string::npos, "%s", what.c_str());
        cr_assert(what.find('\n') == std::string::npos, "the error must be one line");
        return;
    }
    cr_assert(false, "accepted:\n%s", text.c_str());
}

} // namespace

Test(settings, an_entry_file_is_read_with_defaults)
{
    const process_settings settings = parse(entryFile);
    cr_assert(settings.process.role == process_role::Entry);
    cr_assert_eq(settings.process.instance.str(), "entry-1");
    cr_assert_eq(settings.process.zone.str(), "zone-a");
    cr_assert_eq(settings.listen.callers.str(), "127.0.0.1:8080");
    cr_assert_eq(settings.listen.links.port, 0);
    cr_assert_eq(settings.platform.tableUrl, "http://127.0.0.1:9000");
    cr_assert(settings.platform.pollInterval == std::chrono::milliseconds(500));
    cr_assert_eq(settings.limits.maxBodyBytes, 4194304u);
    cr_assert(settings.observe.spansUrl.empty());
    cr_assert(settings.observe.logLevel == log_level::Info);
    cr_assert_eq(settings.entry.maxCallers, 256u);
}

Test(settings, an_agent_file_is_read)
{
    const process_settings settings = parse(agentFile);
    cr_assert(settings.process.role == process_role::Agent);
    cr_assert(settings.endpoint.description.kind == endpoint_kind::ModelEngine);
    cr_assert_eq(settings.endpoint.description.services.size(), 2u);
    cr_assert_eq(settings.endpoint.description.services[1].str(), "drafts");
    cr_assert(settings.endpoint.description.adapters.empty());
    cr_assert_eq(settings.endpoint.capacity, 32u);
    cr_assert_eq(settings.endpoint.coldSlots, 2u);
}

Test(settings, a_missing_file_is_named)
{
    try {
        loadSettings("/nonexistent/appleramp.ini");
        cr_assert(false, "accepted");
    } catch (const settings_error& problem) {
        cr_assert_eq(problem.file(), "/nonexistent/appleramp.ini");
    }
}

Test(settings, an_unknown_section_or_key_is_named)
{
    assertRefused(entryFile + "[proces]\n", "proces", "", "write one of process listen");
    assertRefused(entryFile + "[observe]\nlevel = info\n", "observe", "level", "write one of log_level");
    assertRefused(replaced(entryFile, "role", "Role"), "process", "Role", "unknown key");
    assertRefused(entryFile + "[observe]\nlog_level.x = info\n", "observe", "log_level.x", "unknown key");
    assertRefused("role = entry\n" + entryFile, "", "role", "outside a section");
}

Test(settings, a_missing_key_is_named)
{
    assertRefused(replaced(entryFile, "instance = entry-1\n", ""), "process", "instance", "missing; add it");
    assertRefused(replaced(entryFile, "role = entry\n", ""), "process", "role", "missing; add it");
    assertRefused(replaced(agentFile, "kind = model\n", ""), "endpoint", "kind", "missing; add it");
    assertRefused("", "process", "role", "missing; add it");
}

Test(settings, a_bad_value_is_named)
{
    assertRefused(replaced(entryFile, "role = entry", "role = both"), "process", "role", "one of entry agent");
    assertRefused(replaced(entryFile, "entry-1", ""), "process", "instance", "empty");
    assertRefused(replaced(entryFile, "entry-1", "a b"), "process", "instance", "is not a name");
    assertRefused(replaced(entryFile, "127.0.0.1:8080", "localhost:8080"), "listen", "callers", "127.0.0.1:8080");
    assertRefused(replaced(entryFile, "127.0.0.1:8080", "127.0.0.1"), "listen", "callers", "127.0.0.1:8080");
    assertRefused(replaced(entryFile, "127.0.0.1:8080", "127.0.0.1:65536"), "listen", "callers", "127.0.0.1:8080");
    assertRefused(replaced(entryFile, "http://127.0.0.1:9001", "ftp://x"), "platform", "objects_url", "not a URL");
    assertRefused(replaced(agentFile, "capacity = 32", "capacity = 0"), "endpoint", "capacity", "1 to 100000");
    assertRefused(replaced(agentFile, "capacity = 32", "capacity = 8x"), "endpoint", "capacity", "whole number");
    assertRefused(
        replaced(agentFile, "capacity = 32", "capacity = 99999999999999999999"), "endpoint", "capacity", "out of range");
    assertRefused(replaced(agentFile, "assistant, drafts", "assistant,,drafts"), "endpoint", "services", "empty");
    assertRefused(replaced(agentFile, "cold_slots = 2", "cold_slots = 33"), "endpoint", "cold_slots", "at most 32");
}

Test(settings, a_key_of_the_other_role_is_refused)
{
    assertRefused(entryFile + "[endpoint]\nid = x\n", "endpoint", "id", "role agent");
    assertRefused(
        replaced(agentFile, "[listen]\n", "[listen]\ncallers = 127.0.0.1:1\n"), "listen", "callers", "role entry");
}

Test(settings, lines_that_ini_readers_pass_over_are_refused)
{
    assertRefused(entryFile + "[observe\n", "", "", "close its section name");
    assertRefused(entryFile + "max_callers\n", "platform", "", "key = value");
    assertRefused(replaced(entryFile, "role = entry", "role = entry\nrole = agent"), "process", "role", "second time");
    assertRefused(entryFile + std::string("[entry]\nmax_\0callers = 5\n", 25), "entry", "", "control character");
    assertRefused(entryFile + std::string(70000, ';'), "", "", "longer than 65536 bytes");
}

Test(settings, a_duration_is_given_once_in_either_unit)
{
    const auto poll = [](const std::string& line) { return parse(entryFile + line).platform.pollInterval; };
    cr_assert(poll("poll_interval_ms = 62.5\n") == std::chrono::microseconds(62'500));
    cr_assert(poll("poll_interval_s = 1.5\n") == std::chrono::milliseconds(1500));
    assertRefused(entryFile + "poll_interval_ms = 100\npoll_interval_s = 1\n", "platform", "poll_interval_s", "second time");
    assertRefused(entryFile + "poll_interval_s = 61\n", "platform", "poll_interval_s", "0.05 to 60");
    assertRefused(entryFile + "poll_interval_ms = soon\n", "platform", "poll_interval_ms", "not a number");
    assertRefused(entryFile + "[limits]\nmemory_s = 1\n", "limits", "memory_s", "unknown key");
}

// An operator who mends one error at a time learns of the next only at the next start.
Test(settings, all_errors_are_found_at_once)
{
    const std::string path = "/tmp/appleramp-settings-" + std::to_string(::getpid()) + ".ini";
    const auto keysIn = [&path](const std::string& text) {
        std::ofstream(path) << text;
        std::vector<std::string> keys;
        for (const settings_error& problem : findSettingsErrors(path))
            keys.push_back(problem.key());
        std::remove(path.c_str());
        return keys;
    };
    cr_assert(keysIn(entryFile).empty());
    const std::string odd = replaced(replaced(entryFile, "entry-1", "a b"), "127.0.0.1:8080", "here") + "poll_interval_ms = soon\nlevel = info\n[observe]\nlog_level = loud\n";
    cr_assert((keysIn(odd) == std::vector<std::string> { "level", "instance", "callers", "poll_interval_ms", "log_level" }));
    // An unknown section is one error, and so is an unknown role.
    cr_assert((keysIn(entryFile + "[proces]\na = 1\nb = 2\n") == std::vector<std::string> { "" }));
    cr_assert((keysIn(replaced(entryFile, "role = entry", "role = both")) == std::vector<std::string> { "role" }));
    cr_assert_eq(findSettingsErrors("/nonexistent/appleramp.ini").size(), 1U);
}

Test(settings, values_are_not_expanded)
{
    assertRefused(replaced(entryFile, "entry-1", "${system.env.HOME}"), "process", "instance", "is not a name");
}

Test(settings, every_declaration_is_complete_and_unique)
{
    std::set<std::pair<std::string_view, std::string_view>> seen;
    const std::string table = describeSettings();
    for (const setting_descriptor& setting : settingDescriptors()) {
        const std::string key(setting.key);
        cr_assert(seen.emplace(setting.section, setting.key).second, "%s", key.c_str());
        cr_assert(!setting.doc.empty(), "%s", key.c_str());
        cr_assert(setting.assign != nullptr, "%s", key.c_str());
        cr_assert(table.find("`" + key + "`") != std::string::npos, "%s", key.c_str());
        if (setting.type == setting_type::Integer)
            cr_assert(!setting.unit.empty() && setting.minimum < setting.maximum, "%s", key.c_str());
        if (setting.type == setting_type::Duration)
            cr_assert(key.ends_with("_ms") && setting.unit == "milliseconds" && setting.minimum < setting.maximum, "%s", key.c_str());
        if (setting.defaultValue)
            parseSettingValue(setting, *setting.defaultValue);
    }
}
