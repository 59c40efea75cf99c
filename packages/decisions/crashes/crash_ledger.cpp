#include "decisions/crashes/crash_ledger.h"

#include <algorithm>
#include <functional>
#include <utility>

namespace appleramp {

namespace {

constexpr std::size_t soundKeysKept = 4096;
// Deaths that convict a suspect.
constexpr std::size_t deathsToConvictRequest = 2;
// A part is shared by many requests, so that its wrong conviction does more harm.
constexpr std::size_t deathsToConvictPart = 3;
// Further deaths that convict what was sound just before.
constexpr std::size_t deathsMoreForSoundRequest = 1;
constexpr std::size_t deathsMoreForSoundPart = 2;
// From as many deaths on a suspect is not tried again.
constexpr std::size_t finalDeathsOfRequest = 3;
constexpr std::size_t finalDeathsOfPart = 5;

// The earlier one, if both are known.
std::optional<instant> earlier(std::optional<instant> left, std::optional<instant> right)
{
    return left && right ? std::min(left, right) : std::max(left, right);
}

std::optional<duration> ageOf(instant now, std::optional<instant> when) { return when ? std::optional(now - *when) : std::nullopt; }

std::optional<instant> timeOf(instant now, std::optional<duration> age) { return age ? std::optional(now - *age) : std::nullopt; }

} // namespace

crash_ledger::crash_ledger()
    : m_sound(soundKeysKept)
{
}

crash_ledger::suspect& crash_ledger::find(instant now, const suspect_key& key)
{
    const auto found = m_suspects.find(key);
    if (found != m_suspects.end())
        return found->second;
    evictIfFull();
    suspect& added = m_suspects[key];
    added.seenAt = now;
    added.soundAt = m_sound.lastRecordedAt(key);
    return added;
}

void crash_ledger::accuse(instant now, const suspect_key& key, const accusation& accusation)
{
    suspect& accused = find(now, key);
    accused.position = std::max(accused.position, accusation.position);
    if (!addDeath(accused, { accusation.endpoint, accusation.sentAt, accusation.diedAt }))
        return;
    accused.seenAt = std::max(accused.seenAt, accusation.diedAt);
    m_changed.insert(key);
    clearEarlierDeaths(accused);
    convictProved(now, { &key, 1 }, true);
}

bool crash_ledger::addDeath(suspect& suspect, const death& added)
{
    const auto isSame = [&](const death& known) { return known.endpoint == added.endpoint; };
    if (std::any_of(suspect.deaths.begin(), suspect.deaths.end(), isSame) || suspect.deaths.size() == maxDeathsKept)
        return false;
    const auto isLater = [&](const death& known) { return known.diedAt > added.diedAt; };
    suspect.deaths.insert(std::find_if(suspect.deaths.begin(), suspect.deaths.end(), isLater), added);
    return true;
}

void crash_ledger::clearEarlierDeaths(suspect& suspect)
{
    if (suspect.soundAt)
        std::erase_if(suspect.deaths, [&](const death& known) { return known.diedAt < *suspect.soundAt; });
    if (suspect.deaths.empty())
        suspect.convictedAt.reset();
}

bool crash_ledger::isExplained(const suspect_key& key, std::uint64_t endpoint) const
{
    if (key.kind != suspect_kind::PromptPart)
        return false;
    return std::any_of(m_suspects.begin(), m_suspects.end(), [&](const auto& entry) {
        const auto& [otherKey, other] = entry;
        const auto isSame = [&](const death& known) { return known.endpoint == endpoint; };
        return otherKey.kind == suspect_kind::PromptPart && otherKey != key && other.convictedAt
            && std::any_of(other.deaths.begin(), other.deaths.end(), isSame);
    });
}

std::size_t crash_ledger::countedDeaths(const suspect_key& key, const suspect& suspect) const
{
    std::size_t counted = 0;
    std::size_t ofBurst = 0;
    instant burstBegan;
    for (const death& known : suspect.deaths) {
        if (isExplained(key, known.endpoint))
            continue;
        if (ofBurst == 0 || known.sentAt > burstBegan) {
            burstBegan = known.diedAt;
            ofBurst = 0;
        }
        counted += ++ofBurst <= maxDeathsOfBurst ? 1 : 0;
    }
    return counted;
}

std::size_t crash_ledger::deathsToConvict(const suspect_key& key, const suspect& suspect)
{
    const bool wasSound = suspect.soundAt && !suspect.deaths.empty() && suspect.deaths.front().diedAt - *suspect.soundAt < soundMemory;
    if (key.kind == suspect_kind::Request)
        return deathsToConvictRequest + (wasSound ? deathsMoreForSoundRequest : 0);
    return deathsToConvictPart + (wasSound ? deathsMoreForSoundPart : 0);
}

bool crash_ledger::isProved(const suspect_key& key, const suspect& suspect) const
{
    return countedDeaths(key, suspect) >= deathsToConvict(key, suspect);
}

void crash_ledger::convictProved(instant now, std::span<const suspect_key> keys, bool isOwn)
{
    std::vector<std::pair<std::uint32_t, suspect_key>> byPosition;
    for (const suspect_key& key : keys)
        byPosition.emplace_back(m_suspects[key].position, key);
    std::sort(byPosition.begin(), byPosition.end(), std::greater<>());
    for (const auto& [position, key] : byPosition) {
        suspect& candidate = m_suspects[key];
        if (candidate.convictedAt || !isProved(key, candidate))
            continue;
        candidate.convictedAt = now;
        m_newConvictions.push_back({ key, isOwn });
    }
}

bool crash_ledger::recordSound(instant now, const suspect_key& key)
{
    m_sound.record(now, key);
    const auto found = m_suspects.find(key);
    if (found == m_suspects.end())
        return false;
    const bool wasAccused = !found->second.deaths.empty();
    if (found->second.convictedAt)
        m_changed.insert(key);
    found->second.soundAt = now;
    clearEarlierDeaths(found->second);
    return wasAccused;
}

bool crash_ledger::recordRefusal(instant now, const suspect_key& key)
{
    const auto found = m_suspects.find(key);
    if (found == m_suspects.end())
        return false;
    found->second.seenAt = now;
    const std::size_t deaths = found->second.deaths.size();
    return std::exchange(found->second.deathsAtRefusal, deaths) != deaths;
}

suspect_verdict crash_ledger::verdict(instant now, const suspect_key& key) const
{
    const auto found = m_suspects.find(key);
    if (found == m_suspects.end() || now >= expiryOf(found->second))
        return suspect_verdict::Unsuspected;
    if (found->second.convictedAt)
        return suspect_verdict::Convicted;
    const bool isNearlyProved = countedDeaths(key, found->second) + 1 >= deathsToConvict(key, found->second);
    return isNearlyProved ? suspect_verdict::Suspected : suspect_verdict::Unsuspected;
}

std::optional<instant> crash_ledger::nextTrial(const suspect_key& key) const
{
    const std::size_t finalDeaths = key.kind == suspect_kind::Request ? finalDeathsOfRequest : finalDeathsOfPart;
    const auto found = m_suspects.find(key);
    if (found == m_suspects.end() || found->second.deaths.empty() || found->second.deaths.size() >= finalDeaths)
        return std::nullopt;
    const instant suspectedAt = found->second.convictedAt.value_or(found->second.deaths.back().diedAt);
    return std::max(suspectedAt, found->second.triedAt.value_or(instant {})) + trialInterval;
}

bool crash_ledger::startTrial(instant now, const suspect_key& key)
{
    const auto next = nextTrial(key);
    if (!next || now < *next)
        return false;
    m_suspects.at(key).triedAt = now;
    m_changed.insert(key);
    return true;
}

void crash_ledger::merge(instant now, std::span<const crash_record> records, duration longestDelay)
{
    std::vector<suspect_key> merged;
    for (const crash_record& received : records) {
        mergeRecord(now, received, longestDelay);
        merged.push_back(received.key);
    }
    // A record that made room for a later one is gone.
    std::erase_if(merged, [this](const suspect_key& key) { return !m_suspects.contains(key); });
    convictProved(now, merged, false);
}

std::optional<duration> crash_ledger::shownDelay(instant now, const suspect& known, const crash_record& received)
{
    std::optional<duration> delay;
    for (const suspected_death& death : received.deaths) {
        const auto same = std::find_if(known.deaths.begin(), known.deaths.end(), [&](const auto& each) { return each.endpoint == death.endpoint; });
        if (same != known.deaths.end())
            delay = std::max(delay.value_or(duration::zero()), now - death.age - same->diedAt);
    }
    return delay;
}

void crash_ledger::mergeRecord(instant now, const crash_record& received, duration longestDelay)
{
    suspect& known = find(now, received.key);
    const bool wasConvicted = known.convictedAt.has_value();
    const bool hasKnownDelay = longestDelay != unknownDelay;
    const auto shown = shownDelay(now, known, received);
    // Entries see one death at somewhat different times, so that it shows no more than the delay that is possible.
    const duration delay = std::min(shown.value_or(hasKnownDelay ? longestDelay : duration::zero()), longestDelay);
    // The deaths of a record are later than its answer: with an unknown delay, that could wrongly refute only those known before.
    const bool isAnswerDated = hasKnownDelay || shown || known.deaths.empty();
    for (const suspected_death& death : received.deaths) {
        const instant diedAt = now - death.age - (shown ? delay : duration::zero());
        addDeath(known, { death.endpoint, diedAt - death.ranFor, diedAt });
    }
    if (isAnswerDated)
        known.soundAt = std::max(known.soundAt, timeOf(now - delay, received.soundAge));
    known.triedAt = std::max(known.triedAt, timeOf(now, received.trialAge));
    known.convictedAt = earlier(known.convictedAt, timeOf(now, received.convictedAge));
    known.seenAt = std::max(known.seenAt, now - received.seenAge);
    known.position = std::max(known.position, received.position);
    clearEarlierDeaths(known);
    if (!wasConvicted && known.convictedAt)
        m_newConvictions.push_back({ received.key, false });
}

std::vector<crash_record> crash_ledger::takeChanged(instant now)
{
    std::vector<crash_record> changed;
    for (const suspect_key& key : std::exchange(m_changed, {})) {
        if (auto found = record(now, key))
            changed.push_back(std::move(*found));
    }
    return changed;
}

std::vector<suspect_conviction> crash_ledger::takeNewConvictions() { return std::exchange(m_newConvictions, {}); }

crash_record crash_ledger::recordOf(instant now, const suspect_key& key, const suspect& suspect)
{
    crash_record result { .key = key,
        .soundAge = ageOf(now, suspect.soundAt),
        .convictedAge = ageOf(now, suspect.convictedAt),
        .trialAge = ageOf(now, suspect.triedAt),
        .seenAge = now - suspect.seenAt,
        .position = suspect.position };
    for (const death& known : suspect.deaths)
        result.deaths.push_back({ known.endpoint, now - known.diedAt, known.diedAt - known.sentAt });
    return result;
}

std::optional<crash_record> crash_ledger::record(instant now, const suspect_key& key) const
{
    const auto found = m_suspects.find(key);
    return found == m_suspects.end() ? std::nullopt : std::optional(recordOf(now, key, found->second));
}

std::vector<crash_record> crash_ledger::records(instant now) const
{
    std::vector<crash_record> result;
    result.reserve(m_suspects.size());
    for (const auto& [key, suspect] : m_suspects)
        result.push_back(recordOf(now, key, suspect));
    std::stable_sort(result.begin(), result.end(), [](const crash_record& left, const crash_record& right) {
        return std::pair(!left.convictedAge, left.seenAge) < std::pair(!right.convictedAge, right.seenAge);
    });
    return result;
}

std::vector<suspect_key> crash_ledger::convicted() const
{
    std::vector<suspect_key> result;
    for (const auto& [key, suspect] : m_suspects) {
        if (suspect.convictedAt)
            result.push_back(key);
    }
    return result;
}

instant crash_ledger::expiryOf(const suspect& suspect)
{
    return suspect.seenAt + (suspect.convictedAt ? convictionRetention : suspicionRetention);
}

std::vector<suspect_key> crash_ledger::removeExpired(instant now)
{
    std::vector<suspect_key> expired;
    std::erase_if(m_suspects, [&](const auto& entry) {
        const bool isExpired = now >= expiryOf(entry.second);
        if (isExpired)
            expired.push_back(entry.first);
        return isExpired;
    });
    return expired;
}

// Convictions go last: a caller that makes many suspects must not make the entries forget a proved one.
void crash_ledger::evictIfFull()
{
    if (m_suspects.size() < maxSuspects)
        return;
    const auto oldest = std::min_element(m_suspects.begin(), m_suspects.end(), [](const auto& left, const auto& right) {
        return std::pair(left.second.convictedAt.has_value(), left.second.seenAt) < std::pair(right.second.convictedAt.has_value(), right.second.seenAt);
    });
    m_suspects.erase(oldest);
}

} // namespace appleramp
