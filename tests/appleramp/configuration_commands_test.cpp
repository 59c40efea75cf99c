#include "appleramp/command_run.h"
#include "fakes/fake_operations_server.h"
#include "wire/configuration_codec.h"

#include <criterion/criterion.h>
#include <nlohmann/json.hpp>

#include <unistd.h>

#include <fstream>

using namespace appleramp;

namespace {

// A temporary file that is deleted by the destructor.
class temporary_file {
public:
    explicit temporary_file(const std::string& text)
        : m_path("/tmp/appleramp-test-XXXXXX")
    {
        const int descriptor = ::mkstemp(m_path.data());
        cr_assert_geq(descriptor, 0);
        ::close(descriptor);
        std::ofstream(m_path, std::ios::binary) << text;
    }

    ~temporary_file() { ::unlink(m_path.c_str()); }

    const std::string& path() const { return m_path; }

private:
    std::string m_path;
};

fleet_configuration current()
{
    fleet_configuration configuration;
    configuration.version = 7;
    configuration.services[service_id("orders")] = { { "/lookups" }, 3 };
    configuration.services[service_id("drafts")] = {};
    configuration.zonesOut = { availability_zone_id("a") };
    return configuration;
}

nlohmann::json json(const fleet_configuration& configuration)
{
    return nlohmann::json::parse(encodeConfiguration(configuration));
}

// An entry that holds current() and accepts every change.
fake_answer serve(const fake_request& request)
{
    if (request.method == "GET")
        return { 200, encodeConfiguration(current()) };
    return { 200, R"({"version":8})" };
}

command_run put(const fake_operations_server& server, const nlohmann::json& document)
{
    const temporary_file file(document.dump());
    return runCommand({ "config", "put", file.path(), "--entry=" + server.address(), "--json" });
}

void assertCheckFails(const nlohmann::json& document, const std::string& advice)
{
    const temporary_file file(document.dump());
    const command_run run = runCommand({ "config", "check", file.path() });
    cr_assert_eq(run.exitCode, ExitFailed);
    cr_assert(run.err.find(file.path()) != std::string::npos, "%s", run.err.c_str());
    cr_assert(run.err.find(advice) != std::string::npos, "%s", run.err.c_str());
}

} // namespace

Test(configuration_commands, check_accepts_what_get_prints)
{
    const fake_operations_server server(serve);
    const command_run got = runCommand({ "config", "get", "--json", "--entry=" + server.address() });
    const temporary_file file(got.out);
    const command_run run = runCommand({ "config", "check", file.path() });
    cr_assert_eq(run.exitCode, ExitDone, "%s", run.err.c_str());
    cr_assert(run.out.find("fleet configuration") != std::string::npos);
}

Test(configuration_commands, check_reads_process_settings)
{
    const temporary_file file("[process]\nrole = entry\ninstance = a b\navailability_zone = z\n");
    const command_run run = runCommand({ "config", "check", file.path() });
    cr_assert_eq(run.exitCode, ExitFailed);
    cr_assert(run.err.find("[process] instance") != std::string::npos, "%s", run.err.c_str());
}

Test(configuration_commands, check_names_what_is_wrong)
{
    auto document = json(current());
    document["defaults"]["teamLimits"] = 3;
    assertCheckFails(document, "unknown member defaults.teamLimits");
    document = json(current());
    document["defaults"]["retryBudgetPercent"] = 101;
    assertCheckFails(document, "retryBudgetPercent is out of range; write 0 to 100");
    document = json(current());
    document["defaults"].erase("teamLimit");
    assertCheckFails(document, "teamLimit");
    document = json(current());
    document["zonesOut"] = 3;
    assertCheckFails(document, "does not decode");
}

Test(configuration_commands, put_sends_only_what_differs)
{
    const fake_operations_server server(serve);
    auto desired = current();
    desired.defaults.teamLimit = 9;
    desired.services.erase(service_id("drafts"));
    desired.services[service_id("orders")].teamLimit = 4;
    const command_run run = put(server, json(desired));
    cr_assert_eq(run.exitCode, ExitDone, "%s", run.err.c_str());
    std::vector<std::string> types;
    for (const fake_request& request : server.requests()) {
        if (request.method == "POST")
            types.push_back(nlohmann::json::parse(request.body).at("change").at("type"));
    }
    cr_assert(types == (std::vector<std::string> { "set_defaults", "put_service", "remove_service" }));
    cr_assert_eq(nlohmann::json::parse(run.out).at("accepted").size(), 3u);
}

Test(configuration_commands, put_of_another_version_is_a_conflict)
{
    const fake_operations_server server(serve);
    auto desired = current();
    desired.version = 6;
    const command_run run = put(server, json(desired));
    cr_assert_eq(run.exitCode, ExitFailed);
    cr_assert(run.err.find("version 6") != std::string::npos && run.err.find("version 7") != std::string::npos);
    cr_assert_eq(server.requests().size(), 1u, "nothing was posted");
}

Test(configuration_commands, put_leaves_zones_to_their_own_command)
{
    const fake_operations_server server(serve);
    auto desired = current();
    desired.zonesOut.clear();
    const command_run run = put(server, json(desired));
    cr_assert_eq(run.exitCode, ExitFailed);
    cr_assert(run.err.find("zone out|in") != std::string::npos, "%s", run.err.c_str());
    cr_assert_eq(server.requests().size(), 1u, "nothing was posted");
}

Test(configuration_commands, put_tells_how_many_changes_were_accepted)
{
    int posts = 0;
    const fake_operations_server server([&posts](const fake_request& request) {
        if (request.method == "GET" || ++posts == 1)
            return serve(request);
        return fake_answer { 409, R"({"execution":"not_run","reason":"conflict","detail":"another change"})" };
    });
    auto desired = current();
    desired.defaults.teamLimit = 9;
    desired.services.erase(service_id("drafts"));
    const command_run run = put(server, json(desired));
    cr_assert_eq(run.exitCode, ExitFailed);
    cr_assert(run.err.find("1 of 2 changes were accepted") != std::string::npos, "%s", run.err.c_str());
}

Test(configuration_commands, a_missing_file_is_named)
{
    const command_run run = runCommand({ "config", "check", "/nonexistent/file" });
    cr_assert_eq(run.exitCode, ExitFailed);
    cr_assert(run.err.find("/nonexistent/file") != std::string::npos);
}
