#pragma once

#include "model/freshness_news.h"
#include "model/time.h"
#include "ports/row_store.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <random>
#include <span>
#include <string>

namespace appleramp {

struct store_watch_settings {
    // From the first failed or overdue answer until the store counts as lost, if no other answer comes.
    duration patience = std::chrono::milliseconds(250);
    // An entry that does not read for its zone also waits until what it heard is this old: by then the reader would have told it, also of
    // a slow store, and an entry whose reader is gone reads for the zone itself.
    duration othersPatience = std::chrono::milliseconds(2000);
    // A long poll may be this late.
    duration lateness = std::chrono::milliseconds(50);
    // Longest time between two probes of a zone, also while the store is only suspected.
    duration probeInterval = std::chrono::milliseconds(150);
    // As probeInterval, for an entry that hears no other: each of the four followers would call every 0.8 s.
    duration loneProbeInterval = std::chrono::milliseconds(200);
    // A store that does not answer is probed at most once in this time for each entry of the zone, less half of one for the probes
    // at the loss: without probes each entry would make 0.6 calls per second.
    duration silentProbeInterval = std::chrono::milliseconds(1670);
    // As silentProbeInterval, for an entry that started during the outage: its reads of whole tables would time out earlier.
    duration startingProbeInterval = std::chrono::milliseconds(575);
    // An entry takes over when the prober was not heard for this long, and takeoverStep more for each entry before it.
    duration proberSilence = std::chrono::milliseconds(300);
    duration takeoverStep = std::chrono::milliseconds(25);
    // Probes without an answer after which the next entry probes, since this one may be cut off from the store.
    unsigned probesPerTurn = 2;
};

// A change of whether the store can be reached, with its evidence.
struct store_access_change {
    bool reachable = false;
    // The entry whose calls show it.
    std::string seenBy;
    store_symptom symptom = store_symptom::None;
    std::uint32_t failures = 0;
    // Since the store is known to have answered an entry.
    duration servedAge {};
};

struct store_watch_decision {
    // Call the store now, with a read that does not wait.
    bool probe = false;
    // Tell the other entries of the zone.
    std::optional<store_notice> notice;
    std::optional<store_access_change> change;
};

// Decides for one entry whether the store counts as lost, and which entry of its zone probes it meanwhile.
//
// A failed or overdue answer leads to probes, and these to a loss that is told to the zone. One entry then probes for the zone; it is
// heard with each probe, and passes the turn on after a few without an answer. An entry that does not hear it takes over. Turns are
// numbered, and the higher one counts; of two probers in the same turn the one with the smaller name goes on. The first answer ends
// the loss for the whole zone. Nothing here confirms contents: notices only decide who calls and when.
class store_watch {
public:
    store_watch(std::string self, store_watch_settings settings, std::uint64_t seed);

    // The store answered a call of this entry, that much later than the call waited.
    void onAnswered(instant now, duration lateness);
    void onFailed(instant now, instant sentAt, store_failure failure);
    // Another entry confirmed contents that the store held at that time.
    void onHeardServed(instant servedAt);
    void onNotice(instant now, const store_notice& notice);
    // The time by which the next answer is due; none without a call in progress.
    void expectAnswer(std::optional<instant> due) { m_answerDue = due; }

    // Entries of the zone became known. Those that started during the outage know no other entry, so that the first one that finds the
    // store back tells the others as soon as it has read of them.
    void onEntriesKnown(instant now);

    // To be asked at each tick and after each input. `others` are the names of the zone's entries that are heard, sorted.
    store_watch_decision decide(instant now, std::span<const std::string> others, bool isReader);

    bool isLost() const { return m_isLost; }
    // Names the entry whose call ended the last loss; empty before.
    const std::string& servedEntry() const { return m_servedEntry; }
    // End of the last loss.
    std::optional<instant> regainedAt() const { return m_regainedAt; }

private:
    void noteStandstill(instant now);
    void decideWhileServed(instant now, std::size_t entries, bool isReader, store_watch_decision& decision);
    void decideWhileLost(instant now, std::span<const std::string> others, store_watch_decision& decision);
    void probe(instant now, std::size_t entries, store_watch_decision& decision);
    void lose(instant now, const store_access_change& change);
    void regain(instant now, const std::string& seenBy);
    bool hasNewerEvidence(instant now, const store_notice& notice) const;
    bool hasOwnEvidence(instant now) const;
    duration probeInterval(std::size_t entries);
    duration servedAge(instant now) const;
    store_notice notice(instant now, bool isServed) const;
    std::string entryAfterSelf(std::span<const std::string> others) const;

    std::string m_self;
    store_watch_settings m_settings;
    std::minstd_rand m_random;
    bool m_isLost = false;
    std::uint32_t m_turn = 0;
    std::string m_prober;
    instant m_proberHeardAt;
    instant m_nextProbeAt;
    instant m_nextNoticeAt;
    unsigned m_probesInTurn = 0;
    std::optional<instant> m_suspectedSince;
    std::optional<instant> m_answerDue;
    // Latest time at which the store is known to have answered some entry, and this one.
    std::optional<instant> m_servedAt;
    std::optional<instant> m_answeredAt;
    std::optional<instant> m_regainedAt;
    std::string m_servedEntry;
    // How late answers came recently, beyond their waits.
    duration m_answerDelay {};
    std::uint32_t m_failures = 0;
    store_symptom m_symptom = store_symptom::None;
    std::optional<store_access_change> m_change;
    // Repetitions of the notice that the store answers.
    unsigned m_servedNotices = 0;
    std::optional<instant> m_decidedAt;
};

} // namespace appleramp
