#include "directentry/store_followers.h"

#include "datagrams/crash_codec.h"
#include "ports/platform_adapter.h"

#include <algorithm>

namespace appleramp {

namespace {

// Batches registry changes of engines that start together. Well below the time within which a leaving engine must stop
// receiving requests.
constexpr duration registryGap = std::chrono::milliseconds(400);
// Long-poll timeout for the members table, which rarely changes.
constexpr duration membersPoll = std::chrono::seconds(20);
// Batches the rows of processes that start together.
constexpr duration membersGap = std::chrono::milliseconds(1200);
// Used once the process has run for a while: entries then learn of new entries from their presence messages.
constexpr duration settledMembersGap = std::chrono::seconds(6);
// Processes that start together would all read the rows that the others write; the zone's reader tells them instead.
constexpr duration membersConfirmationWait = std::chrono::seconds(3);
// As membersConfirmationWait.
constexpr duration crashesConfirmationWait = std::chrono::milliseconds(1500);
// Batches configuration versions in quick succession. A fifth of the time within which a change must be in force.
constexpr duration configurationGap = std::chrono::milliseconds(350);
// Time for the operator to write again what the store lost when it came back from an older copy.
constexpr duration restoredZoneHold = std::chrono::seconds(6);

// Indexes of the followed tables in freshness answers.
constexpr std::size_t configurationPlace = 0;
constexpr std::size_t registryPlace = 1;
constexpr std::size_t membersPlace = 2;
constexpr std::size_t crashesPlace = 3;

} // namespace

store_followers::store_followers(
    const process_settings& settings, row_store& store, const platform_adapter& platform, store_follower_services services)
    : m_settings(settings)
    , m_platform(platform)
    , m_services(std::move(services))
    , m_platformStore(store)
    , m_store(store, { .now = m_services.now, .onAnswered = [this](duration lateness) { m_watch.onAnswered(now(), lateness); }, .onFailed = [this](instant sentAt, store_failure failure) { m_watch.onFailed(now(), sentAt, failure); } })
    , m_watch(settings.process.instance.str(), {}, std::hash<std::string> {}(settings.process.instance.str()))
    , m_relay(settings.process.instance.str())
{
}

void store_followers::start(incarnation seed)
{
    follower_settings settings;
    settings.longPollTimeout = m_settings.store.poll;
    settings.readInterval = configurationGap;
    const auto confirmed = [this](std::size_t table) {
        return [this, table](std::uint64_t digest) {
            // The relay knows digests with the generation of the store.
            const std::uint64_t known = isFast() ? digestOf(*followers().at(table)) : digest;
            return m_relay.currentAsOf(now(), table, known).has_value();
        };
    };
    const auto mayRead = [this, &settings](std::size_t table) -> std::function<std::optional<duration>()> {
        if (!isFast())
            return {};
        return [this, table, longest = settings.longPollTimeout] { return nextReadWait(table, longest); };
    };
    m_configuration = follower(configurationPlace, m_platform.configurationTable(), settings, seed,
        { .onSnapshot = [this](auto rows, instant sentAt) { onConfigurationRows(std::move(rows), sentAt, true); },
            .onChanges = [this](auto rows, instant sentAt) { onConfigurationRows(std::move(rows), sentAt, false); },
            .onReachability = [this](bool reachable) { onAccess(configurationPlace, reachable); },
            .onRestored = [this] { m_zoneHoldUntil = now() + restoredZoneHold; },
            .isDigestConfirmed = confirmed(configurationPlace),
            .nextReadWait = mayRead(configurationPlace) });
    settings.readInterval = registryGap;
    m_registry = follower(registryPlace, m_platform.registryTable(), settings, seed + 1,
        { .onSnapshot = [this](auto rows, instant) { onRegistryWhole(rows); },
            .onChanges = [this](auto rows, instant) { onRegistryChanges(rows); },
            .onReachability = [this](bool reachable) { onAccess(registryPlace, reachable); },
            .onRestored = [this] { m_services.post(registry_restored { now() }); },
            .isDigestConfirmed = confirmed(registryPlace),
            .nextReadWait = mayRead(registryPlace) });
    settings.longPollTimeout = membersPoll;
    settings.confirmationWait = crashesConfirmationWait;
    m_crashes = follower(crashesPlace, std::string(crashTable), settings, seed + 3,
        { .onSnapshot = [this](auto rows, instant) { onCrashRows(rows, true); },
            .onChanges = [this](auto rows, instant) { onCrashRows(rows, false); },
            .onReachability = [](bool) {},
            .onRestored = [] {},
            .isDigestConfirmed = confirmed(crashesPlace),
            .nextReadWait = mayRead(crashesPlace) });
    settings.readInterval = membersGap;
    settings.settledReadInterval = settledMembersGap;
    settings.confirmationWait = membersConfirmationWait;
    m_members = follower(membersPlace, std::string(membersTable), settings, seed + 2,
        { .onSnapshot = [this](auto rows, instant) {
              m_services.onMemberRows(rows, !std::exchange(m_membersRestored, false));
              m_watch.onEntriesKnown(now()); },
            .onChanges = [this](auto rows, instant) { m_services.onMemberRows(rows, false); },
            .onReachability = [](bool) {},
            .onRestored = [this] { onMembersRestored(); },
            .isDigestConfirmed = confirmed(membersPlace),
            .nextReadWait = mayRead(membersPlace) });
}

std::shared_ptr<table_follower> store_followers::follower(
    std::size_t place, std::string table, follower_settings settings, incarnation seed, follower_handlers handlers)
{
    handlers.onSnapshot = [this, place, apply = std::move(handlers.onSnapshot)](auto rows, instant currentAsOf) {
        apply(std::move(rows), currentAsOf);
        pushConfirmations(place);
    };
    handlers.onChanges = [this, place, apply = std::move(handlers.onChanges)](auto rows, instant currentAsOf) {
        apply(std::move(rows), currentAsOf);
        pushConfirmations(place);
    };
    auto result = std::make_shared<table_follower>(m_services.timer(), isFast() ? static_cast<row_store&>(m_store) : m_platformStore, std::move(table), settings, m_services.now, std::move(handlers), seed);
    result->start();
    return result;
}

void store_followers::onTick(instant moment)
{
    askReader(moment);
    if (isFast())
        watchStore(moment);
}

// --- The zone's other entries.

std::optional<std::string> store_followers::readerAddress() const
{
    const auto reader = m_isProbing ? std::nullopt : m_relay.designatedReader(now());
    const member_row* const member = reader ? m_services.member(*reader) : nullptr;
    return member != nullptr && !member->readerAddress.empty() ? std::optional(member->readerAddress) : std::nullopt;
}

void store_followers::askReader(instant moment)
{
    const auto reader = m_relay.readerToQuery(moment);
    if (const member_row* const member = reader ? m_services.member(*reader) : nullptr)
        m_services.ask(freshness_question { moment }, *member);
}

void store_followers::onAnswer(instant moment, const freshness_answer& answer)
{
    m_relay.onAnswer(moment, answer);
    if (isFast() && !answer.tables.empty())
        m_watch.onHeardServed(std::min(moment, answer.askedAt - answer.tables.front().age));
    const auto heldAt = m_relay.currentAsOf(moment, configurationPlace, digestOf(*m_configuration));
    if (heldAt && m_readability.isReadable())
        postConfirmation(moment, *heldAt, std::nullopt);
}

std::optional<freshness_answer> store_followers::answer(instant moment, const std::string& from, const freshness_question& question)
{
    if (isFast())
        onQuestion(moment, from, question);
    return answerFor(question.askedAt, moment);
}

// What other entries confirmed is passed on: its age counts from the sending of the call that confirmed it, whoever made it.
std::optional<freshness_answer> store_followers::answerFor(instant askedAt, instant receivedAt) const
{
    freshness_answer answer { askedAt, {} };
    for (const auto& follower : followers()) {
        if (!follower->currentAsOf())
            return std::nullopt;
        instant currentAsOf = *follower->currentAsOf();
        if (isFast())
            currentAsOf = std::max(currentAsOf, m_relay.currentAsOf(now(), answer.tables.size(), digestOf(*follower)).value_or(currentAsOf));
        answer.tables.push_back({ digestOf(*follower), receivedAt - currentAsOf });
    }
    return answer;
}

std::optional<store_rows> store_followers::changesFor(const changes_question& question) const
{
    for (const auto& follower : followers()) {
        if (follower->table() != question.table || !follower->currentAsOf())
            continue;
        const change_log& log = follower->latestChanges();
        auto changes = log.since(question.generation, question.afterVersion);
        if (!changes)
            continue;
        store_rows rows { .rows = std::move(*changes), .version = log.version(), .generation = log.generation() };
        rows.age = now() - *follower->currentAsOf();
        return rows;
    }
    return std::nullopt;
}

// --- Rows.

// Processes that started after the copy was made are missing in it until they write their rows again, so the known ones
// are kept.
void store_followers::onMembersRestored()
{
    m_membersRestored = true;
    m_services.onStoreRestored(m_members->generation());
}

void store_followers::onAccess(std::size_t place, bool reachable)
{
    if (isFast())
        return;
    if (const auto changed = m_access.update(place, reachable))
        m_services.post(registry_access_changed { now(), *changed });
}

void store_followers::onConfigurationRows(const std::vector<store_row>& rows, instant sentAt, bool isWhole)
{
    std::set<availability_zone_id> zones = isWhole ? std::set<availability_zone_id> {} : m_zonesListedOut;
    std::optional<routing_configuration> newest;
    for (const store_row& row : rows) {
        configuration_row decoded = m_platform.readConfigurationRow(row);
        if (const auto* const out = std::get_if<zone_out_row>(&decoded))
            row.removed ? static_cast<void>(zones.erase(out->zone)) : static_cast<void>(zones.insert(out->zone));
        else if (auto* const configuration = std::get_if<routing_configuration>(&decoded); configuration && !row.removed) {
            m_readability.onReadable(configuration->version);
            m_unreadable.erase(row.key);
            newest = std::move(*configuration);
        } else if (const auto* const unreadable = std::get_if<unreadable_row>(&decoded); unreadable && !row.removed) {
            m_readability.onUnreadable(unreadable->version);
            logUnreadable(row, unreadable->reason);
        }
    }
    m_zonesListedOut = std::move(zones);
    updateZonesOut();
    if (m_readability.isReadable())
        postConfirmation(now(), sentAt, std::move(newest));
}

// An older copy of the store may lack a zone that was taken out since. It stays out until the operator had the time to
// write it again.
void store_followers::updateZonesOut()
{
    std::set<availability_zone_id> zones = m_zonesListedOut;
    if (now() < m_zoneHoldUntil)
        zones.insert(m_zonesOut.begin(), m_zonesOut.end());
    if (zones == m_zonesOut)
        return;
    m_zonesOut = zones;
    m_services.post(out_of_service_zones_changed { now(), std::move(zones) });
}

void store_followers::logUnreadable(const store_row& row, const std::string& reason)
{
    if (reason.empty() || row.removed)
        return;
    // A row may be rewritten many times; only its first unreadable value is logged.
    if (m_unreadable.insert(row.key).second)
        m_services.log("row_unreadable", { { "row", row.key }, { "reason", reason } });
}

std::optional<endpoint_record> store_followers::recordOf(const store_row& row)
{
    const registry_row decoded = m_platform.readRegistryRow(row);
    if (const auto* const record = std::get_if<endpoint_record>(&decoded))
        return *record;
    logUnreadable(row, std::get<unreadable_row>(decoded).reason);
    return std::nullopt;
}

void store_followers::onRegistryWhole(const std::vector<store_row>& rows)
{
    std::vector<endpoint_record> records;
    for (const store_row& row : rows) {
        if (auto record = recordOf(row))
            records.push_back(std::move(*record));
    }
    m_services.post(registry_read { now(), std::move(records) });
}

void store_followers::onRegistryChanges(const std::vector<store_row>& rows)
{
    for (const store_row& row : rows) {
        if (row.removed) {
            m_services.post(endpoint_unlisted { now(), endpoint_id(row.key) });
            continue;
        }
        // An unreadable row removes the endpoint that it described before.
        if (auto record = recordOf(row))
            m_services.post(endpoint_listed { now(), std::move(*record) });
        else
            m_services.post(endpoint_unlisted { now(), endpoint_id(row.key) });
    }
}

void store_followers::onCrashRows(const std::vector<store_row>& rows, bool isWhole)
{
    crash_table_read read { now(), isWhole, {}, {} };
    for (const store_row& row : rows) {
        const auto key = suspectOfRowKey(row.key);
        auto record = row.removed ? std::nullopt : decodeCrashRow(row.value);
        if (row.removed && key)
            read.removed.push_back(*key);
        else if (record)
            read.records.push_back(std::move(*record));
        else
            logUnreadable(row, "no crash record of this version");
    }
    if (isWhole || !rows.empty())
        m_services.post(read);
}

} // namespace appleramp
