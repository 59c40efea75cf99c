#include "decisions/admission/slot_gate.h"

#include <algorithm>
#include <cassert>
#include <tuple>

namespace appleramp {

namespace {

// An entry that sends no demand for so many grant lifetimes gets no further grants.
constexpr int silentLifetimes = 2;
// Grants are renewed so many times in their lifetime.
constexpr int renewalsPerLifetime = 4;
// Within this time an entry uses a slot that it waited for.
constexpr duration useTime = std::chrono::milliseconds(50);
// Grants are looked at so often when nothing has happened: lifetimes may have passed.
constexpr duration reviewInterval = std::chrono::milliseconds(50);

} // namespace

slot_gate::slot_gate(slot_gate_limits limits)
    : m_limits(limits)
    , m_capacity(limits.coldSlots)
{
    assert(limits.coldSlots > 0 && limits.coldSlots <= limits.warmSlots);
}

void slot_gate::entryJoined(link_number link, instant now)
{
    m_entries[link].heard = now;
    m_changed = true;
}

void slot_gate::entryLeft(link_number link)
{
    m_entries.erase(link);
    m_changed = true;
}

void slot_gate::demanded(link_number link, const slot_demand& demand, instant now)
{
    const auto found = m_entries.find(link);
    if (found == m_entries.end())
        return;
    auto& share = found->second;
    const auto settled = std::erase_if(
        share.superseded, [&demand](const auto& old) { return old.sequence < demand.grantSequence; });
    const bool isNews = demand.waiting != share.demand.waiting || demand.spare != share.demand.spare;
    m_changed = m_changed || isNews || settled > 0 || isSilent(share, now);
    share.demand = demand;
    share.heard = now;
}

void slot_gate::probed(const engine_probed& report)
{
    set(m_healthy, report.healthy);
    if (!report.healthy)
        return;
    if (report.bootId != m_bootId) {
        turnCold();
        m_firstTokens.clear();
    }
    m_bootId = report.bootId;
    if (report.capacity > 0 && report.capacity < m_capacity)
        turnCold();
    // This agent's own work can't begin before its first report, and not before what it finds there has ended.
    const auto foreign = m_reportSeen && m_foreign == 0 ? 0 : report.running;
    m_changed = m_changed || m_reported != report.capacity || m_foreign != foreign || !m_reportSeen;
    m_foreign = foreign;
    m_reportSeen = true;
    m_reported = report.capacity;
}

void slot_gate::setClosed(bool closed)
{
    if (m_closed && !closed)
        turnCold();
    set(m_closed, closed);
}

bool slot_gate::admits(link_number link, instant now) const
{
    if (m_reserved || running() >= openSlots())
        return false;
    const auto found = m_entries.find(link);
    if (found == m_entries.end())
        return false;
    const auto& share = found->second;
    return share.running < held(share, now) || heldSlots(now) < openSlots();
}

void slot_gate::started(call_number call, link_number link, instant now)
{
    assert(running() < openSlots());
    m_running.emplace(call, running_call { link, now });
    const auto found = m_entries.find(link);
    if (found == m_entries.end())
        return;
    auto& share = found->second;
    ++share.running;
    // Until the entry says more, this was one of those that it said to wait.
    if (share.demand.waiting > 0)
        --share.demand.waiting;
    m_changed = true;
}

void slot_gate::firstToken(call_number call, instant now)
{
    const auto found = m_running.find(call);
    if (found == m_running.end() || found->second.answered)
        return;
    auto& running = found->second;
    running.answered = true;
    const auto waited = now - running.started;
    if (m_firstTokens.isLate(waited)) {
        if (!running.late)
            turnCold();
        running.late = true;
        return;
    }
    m_firstTokens.add(waited);
}

void slot_gate::moved(call_number call, link_number link)
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
    m_changed = true;
}

void slot_gate::completed(call_number call)
{
    const auto ended = remove(call);
    if (ended && !ended->late)
        countOnTime();
}

void slot_gate::cancelled(call_number call) { remove(call); }

void slot_gate::failed(call_number call)
{
    remove(call);
    turnCold();
}

void slot_gate::checkWaiting(instant now)
{
    for (auto& [call, running] : m_running) {
        if (running.answered || running.late || !m_firstTokens.isLate(now - running.started))
            continue;
        running.late = true;
        turnCold();
    }
}

std::optional<slot_gate::running_call> slot_gate::remove(call_number call)
{
    const auto found = m_running.find(call);
    if (found == m_running.end())
        return std::nullopt;
    const auto ended = found->second;
    m_running.erase(found);
    m_changed = true;
    const auto entry = m_entries.find(ended.link);
    if (entry != m_entries.end())
        --entry->second.running;
    return ended;
}

void slot_gate::countOnTime()
{
    ++m_completedSinceRaise;
    if (m_capacity >= m_limits.warmSlots || m_completedSinceRaise < completionsToRaise())
        return;
    m_capacity = std::min(m_capacity * 2, m_limits.warmSlots);
    m_completedSinceRaise = 0;
}

std::uint32_t slot_gate::completionsToRaise() const
{
    return m_capacity == m_limits.coldSlots ? std::max(m_limits.warmAfter, m_capacity) : m_capacity;
}

