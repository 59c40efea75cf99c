#include "decisions/admission/slot_gate.h"

#include <algorithm>
#include <cassert>
#include <tuple>

namespace appleramp {

namespace {

// An entry that sends no demand for this many grant lifetimes gets no further grants.
constexpr int maxSilentLifetimes = 2;
// How often a grant is renewed during its lifetime.
constexpr int renewalsPerLifetime = 4;
// Time for an entry to start a request in a slot that it was just granted, before the slot can go to another.
constexpr duration newSlotProtection = std::chrono::milliseconds(50);
// Interval between reviews of the grants when nothing has changed, because grants expire.
constexpr duration reviewInterval = std::chrono::milliseconds(50);

} // namespace

slot_gate::slot_gate(slot_gate_limits limits)
    : m_limits(limits)
    , m_capacity(limits.coldSlots)
{
    assert(limits.coldSlots > 0 && limits.coldSlots <= limits.warmSlots);
}

void slot_gate::addEntry(link_number link, instant now)
{
    m_entries[link].lastDemandAt = now;
    m_changedSinceReview = true;
}

void slot_gate::removeEntry(link_number link)
{
    m_entries.erase(link);
    m_changedSinceReview = true;
}

void slot_gate::updateDemand(link_number link, const slot_demand& demand, instant now)
{
    const auto found = m_entries.find(link);
    if (found == m_entries.end())
        return;
    auto& entry = found->second;
    const auto acknowledged = std::erase_if(
        entry.superseded, [&demand](const auto& old) { return old.sequence < demand.grantSequence; });
    const bool demandChanged = demand.waiting != entry.demand.waiting || demand.spare != entry.demand.spare;
    m_changedSinceReview = m_changedSinceReview || demandChanged || acknowledged > 0 || isSilent(entry, now);
    entry.demand = demand;
    entry.lastDemandAt = now;
}

void slot_gate::updateEndpointReport(const engine_probed& report)
{
    setFlag(m_healthy, report.healthy);
    if (!report.healthy)
        return;
    if (report.bootId != m_bootId) {
        resetToCold();
        m_firstTokenMonitor.clear();
    }
    m_bootId = report.bootId;
    if (report.capacity > 0 && report.capacity < m_capacity)
        resetToCold();
    // This agent starts no attempt before the first report, nor before the requests found there have ended. So the running
    // count is entirely inherited until it reaches zero for the first time.
    const auto inherited = m_hasReport && m_inheritedRequests == 0 ? 0 : report.running;
    m_changedSinceReview = m_changedSinceReview || m_reportedCapacity != report.capacity || m_inheritedRequests != inherited || !m_hasReport;
    m_inheritedRequests = inherited;
    m_hasReport = true;
    m_reportedCapacity = report.capacity;
}

void slot_gate::setClosed(bool closed)
{
    if (m_closed && !closed)
        resetToCold();
    setFlag(m_closed, closed);
}

bool slot_gate::admits(link_number link, instant now) const
{
    if (m_exclusive || running() >= openSlots())
        return false;
    const auto found = m_entries.find(link);
    if (found == m_entries.end())
        return false;
    const auto& entry = found->second;
    return entry.running < slotsHeldBy(entry, now) || heldSlots(now) < openSlots();
}

void slot_gate::callStarted(call_number call, link_number link, instant now)
{
    assert(running() < openSlots());
    m_running.emplace(call, running_call { link, now });
    const auto found = m_entries.find(link);
    if (found == m_entries.end())
        return;
    auto& entry = found->second;
    ++entry.running;
    // Counts as one of the waiting requests of the entry's last demand, until the entry sends a new one.
    if (entry.demand.waiting > 0)
        --entry.demand.waiting;
    m_changedSinceReview = true;
}

void slot_gate::firstTokenArrived(call_number call, instant now)
{
    const auto found = m_running.find(call);
    if (found == m_running.end() || found->second.firstTokenReceived)
        return;
    auto& running = found->second;
    running.firstTokenReceived = true;
    const auto waited = now - running.started;
    if (m_firstTokenMonitor.isLate(waited)) {
        if (!running.late)
            resetToCold();
        running.late = true;
        return;
    }
    m_firstTokenMonitor.add(waited);
}

void slot_gate::changeLink(call_number call, link_number link)
{
    const auto found = m_running.find(call);
    if (found == m_running.end() || found->second.link == link)
        return;
    const auto before = m_entries.find(found->second.link);
    if (before != m_entries.end())
        --before->second.running;
    found->second.link = link;
    const auto after = m_entries.find(link);
    if (after != m_entries.end())
        ++after->second.running;
    m_changedSinceReview = true;
}

void slot_gate::callCompleted(call_number call)
{
    const auto ended = removeCall(call);
    if (ended && !ended->late)
        countTimelyCompletion();
}

void slot_gate::callCancelled(call_number call) { removeCall(call); }

void slot_gate::callFailed(call_number call)
{
    removeCall(call);
    resetToCold();
}

void slot_gate::detectLateFirstTokens(instant now)
{
    for (auto& [call, running] : m_running) {
        if (running.firstTokenReceived || running.late || !m_firstTokenMonitor.isLate(now - running.started))
            continue;
        running.late = true;
        resetToCold();
    }
}

std::optional<slot_gate::running_call> slot_gate::removeCall(call_number call)
{
    const auto found = m_running.find(call);
    if (found == m_running.end())
        return std::nullopt;
    const auto ended = found->second;
    m_running.erase(found);
    m_changedSinceReview = true;
    const auto entry = m_entries.find(ended.link);
    if (entry != m_entries.end())
        --entry->second.running;
    return ended;
}

void slot_gate::countTimelyCompletion()
{
    ++m_completedSinceRaise;
    if (m_capacity >= m_limits.warmSlots || m_completedSinceRaise < completionsForNextRaise())
        return;
    m_capacity = std::min(m_capacity * 2, m_limits.warmSlots);
    m_completedSinceRaise = 0;
}

std::uint32_t slot_gate::completionsForNextRaise() const
{
    return m_capacity == m_limits.coldSlots ? std::max(m_limits.warmAfter, m_capacity) : m_capacity;
}

void slot_gate::resetToCold()
{
    m_capacity = m_limits.coldSlots;
    m_completedSinceRaise = 0;
    m_changedSinceReview = true;
}

void slot_gate::setFlag(bool& flag, bool value)
{
    m_changedSinceReview = m_changedSinceReview || flag != value;
    flag = value;
}

std::uint32_t slot_gate::openSlots() const
{
    if (m_closed || m_paused || !m_healthy || m_inheritedRequests > 0)
        return 0;
    return m_reportedCapacity > 0 ? std::min(m_capacity, m_reportedCapacity) : m_capacity;
}

std::uint32_t slot_gate::slotsHeldBy(const entry_state& entry, instant now) const
{
    auto slots = entry.running;
    if (now < entry.grantExpiresAt)
        slots = std::max(slots, entry.grantedSlots);
    for (const auto& old : entry.superseded) {
        if (now < old.expiresAt)
            slots = std::max(slots, old.slots);
    }
    return slots;
}

std::uint32_t slot_gate::heldSlots(instant now) const
{
    std::uint32_t sum = 0;
    std::uint32_t runningOfEntries = 0;
    for (const auto& [link, entry] : m_entries) {
        sum += slotsHeldBy(entry, now);
        runningOfEntries += entry.running;
    }
    // Calls of entries that have left still count until they end.
    return sum + running() - runningOfEntries;
}

std::vector<addressed_grant> slot_gate::updateGrants(instant now)
{
    if (!beginReviewIfDue(now))
        return {};
    const auto previousSequence = m_sequence;
    dropExpiredGrants(now);
    setTargets(now);
    shrinkGrants(now);
    growGrants(now);
    std::vector<addressed_grant> changed;
    for (auto& [link, entry] : m_entries) {
        const bool renewalDue = entry.grantedSlots > 0 && now >= entry.renewAt && !isSilent(entry, now);
        if (renewalDue && entry.sequence <= previousSequence)
            replaceGrant(entry, entry.grantedSlots, now);
        if (entry.sequence > previousSequence)
            changed.push_back({ link, { entry.sequence, entry.grantedSlots, m_limits.grantLifetime, isCold(), {} } });
    }
    return changed;
}

bool slot_gate::beginReviewIfDue(instant now)
{
    if (!m_changedSinceReview && now < m_nextReview)
        return false;
    m_changedSinceReview = false;
    m_nextReview = now + reviewInterval;
    return true;
}

void slot_gate::dropExpiredGrants(instant now)
{
    for (auto& [link, entry] : m_entries) {
        std::erase_if(entry.superseded, [now](const auto& old) { return old.expiresAt <= now; });
        if (entry.grantExpiresAt <= now)
            entry.grantedSlots = 0;
    }
}

void slot_gate::setTargets(instant now)
{
    for (auto& [link, entry] : m_entries)
        entry.targetSlots = entry.running;
    auto freeSlots = grantableSlots() - std::min(grantableSlots(), running());
    distributeSlots(freeSlots, &slot_demand::waiting, now);
    distributeSlots(freeSlots, &slot_demand::spare, now);
}

void slot_gate::distributeSlots(std::uint32_t& freeSlots, std::uint32_t slot_demand::*demandKind, instant now)
{
    std::map<link_number, std::uint32_t> unmetDemand;
    for (const auto& [link, entry] : m_entries) {
        if (entry.demand.*demandKind > 0 && !isSilent(entry, now))
            unmetDemand[link] = entry.demand.*demandKind;
    }
    for (; freeSlots > 0 && !unmetDemand.empty(); --freeSlots) {
        const auto next = std::min_element(unmetDemand.begin(), unmetDemand.end(), [&](const auto& one, const auto& other) {
            return hasPrecedence(m_entries.at(one.first), m_entries.at(other.first), now);
        });
        ++m_entries.at(next->first).targetSlots;
        if (--next->second == 0)
            unmetDemand.erase(next);
    }
}

bool slot_gate::hasPrecedence(const entry_state& one, const entry_state& other, instant now) const
{
    const auto rank = [now](const entry_state& entry) {
        const bool isProtected = entry.grantedSlots > entry.targetSlots && now < entry.protectedUntil;
        return std::tuple(entry.targetSlots, !isProtected, entry.lastIncrease);
    };
    return rank(one) < rank(other);
}

bool slot_gate::isSilent(const entry_state& entry, instant now) const
{
    return entry.lastDemandAt + m_limits.grantLifetime * maxSilentLifetimes < now;
}

void slot_gate::replaceGrant(entry_state& entry, std::uint32_t slots, instant now)
{
    if (slots < entry.grantedSlots)
        entry.superseded.push_back({ entry.sequence, entry.grantedSlots, entry.grantExpiresAt });
    entry.sequence = ++m_sequence;
    entry.grantedSlots = slots;
    // The entry counts the lifetime from receipt, so a margin covers the network delay.
    entry.grantExpiresAt = now + m_limits.grantLifetime + m_limits.grantLifetime / renewalsPerLifetime;
    entry.renewAt = now + m_limits.grantLifetime / renewalsPerLifetime;
}

void slot_gate::shrinkGrants(instant now)
{
    for (auto& [link, entry] : m_entries) {
        if (entry.targetSlots < entry.grantedSlots)
            replaceGrant(entry, entry.targetSlots, now);
    }
}

void slot_gate::growGrants(instant now)
{
    std::vector<entry_state*> growing;
    for (auto& [link, entry] : m_entries) {
        if (entry.targetSlots > entry.grantedSlots)
            growing.push_back(&entry);
    }
    std::sort(growing.begin(), growing.end(),
        [](const auto* one, const auto* other) { return one->lastIncrease < other->lastIncrease; });
    const auto heldTotal = heldSlots(now);
    auto freeSlots = grantableSlots() - std::min(grantableSlots(), heldTotal);
    for (auto* entry : growing) {
        const auto heldBefore = slotsHeldBy(*entry, now);
        const auto slots = std::min(entry->targetSlots, heldBefore + freeSlots);
        if (slots <= entry->grantedSlots)
            continue;
        replaceGrant(*entry, slots, now);
        entry->lastIncrease = ++m_increaseCount;
        entry->protectedUntil = now + newSlotProtection;
        freeSlots -= slots - std::min(slots, heldBefore);
    }
}

} // namespace appleramp
