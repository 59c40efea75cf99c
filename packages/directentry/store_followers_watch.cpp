#include "directentry/store_followers.h"

#include <algorithm>

// What an entry does with [store] fast_return: one entry of each zone probes a lost store, and tells the others.

namespace appleramp {

namespace {

constexpr std::size_t configurationPlace = 0;
constexpr std::size_t registryPlace = 1;
// Confirmations are sent unasked for this long after the store's return.
constexpr duration pushTime = std::chrono::seconds(1);
// The zone's reader reads all tables at once; the others read what it did not confirm at a random time between these.
constexpr duration minSettleTime = std::chrono::milliseconds(300);
constexpr duration settleSpread = std::chrono::milliseconds(900);
// Interval of questions to entries of other zones while the store is lost here.
constexpr duration otherZonesInterval = std::chrono::milliseconds(200);
// Spreads generations over the digests, whose differences are unrelated to it.
constexpr std::uint64_t generationFactor = 0x9E37'79B9'7F4A'7C15ULL;
constexpr int pollsPerWait = 2;
constexpr int minWaitDivisor = 4;

} // namespace

// A store that came back from an older copy may give a version to other contents than before, so that contents of different
// generations must not have equal digests.
std::uint64_t store_followers::digestOf(const table_follower& follower) const
{
    return isFast() ? follower.digest() + follower.rowsGeneration() * generationFactor : follower.digest();
}

std::optional<duration> store_followers::nextReadWait(std::size_t place, duration longestWait) const
{
    if (m_watch.isLost())
        return std::nullopt;
    const auto follower = followers().at(place);
    const bool isStarting = !follower || !follower->currentAsOf();
    if (isStarting)
        return longestWait;
    const bool isReader = isDesignatedReader(now());
    if (const auto regainedAt = m_watch.regainedAt()) {
        if (!isReader && now() < *regainedAt + m_settleTimes.at(place))
            return std::nullopt;
        // A long poll would confirm the contents only when it ends.
        if (*follower->currentAsOf() < *regainedAt && (isReader || place == configurationPlace))
            return duration::zero();
    }
    return isReader && (place == configurationPlace || place == registryPlace) ? staggeredWait(place) : longestWait;
}

// Half of the wait apart, the two tables that the reader polls show twice as often that the store answers.
duration store_followers::staggeredWait(std::size_t place) const
{
    const duration longest = m_settings.store.poll;
    const auto& other = place == configurationPlace ? m_registry : m_configuration;
    const auto due = other ? other->answerDue() : std::nullopt;
    const duration untilOther = due ? *due - now() : duration::zero();
    if (untilOther <= duration::zero() || untilOther > longest)
        return longest;
    const duration half = longest / pollsPerWait;
    return untilOther <= half ? untilOther + half : std::max(untilOther - half, longest / minWaitDivisor);
}

void store_followers::onNotice(instant moment, const store_notice& notice)
{
    if (!isFast() || notice.sender == m_settings.process.instance.str())
        return;
    // Its sender is alive, also if its presence was lost.
    m_relay.onPeerHeard(moment, notice.sender);
    m_watch.onNotice(moment, notice);
    if (!m_watch.servedEntry().empty())
        m_relay.setPreferredReader(m_watch.servedEntry());
    watchStore(moment);
}

// Two entries that take each other for the zone's reader would both wait for the other: the one that its reader asks reads itself.
void store_followers::onQuestion(instant moment, const std::string& from, const freshness_question& question)
{
    m_questions.onQuestion(moment, from, question);
    const auto reader = m_relay.designatedReader(moment);
    const member_row* const member = reader ? m_services.member(*reader) : nullptr;
    if (member != nullptr && member->datagramAddress == from)
        m_relay.setPreferredReader(m_settings.process.instance.str());
}

void store_followers::watchStore(instant moment)
{
    m_watch.expectAnswer(m_store.answerDue());
    const std::vector<std::string> others = m_relay.heardPeers(moment);
    const store_watch_decision decision = m_watch.decide(moment, others, isDesignatedReader(moment));
    if (decision.change)
        onStoreAccess(moment, *decision.change);
    if (decision.probe)
        probe();
    if (decision.notice)
        m_services.notifyZone(*decision.notice);
    if (m_watch.isLost())
        askOtherZones(moment);
}

void store_followers::probe()
{
    m_isProbing = true;
    m_configuration->probe([this](instant, const store_result&) { watchStore(now()); });
    m_isProbing = false;
}

void store_followers::onStoreAccess(instant moment, const store_access_change& change)
{
    const auto milliseconds = [](duration time) { return std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(time).count()); };
    m_services.post(registry_access_changed { moment, change.reachable,
        { { "seen_by", change.seenBy }, { "symptom", std::string(nameOf(change.symptom)) }, { "failures", std::to_string(change.failures) },
            { "served_age_ms", milliseconds(change.servedAge) } } });
    if (!change.reachable)
        return m_services.onLossNoticed(change.servedAge);
    m_isReturnConfirmed = false;
    m_relay.setPreferredReader(change.seenBy);
    m_store.forgetOverdue();
    for (std::size_t place = 0; place < m_settleTimes.size(); ++place) {
        const auto spread = static_cast<duration::rep>(std::hash<std::string> {}(m_settings.process.instance.str() + std::to_string(place)) % static_cast<std::size_t>(settleSpread.count()));
        m_settleTimes.at(place) = place == configurationPlace ? duration::zero() : minSettleTime + duration(spread);
    }
    const bool isReader = isDesignatedReader(moment);
    for (const auto& follower : followers())
        isReader ? follower->readNow() : follower->giveUpOverdue();
    if (const member_row* const seenBy = isReader ? nullptr : m_services.member(change.seenBy))
        m_services.ask(freshness_question { moment }, *seenBy);
}

// A store that turns this zone away may serve another one.
void store_followers::askOtherZones(instant moment)
{
    if (!isDesignatedReader(moment) || moment - m_otherZonesAskedAt < otherZonesInterval)
        return;
    m_otherZonesAskedAt = moment;
    if (const member_row* const entry = m_services.entryOfOtherZone())
        m_services.ask(freshness_question { moment }, *entry);
}

void store_followers::postConfirmation(instant moment, instant currentAsOf, std::optional<routing_configuration> configuration)
{
    const auto regainedAt = m_watch.regainedAt();
    if (!m_isReturnConfirmed && regainedAt && currentAsOf >= *regainedAt - pushTime) {
        m_isReturnConfirmed = true;
        m_services.onReturnConfirmed(moment - *regainedAt);
    }
    m_services.post(configuration_read { moment, currentAsOf, std::move(configuration) });
}

// The configuration is confirmed to the zone as soon as it is read. The other tables may wait for the next question, except after the
// store's return.
void store_followers::pushConfirmations(std::size_t place)
{
    const auto regainedAt = m_watch.regainedAt();
    const bool isAfterReturn = regainedAt && now() - *regainedAt <= pushTime;
    if (!isFast() || (place != configurationPlace && !isAfterReturn))
        return;
    for (const auto& question : m_questions.recent(now())) {
        if (const auto answer = answerFor(question.askedAt, question.receivedAt))
            m_services.sendAnswer(*answer, question.from);
    }
}

} // namespace appleramp
