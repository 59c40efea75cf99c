#include "settings/setting_descriptor.h"

#include "model/enum_names.h"
#include "settings/bounds_descriptors.h"

#include <algorithm>

namespace appleramp {

namespace {

using settings = process_settings;
using value = setting_value;

constexpr std::int64_t mebibyte = 1024L * 1024;
constexpr std::string_view millisecondsSuffix = "_ms";
constexpr std::string_view secondsSuffix = "_s";

const std::string& text(const value& v) { return std::get<std::string>(v); }

const socket_address& address(const value& v) { return std::get<socket_address>(v); }

template <typename Number>
Number number(const value& v)
{
    return static_cast<Number>(std::get<std::int64_t>(v));
}

duration time(const value& v) { return std::get<duration>(v); }

template <typename Identifier>
std::vector<Identifier> identifiers(const value& v)
{
    std::vector<Identifier> result;
    for (const std::string& word : std::get<std::vector<std::string>>(v))
        result.emplace_back(word);
    return result;
}

process_role role(const value& v) { return fromName<process_role>(text(v)).value_or(process_role::Entry); }

double fraction(const value& v) { return std::get<double>(v); }

constexpr std::int64_t inMicroseconds(duration time) { return time.count(); }

using roles = std::vector<process_role>;

// Roles of the fleet whose entries send requests to agents, which admit them to the endpoints.
const roles agentFleetRoles { process_role::Entry, process_role::Agent };
// Roles of the fleet whose entries send requests to the endpoints directly.
const roles directFleetRoles { process_role::DirectEntry, process_role::DirectAgent };
const roles directEntryRole { process_role::DirectEntry };
const roles directAgentRole { process_role::DirectAgent };

endpoint_kind endpointKind(const value& v)
{
    return text(v) == "model" ? endpoint_kind::ModelEngine : endpoint_kind::PlainService;
}

log_level logLevel(const value& v)
{
    if (text(v) == "info")
        return log_level::Info;
    return text(v) == "warning" ? log_level::Warning : log_level::Error;
}

std::vector<setting_descriptor> processDescriptors()
{
    return {
        { .section = "process",
            .key = "role",
            .type = setting_type::Choice,
            .choices = { "entry", "agent", "direct_entry", "direct_agent" },
            .doc = "What the process is: an entry serves callers, an agent stands beside one endpoint; the direct ones "
                   "form a fleet whose entries send to endpoints themselves.",
            .assign = [](settings& s, const value& v) { s.process.role = role(v); } },
        { .section = "process",
            .key = "instance",
            .doc = "Name of the instance, unique in the fleet.",
            .assign = [](settings& s, const value& v) { s.process.instance = instance_id(text(v)); } },
        { .section = "process",
            .key = "availability_zone",
            .doc = "Availability zone that the instance is in.",
            .assign = [](settings& s, const value& v) { s.process.zone = availability_zone_id(text(v)); } },
    };
}

std::vector<setting_descriptor> listenDescriptors()
{
    return {
        { .section = "listen",
            .key = "callers",
            .type = setting_type::Address,
            .roles = { process_role::Entry, process_role::DirectEntry },
            .doc = "Where callers connect. Port 0: the kernel chooses one.",
            .assign = [](settings& s, const value& v) { s.listen.callers = address(v); } },
        { .section = "listen",
            .key = "operations",
            .type = setting_type::Address,
            .doc = "Where operators and metrics collectors connect. Port 0: the kernel chooses one.",
            .assign = [](settings& s, const value& v) { s.listen.operations = address(v); } },
        { .section = "listen",
            .key = "links",
            .type = setting_type::Address,
            .doc = "Where other processes of the system connect. Port 0: the kernel chooses one.",
            .assign = [](settings& s, const value& v) { s.listen.links = address(v); } },
        { .section = "listen",
            .key = "readiness",
            .type = setting_type::Address,
            .roles = directEntryRole,
            .doc = "Where the platform asks whether the process takes requests.",
            .assign = [](settings& s, const value& v) { s.listen.readiness = address(v); } },
        { .section = "listen",
            .key = "directory",
            .type = setting_type::Address,
            .roles = directEntryRole,
            .doc = "Where callers ask for the addresses of entries.",
            .assign = [](settings& s, const value& v) { s.listen.directory = address(v); } },
    };
}

std::vector<setting_descriptor> platformDescriptors()
{
    return {
        { .section = "platform",
            .key = "table_url",
            .type = setting_type::Url,
            .roles = agentFleetRoles,
            .doc = "The platform's table service.",
            .assign = [](settings& s, const value& v) { s.platform.tableUrl = text(v); } },
        { .section = "platform",
            .key = "objects_url",
            .type = setting_type::Url,
            .roles = agentFleetRoles,
            .doc = "The platform's object store.",
            .assign = [](settings& s, const value& v) { s.platform.objectsUrl = text(v); } },
        { .section = "platform",
            .key = "instances_url",
            .type = setting_type::Url,
            .roles = agentFleetRoles,
            .doc = "The platform's instance list.",
            .assign = [](settings& s, const value& v) { s.platform.instancesUrl = text(v); } },
        { .section = "platform",
            .key = "poll_interval_ms",
            .type = setting_type::Duration,
            .unit = "milliseconds",
            .defaultValue = "500",
            .minimum = inMicroseconds(std::chrono::milliseconds(50)),
            .maximum = inMicroseconds(std::chrono::milliseconds(60'000)),
            .roles = agentFleetRoles,
            .doc = "Time between two reads of the instance list.",
            .assign = [](settings& s, const value& v) { s.platform.pollInterval = time(v); } },
    };
}

std::vector<setting_descriptor> storeDescriptors()
{
    return {
        { .section = "store",
            .key = "address",
            .type = setting_type::Address,
            .roles = directFleetRoles,
            .doc = "The platform's store of rows.",
            .assign = [](settings& s, const value& v) { s.store.address = address(v); } },
        { .section = "store",
            .key = "poll_ms",
            .type = setting_type::Duration,
            .unit = "milliseconds",
            .defaultValue = "1000",
            .minimum = inMicroseconds(std::chrono::milliseconds(100)),
            .maximum = inMicroseconds(std::chrono::milliseconds(30'000)),
            .roles = directFleetRoles,
            .doc = "Longest wait of a read for changes; one entry of each zone asks a quiet store this often.",
            .assign = [](settings& s, const value& v) { s.store.poll = time(v); } },
        { .section = "store",
            .key = "fast_return",
            .type = setting_type::Choice,
            .defaultValue = "false",
            .choices = { "true", "false" },
            .roles = directEntryRole,
            .doc = "One entry of each zone probes an unavailable store for all and tells them when it answers again.",
            .assign = [](settings& s, const value& v) { s.store.fastReturn = text(v) == "true"; } },
    };
}

std::vector<setting_descriptor> admissionDescriptors()
{
    return {
        { .section = "admission",
            .key = "shared_room",
            .type = setting_type::Choice,
            .defaultValue = "false",
            .choices = { "false", "true" },
            .roles = directEntryRole,
            .doc = "Whether the capacity of a service is shared by urgency rank and team, where routes of several ranks lead to it.",
            .assign = [](settings& s, const value& v) { s.admission.sharedRoom = text(v) == "true"; } },
    };
}

std::vector<setting_descriptor> linkDescriptors()
{
    return {
        { .section = "link",
            .key = "rate_mbit",
            .type = setting_type::Fraction,
            .unit = "Mbit/s",
            .defaultValue = "20",
            .minimum = 1,
            .maximum = 1'000'000'000,
            .roles = directAgentRole,
            .doc = "Rate of the instance's network link.",
            .assign = [](settings& s, const value& v) { s.link.rate = fraction(v); } },
        { .section = "link",
            .key = "control_share",
            .type = setting_type::Fraction,
            .defaultValue = "0.5",
            .minimum = 10,
            .maximum = 1000,
            .roles = directAgentRole,
            .doc = "Fraction of the link's rate that messages to other processes may take.",
            .assign = [](settings& s, const value& v) { s.link.controlShare = fraction(v); } },
    };
}

std::vector<setting_descriptor> groupsDescriptors()
{
    return {
        { .section = "groups",
            .key = "single_hold",
            .type = setting_type::Choice,
            .defaultValue = "false",
            .choices = { "false", "true" },
            .roles = directAgentRole,
            .doc = "Whether the agent takes part in switches of expert maps with one hold for the whole group. They are used where all agents of a group do.",
            .assign = [](settings& s, const value& v) { s.groups.singleHold = text(v) == "true"; } },
    };
}

std::vector<setting_descriptor> placementDescriptors()
{
    return {
        { .section = "placement",
            .key = "by_work",
            .type = setting_type::Choice,
            .defaultValue = "false",
            .choices = { "false", "true" },
            .roles = directEntryRole,
            .doc = "Places requests of services that publish engine figures by their expected work.",
            .assign = [](settings& s, const value& v) { s.placement.byWork = text(v) == "true"; } },
        { .section = "placement",
            .key = "pace",
            .type = setting_type::Choice,
            .defaultValue = "false",
            .choices = { "false", "true" },
            .roles = directEntryRole,
            .doc = "Whether endpoints that started or recovered get as much as they can take, by how they answer.",
            .assign = [](settings& s, const value& v) { s.placement.pace = text(v) == "true"; } },
    };
}

std::vector<setting_descriptor> endpointDescriptors()
{
    const roles agent { process_role::Agent };
    return {
        { .section = "endpoint",
            .key = "id",
            .roles = agent,
            .doc = "Name of the endpoint, unique in the fleet.",
            .assign = [](settings& s, const value& v) { s.endpoint.description.endpoint = endpoint_id(text(v)); } },
        { .section = "endpoint",
            .key = "kind",
            .type = setting_type::Choice,
            .choices = { "model", "service" },
            .roles = agent,
            .doc = "A model engine or a plain service.",
            .assign = [](settings& s, const value& v) { s.endpoint.description.kind = endpointKind(v); } },
        { .section = "endpoint",
            .key = "url",
            .type = setting_type::Url,
            .roles = agent,
            .doc = "Where the endpoint listens.",
            .assign = [](settings& s, const value& v) { s.endpoint.url = text(v); } },
        { .section = "endpoint",
            .key = "services",
            .type = setting_type::NameList,
            .roles = { process_role::Agent, process_role::DirectAgent },
            .doc = "Models or plain services that the endpoint serves, separated by commas.",
            .assign
            = [](settings& s, const value& v) { s.endpoint.description.services = identifiers<service_id>(v); } },
        { .section = "endpoint",
            .key = "adapters",
            .type = setting_type::NameList,
            .defaultValue = "",
            .roles = agent,
            .doc = "Adapters that are loaded beside the model, separated by commas.",
            .assign
            = [](settings& s, const value& v) { s.endpoint.description.adapters = identifiers<adapter_id>(v); } },
        { .section = "endpoint",
            .key = "capacity",
            .type = setting_type::Integer,
            .unit = "requests in flight",
            .defaultValue = "8",
            .minimum = 1,
            .maximum = 100'000,
            .roles = agent,
            .doc = "Slots of the endpoint when it is warm.",
            .assign = [](settings& s, const value& v) { s.endpoint.capacity = number<std::uint32_t>(v); } },
        { .section = "endpoint",
            .key = "cold_slots",
            .type = setting_type::Integer,
            .unit = "requests in flight",
            .defaultValue = "1",
            .minimum = 1,
            .maximum = 100'000,
            .roles = agent,
            .doc = "Slots of the endpoint when it is cold. At most its capacity.",
            .assign = [](settings& s, const value& v) { s.endpoint.coldSlots = number<std::uint32_t>(v); } },
        { .section = "endpoint",
            .key = "address",
            .type = setting_type::Address,
            .roles = directAgentRole,
            .doc = "Where the engine beside the agent listens.",
            .assign = [](settings& s, const value& v) { s.endpoint.address = address(v); } },
    };
}

std::vector<setting_descriptor> observeDescriptors()
{
    return {
        { .section = "observe",
            .key = "log_level",
            .type = setting_type::Choice,
            .defaultValue = "info",
            .choices = { "info", "warning", "error" },
            .doc = "Least severity that is logged.",
            .assign = [](settings& s, const value& v) { s.observe.logLevel = logLevel(v); } },
        { .section = "observe",
            .key = "spans_url",
            .type = setting_type::Url,
            .defaultValue = "",
            .doc = "Collector that takes spans as OTLP JSON, with its path, such as http://127.0.0.1:4318/v1/traces. "
                   "Empty: none.",
            .assign = [](settings& s, const value& v) { s.observe.spansUrl = text(v); } },
        { .section = "observe",
            .key = "journal_entries",
            .type = setting_type::Integer,
            .unit = "decisions",
            .defaultValue = "10000",
            .minimum = 16,
            .maximum = 1'000'000,
            .doc = "Decisions that the journal keeps; the oldest are dropped first.",
            .assign = [](settings& s, const value& v) { s.observe.journalEntries = number<std::uint32_t>(v); } },
    };
}

std::vector<setting_descriptor> limitsDescriptors()
{
    return {
        { .section = "limits",
            .key = "max_body_bytes",
            .type = setting_type::Integer,
            .unit = "bytes",
            .defaultValue = "4194304",
            .minimum = 1024,
            .maximum = 256 * mebibyte,
            .doc = "Longest request body that is accepted.",
            .assign = [](settings& s, const value& v) { s.limits.maxBodyBytes = number<std::uint64_t>(v); } },
        { .section = "limits",
            .key = "max_header_bytes",
            .type = setting_type::Integer,
            .unit = "bytes",
            .defaultValue = "65536",
            .minimum = 1024,
            .maximum = mebibyte,
            .doc = "Most bytes of all headers of a request together.",
            .assign = [](settings& s, const value& v) { s.limits.maxHeaderBytes = number<std::uint32_t>(v); } },
        { .section = "limits",
            .key = "max_requests_in_flight",
            .type = setting_type::Integer,
            .unit = "requests",
            .defaultValue = "1024",
            .minimum = 1,
            .maximum = 100'000,
            .doc = "Requests that the process holds at the same time, queued ones included.",
            .assign = [](settings& s, const value& v) { s.limits.maxRequestsInFlight = number<std::uint32_t>(v); } },
        { .section = "limits",
            .key = "request_read_timeout_ms",
            .type = setting_type::Duration,
            .unit = "milliseconds",
            .defaultValue = "20000",
            .minimum = inMicroseconds(std::chrono::milliseconds(100)),
            .maximum = inMicroseconds(std::chrono::milliseconds(600'000)),
            .rounding = rounding::Up,
            .doc = "Longest silence while a request arrives, and longest time for its body to arrive whole.",
            .assign = [](settings& s, const value& v) { s.limits.requestReadTimeout = time(v); } },
        { .section = "limits",
            .key = "memory_mb",
            .type = setting_type::Integer,
            .unit = "mebibytes",
            .defaultValue = "0",
            .minimum = 0,
            .maximum = 1'000'000,
            .roles = { process_role::Entry, process_role::DirectEntry },
            .doc = "Memory that the process may use: two fifths of it hold requests, answers and connections of a direct entry, a sixth bodies of another one; 0 takes that of the machine, at most 160.",
            .assign = [](settings& s, const value& v) { s.limits.memoryMegabytes = number<std::uint32_t>(v); } },
        { .section = "limits",
            .key = "descriptors",
            .type = setting_type::Integer,
            .unit = "descriptors",
            .defaultValue = "0",
            .minimum = 0,
            .maximum = 1'000'000,
            .roles = directEntryRole,
            .doc = "Descriptors that the process may use, of which less than half are for callers' connections; 0 takes the limit of the process.",
            .assign = [](settings& s, const value& v) { s.limits.descriptors = number<std::uint32_t>(v); } },
    };
}

std::vector<setting_descriptor> entryDescriptors()
{
    return {
        { .section = "entry",
            .key = "max_callers",
            .type = setting_type::Integer,
            .unit = "threads",
            .defaultValue = "256",
            .minimum = 4,
            .maximum = 10'000,
            .roles = { process_role::Entry },
            .doc = "Callers' connections that are served at the same time, each by a thread.",
            .assign = [](settings& s, const value& v) { s.entry.maxCallers = number<std::uint32_t>(v); } },
        { .section = "entry",
            .key = "start_wait_ms",
            .type = setting_type::Duration,
            .unit = "milliseconds",
            .defaultValue = "0",
            .minimum = inMicroseconds(std::chrono::milliseconds(0)),
            .maximum = inMicroseconds(std::chrono::milliseconds(10'000)),
            .roles = directEntryRole,
            .doc = "Longest wait of a request that arrives while the process starts, at most a third of its caller's time; 0 refuses it.",
            .assign = [](settings& s, const value& v) { s.entry.startWait = time(v); } },
    };
}

std::vector<setting_descriptor> allDescriptors()
{
    std::vector<setting_descriptor> all;
    for (auto* const section : { processDescriptors, listenDescriptors, platformDescriptors, storeDescriptors, boundsDescriptors,
             admissionDescriptors, placementDescriptors, linkDescriptors, groupsDescriptors, endpointDescriptors, observeDescriptors,
             limitsDescriptors, entryDescriptors }) {
        const auto descriptors = section();
        all.insert(all.end(), descriptors.begin(), descriptors.end());
    }
    return all;
}

} // namespace

std::span<const setting_descriptor> settingDescriptors()
{
    static const std::vector<setting_descriptor> descriptors = allDescriptors();
    return descriptors;
}

std::string secondsKeyOf(const setting_descriptor& setting)
{
    if (setting.type != setting_type::Duration)
        return {};
    return std::string(setting.key.substr(0, setting.key.size() - millisecondsSuffix.size())).append(secondsSuffix);
}

} // namespace appleramp