void slot_gate::turnCold()
{
    m_capacity = m_limits.coldSlots;
    m_completedSinceRaise = 0;
    m_changed = true;
}

void slot_gate::set(bool& flag, bool value)
{
    m_changed = m_changed || flag != value;
    flag = value;
}

std::uint32_t slot_gate::openSlots() const
{
    if (m_closed || m_heldBack || !m_healthy || m_foreign > 0)
        return 0;
    return m_reported > 0 ? std::min(m_capacity, m_reported) : m_capacity;
}

std::uint32_t slot_gate::held(const entry_share& share, instant now) const
{
    auto slots = share.running;
    if (now < share.ends)
        slots = std::max(slots, share.granted);
    for (const auto& old : share.superseded) {
        if (now < old.ends)
            slots = std::max(slots, old.slots);
    }
    return slots;
}

std::uint32_t slot_gate::heldSlots(instant now) const
{
    std::uint32_t sum = 0;
    std::uint32_t ofEntries = 0;
    for (const auto& [link, share] : m_entries) {
        sum += held(share, now);
        ofEntries += share.running;
    }
    // What runs for entries that have left counts until it ends.
    return sum + running() - ofEntries;
}

std::vector<addressed_grant> slot_gate::takeGrants(instant now)
{
    if (!mustReview(now))
        return {};
    const auto before = m_sequence;
    settle(now);
    setTargets(now);
    cutGrants(now);
    growGrants(now);
    std::vector<addressed_grant> changed;
    for (auto& [link, share] : m_entries) {
        const bool isDue = share.granted > 0 && now >= share.renewAt && !isSilent(share, now);
        if (isDue && share.sequence <= before)
            replaceGrant(share, share.granted, now);
        if (share.sequence > before)
            changed.push_back({ link, { share.sequence, share.granted, m_limits.grantLifetime, isCold(), {} } });
    }
    return changed;
}

bool slot_gate::mustReview(instant now)
{
    if (!m_changed && now < m_nextReview)
        return false;
    m_changed = false;
    m_nextReview = now + reviewInterval;
    return true;
}

void slot_gate::settle(instant now)
{
    for (auto& [link, share] : m_entries) {
        std::erase_if(share.superseded, [now](const auto& old) { return old.ends <= now; });
        if (share.ends <= now)
            share.granted = 0;
    }
}

void slot_gate::setTargets(instant now)
{
    for (auto& [link, share] : m_entries)
        share.target = share.running;
    auto left = grantable() - std::min(grantable(), running());
    fillTargets(left, &slot_demand::waiting, now);
    fillTargets(left, &slot_demand::spare, now);
}

void slot_gate::fillTargets(std::uint32_t& left, std::uint32_t slot_demand::*wish, instant now)
{
    std::map<link_number, std::uint32_t> wishes;
    for (const auto& [link, share] : m_entries) {
        if (share.demand.*wish > 0 && !isSilent(share, now))
            wishes[link] = share.demand.*wish;
    }
    for (; left > 0 && !wishes.empty(); --left) {
        const auto next = std::min_element(wishes.begin(), wishes.end(), [&](const auto& one, const auto& other) {
            return comesBefore(m_entries.at(one.first), m_entries.at(other.first), now);
        });
        ++m_entries.at(next->first).target;
        if (--next->second == 0)
            wishes.erase(next);
    }
}

bool slot_gate::comesBefore(const entry_share& one, const entry_share& other, instant now) const
{
    const auto rank = [now](const entry_share& share) {
        const bool keeps = share.granted > share.target && now < share.keepsUntil;
        return std::tuple(share.target, !keeps, share.lastGrowth);
    };
    return rank(one) < rank(other);
}

bool slot_gate::isSilent(const entry_share& share, instant now) const
{
    return share.heard + m_limits.grantLifetime * silentLifetimes < now;
}

void slot_gate::replaceGrant(entry_share& share, std::uint32_t slots, instant now)
{
    if (slots < share.granted)
        share.superseded.push_back({ share.sequence, share.granted, share.ends });
    share.sequence = ++m_sequence;
    share.granted = slots;
    // The entry counts from the receipt: the margin covers the way there.
    share.ends = now + m_limits.grantLifetime + m_limits.grantLifetime / renewalsPerLifetime;
    share.renewAt = now + m_limits.grantLifetime / renewalsPerLifetime;
}

void slot_gate::cutGrants(instant now)
{
    for (auto& [link, share] : m_entries) {
        if (share.target < share.granted)
            replaceGrant(share, share.target, now);
    }
}

void slot_gate::growGrants(instant now)
{
    std::vector<entry_share*> growing;
    for (auto& [link, share] : m_entries) {
        if (share.target > share.granted)
            growing.push_back(&share);
    }
    std::sort(growing.begin(), growing.end(),
        [](const auto* one, const auto* other) { return one->lastGrowth < other->lastGrowth; });
    const auto taken = heldSlots(now);
    auto free = grantable() - std::min(grantable(), taken);
    for (auto* share : growing) {
        const auto before = held(*share, now);
        const auto slots = std::min(share->target, before + free);
        if (slots <= share->granted)
            continue;
        replaceGrant(*share, slots, now);
        share->lastGrowth = ++m_growths;
        share->keepsUntil = now + useTime;
        free -= slots - std::min(slots, before);
    }
}

} // namespace appleramp
