#include "storefeed/store_watch.h"

#include <algorithm>
#include <utility>

namespace appleramp {

namespace {

// Without a decision for this long the process stood still, and what it did not hear proves nothing.
constexpr duration standstillGap = std::chrono::milliseconds(200);
// Clocks and datagrams differ by less than this.
constexpr duration evidenceMargin = std::chrono::milliseconds(100);
// An entry with an answer of its own this young contradicts a notice that the store is lost.
constexpr duration ownEvidenceLifetime = std::chrono::milliseconds(1400);
// A connection that fails within this time was refused or reset.
constexpr duration quickFailure = std::chrono::milliseconds(500);
// All entries see broken connections at once. Those that do not read for the zone give the reader this long to probe.
constexpr duration readerNoticeTime = std::chrono::milliseconds(400);
constexpr duration noticeInterval = std::chrono::milliseconds(150);
constexpr unsigned servedNotices = 3;
// Entries that become known so long after the store's return are told of it.
constexpr duration returnNoticeTime = std::chrono::seconds(1);
// Probes are sent up to this fraction of the interval earlier, so that zones do not probe in step.
constexpr double intervalSpread = 0.2;
// A store that answers this many times later than usual counts as slow, not as lost.
constexpr int slownessFactor = 2;
constexpr duration maxPatience = std::chrono::milliseconds(1500);
// For an entry that never saw the store answer.
constexpr duration neverServedAge = std::chrono::hours(1);

} // namespace

store_watch::store_watch(std::string self, store_watch_settings settings, std::uint64_t seed)
    : m_self(std::move(self))
    , m_settings(settings)
    , m_random(static_cast<std::minstd_rand::result_type>(seed))
{
}

void store_watch::onAnswered(instant now, duration lateness)
{
    m_answerDelay = std::max({ lateness, m_answerDelay / 2, duration::zero() });
    // The latest evidence, not an age of contents: other entries hear of the time at which the store composed an answer, which is later
    // than when a long poll was sent.
    m_servedAt = now;
    m_answeredAt = now;
    m_suspectedSince.reset();
    if (m_isLost) {
        ++m_turn;
        regain(now, m_self);
        m_servedNotices = servedNotices;
        m_nextNoticeAt = now;
    }
    m_failures = 0;
    m_symptom = store_symptom::None;
}

void store_watch::onFailed(instant now, instant sentAt, store_failure failure)
{
    ++m_failures;
    if (failure != store_failure::NoResponse)
        m_symptom = store_symptom::Refused;
    else
        m_symptom = now - sentAt < quickFailure ? store_symptom::Broken : store_symptom::Silent;
    if (!m_isLost && !m_suspectedSince) {
        m_suspectedSince = now;
        m_nextProbeAt = now;
    }
}

void store_watch::onHeardServed(instant servedAt) { m_servedAt = std::max(m_servedAt.value_or(servedAt), servedAt); }

void store_watch::onNotice(instant now, const store_notice& notice)
{
    if (notice.turn < m_turn) {
        // An entry that stood still does not know how things are now.
        if (!notice.isServed && !m_isLost && hasNewerEvidence(now, notice) && hasOwnEvidence(now))
            m_servedNotices = std::max(m_servedNotices, 1U);
        return;
    }
    if (notice.isServed) {
        m_turn = notice.turn;
        m_servedEntry = notice.sender;
        onHeardServed(now - notice.servedAge);
        m_suspectedSince.reset();
        if (m_isLost)
            regain(now, notice.sender);
        return;
    }
    if (!m_isLost) {
        if (hasNewerEvidence(now, notice)) {
            if (hasOwnEvidence(now)) {
                m_turn = notice.turn + 1;
                m_servedEntry = m_self;
                m_servedNotices = servedNotices;
                m_nextNoticeAt = now;
            }
            return;
        }
        lose(now, { false, notice.sender, notice.symptom, notice.failures, notice.servedAge });
    } else if (notice.turn == m_turn && m_prober == m_self && m_self < notice.prober)
        return;
    m_symptom = notice.symptom;
    const bool isNewTurn = notice.turn != m_turn || m_prober != notice.prober;
    m_turn = notice.turn;
    m_prober = notice.prober;
    m_proberHeardAt = now;
    if (m_prober == m_self && isNewTurn) {
        m_probesInTurn = 0;
        m_nextProbeAt = now;
    }
}

void store_watch::onEntriesKnown(instant now)
{
    if (m_isLost || !m_regainedAt || now - *m_regainedAt > returnNoticeTime)
        return;
    m_servedNotices = servedNotices;
    m_nextNoticeAt = now;
}

bool store_watch::hasNewerEvidence(instant now, const store_notice& notice) const
{
    return m_servedAt && servedAge(now) + evidenceMargin < notice.servedAge;
}

bool store_watch::hasOwnEvidence(instant now) const { return m_answeredAt && now - *m_answeredAt < ownEvidenceLifetime; }

store_watch_decision store_watch::decide(instant now, std::span<const std::string> others, bool isReader)
{
    noteStandstill(now);
    store_watch_decision decision;
    if (m_isLost)
        decideWhileLost(now, others, decision);
    else
        decideWhileServed(now, others.size() + 1, isReader, decision);
    decision.change = std::exchange(m_change, std::nullopt);
    return decision;
}

void store_watch::noteStandstill(instant now)
{
    if (m_decidedAt && now - *m_decidedAt >= standstillGap) {
        m_proberHeardAt = now;
        m_suspectedSince.reset();
        m_answerDue.reset();
    }
    m_decidedAt = now;
}

void store_watch::decideWhileServed(instant now, std::size_t entries, bool isReader, store_watch_decision& decision)
{
    const duration lateness = std::max(m_settings.lateness, m_answerDelay * slownessFactor);
    if (!m_suspectedSince && m_answerDue && now > *m_answerDue + lateness) {
        m_suspectedSince = now;
        m_nextProbeAt = now;
        m_symptom = store_symptom::Silent;
    }
    if (m_suspectedSince && m_servedAt && *m_servedAt > *m_suspectedSince)
        m_suspectedSince.reset();
    if (m_suspectedSince) {
        const duration patience = std::clamp(m_answerDelay * slownessFactor, m_settings.patience, maxPatience);
        const bool isOverdue = now - *m_suspectedSince >= patience;
        if (isOverdue && (isReader || servedAge(now) >= m_settings.othersPatience)) {
            lose(now, { false, m_self, m_symptom, m_failures, servedAge(now) });
            ++m_turn;
            m_prober = m_self;
            m_probesInTurn = 0;
            // A probe was sent when the suspicion began.
            if (m_symptom == store_symptom::Silent)
                m_nextProbeAt = std::max(m_nextProbeAt, now - patience + probeInterval(entries));
            decision.notice = notice(now, false);
            m_nextNoticeAt = now + noticeInterval;
            return;
        }
        const bool isReadersTurn = !isReader && now - *m_suspectedSince < readerNoticeTime;
        if (now >= m_nextProbeAt && !isReadersTurn) {
            decision.probe = true;
            m_nextProbeAt = now + (isOverdue || m_symptom == store_symptom::Silent ? patience : m_settings.probeInterval);
        }
    }
    if (m_servedNotices > 0 && now >= m_nextNoticeAt) {
        --m_servedNotices;
        m_nextNoticeAt = now + noticeInterval;
        decision.notice = notice(now, true);
    }
}

void store_watch::decideWhileLost(instant now, std::span<const std::string> others, store_watch_decision& decision)
{
    if (m_prober == m_self) {
        if (now >= m_nextProbeAt && m_probesInTurn >= m_settings.probesPerTurn && !others.empty()) {
            ++m_turn;
            m_prober = entryAfterSelf(others);
            m_proberHeardAt = now;
            decision.notice = notice(now, false);
        } else if (now >= m_nextProbeAt)
            probe(now, others.size() + 1, decision);
        else if (now >= m_nextNoticeAt)
            decision.notice = notice(now, false);
    } else {
        const auto before = std::count_if(others.begin(), others.end(), [this](const std::string& name) { return name < m_self && name != m_prober; });
        if (now - m_proberHeardAt >= m_settings.proberSilence + m_settings.takeoverStep * before) {
            ++m_turn;
            m_prober = m_self;
            m_probesInTurn = 0;
            probe(now, others.size() + 1, decision);
        }
    }
    if (decision.notice)
        m_nextNoticeAt = now + noticeInterval;
}

void store_watch::probe(instant now, std::size_t entries, store_watch_decision& decision)
{
    decision.probe = true;
    ++m_probesInTurn;
    m_nextProbeAt = now + probeInterval(entries);
    decision.notice = notice(now, false);
}

duration store_watch::probeInterval(std::size_t entries)
{
    duration longest = entries > 1 ? m_settings.probeInterval : m_settings.loneProbeInterval;
    const auto count = static_cast<duration::rep>(entries);
    if (m_symptom == store_symptom::Silent)
        longest = std::max(longest, m_servedAt ? m_settings.silentProbeInterval * 2 / (count * 2 - 1) : m_settings.startingProbeInterval / count);
    const double earlier = std::uniform_real_distribution<double>(0, intervalSpread)(m_random);
    return longest - duration(static_cast<duration::rep>(static_cast<double>(longest.count()) * earlier));
}

std::string store_watch::entryAfterSelf(std::span<const std::string> others) const
{
    const auto next = std::upper_bound(others.begin(), others.end(), m_self);
    return next == others.end() ? others.front() : *next;
}

void store_watch::lose(instant now, const store_access_change& change)
{
    m_isLost = true;
    m_suspectedSince.reset();
    m_servedNotices = 0;
    m_proberHeardAt = now;
    m_change = change;
}

void store_watch::regain(instant now, const std::string& seenBy)
{
    m_isLost = false;
    m_servedEntry = seenBy;
    m_regainedAt = now;
    m_change = store_access_change { true, seenBy, store_symptom::None, m_failures, servedAge(now) };
}

duration store_watch::servedAge(instant now) const { return m_servedAt ? now - *m_servedAt : neverServedAge; }

store_notice store_watch::notice(instant now, bool isServed) const
{
    return { m_self, isServed, m_turn, m_prober, servedAge(now), m_failures, isServed ? store_symptom::None : m_symptom };
}

} // namespace appleramp
