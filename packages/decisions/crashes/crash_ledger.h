#pragma once

#include "decisions/crashes/recent_keys.h"
#include "model/crash_news.h"
#include "model/time.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <span>
#include <vector>

namespace appleramp {

enum class suspect_verdict {
    // Nothing speaks against it, or not enough.
    Unsuspected,
    // One more death would convict it: requests with it run one at a time.
    Suspected,
    // Requests with it are refused.
    Convicted,
};

struct suspect_conviction {
    suspect_key key;
    // By deaths that this entry saw, not by what another one told.
    bool isOwn = false;
};

// Evidence for and against what endpoints may have died of, and what follows from it.
//
// A suspect crashes every endpoint that begins to answer to it. So a death accuses whatever the endpoint had begun and not yet
// answered, and an answer clears a suspect of all deaths before it. The deaths of a convicted part of prompts are explained, and
// speak against no other part any more; of two parts with the same deaths the later one in the prompt is convicted, since
// more requests share the earlier one. Entries merge each other's records, whatever their order and however often, so that all
// come to the same verdict.
class crash_ledger {
public:
    crash_ledger();

    // The endpoint, identified with its start, died before it had answered to a request that was sent at that time.
    struct accusation {
        std::uint64_t endpoint = 0;
        instant sentAt;
        instant diedAt;
        // Of the part in the prompt, if the suspect is one.
        std::uint32_t position = 0;
    };
    void accuse(instant now, const suspect_key& key, const accusation& accusation);
    // An endpoint answers to the suspect without harm. Returns true if that clears it of deaths.
    bool recordSound(instant now, const suspect_key& key);
    // A request with the suspect arrived and was refused. Returns true if none was since its deaths last changed.
    bool recordRefusal(instant now, const suspect_key& key);
    suspect_verdict verdict(instant now, const suspect_key& key) const;
    // When a refused suspect may be tried once more. Suspects under which enough endpoints died are never tried.
    std::optional<instant> nextTrial(const suspect_key& key) const;
    // True if it may be tried now; the caller sends that request.
    bool startTrial(instant now, const suspect_key& key);

    // Merges what another entry or the store tells. The records may have been under way for that long since their ages were true.
    // Deaths that both know give the delay itself.
    void merge(instant now, std::span<const crash_record> records, duration longestDelay);
    // Records that this entry's own evidence has changed since the last call.
    std::vector<crash_record> takeChanged(instant now);
    // The convictions since the last call.
    std::vector<suspect_conviction> takeNewConvictions();
    // Records that other entries need, convictions first.
    std::vector<crash_record> records(instant now) const;
    std::optional<crash_record> record(instant now, const suspect_key& key) const;
    std::vector<suspect_key> convicted() const;
    // Removes expired records and returns their keys.
    std::vector<suspect_key> removeExpired(instant now);
    std::size_t size() const { return m_suspects.size(); }

    // Suspects are remembered for that long after the last death, convicted ones after the last request with them.
    static constexpr duration suspicionRetention = std::chrono::seconds(60);
    static constexpr duration convictionRetention = std::chrono::minutes(10);
    // Time between a conviction, a trial, or the death that made a suspect, and the next trial.
    static constexpr duration trialInterval = std::chrono::seconds(60);
    // Deaths under requests that were sent before the first of them may have one cause of their own, such as a loss of power. So
    // many of them count at most.
    static constexpr std::size_t maxDeathsOfBurst = 2;
    // A suspect that was sound within this time before its first death needs more of them.
    static constexpr duration soundMemory = std::chrono::seconds(60);
    static constexpr std::size_t maxSuspects = 1024;
    // Rows of the store keep the ages that were true when they were written.
    static constexpr duration unknownDelay = duration::max();
    static constexpr std::size_t maxDeathsKept = 8;

private:
    struct death {
        std::uint64_t endpoint = 0;
        instant sentAt;
        instant diedAt;
    };
    struct suspect {
        // Ordered by time.
        std::vector<death> deaths;
        std::optional<instant> soundAt;
        std::optional<instant> convictedAt;
        std::optional<instant> triedAt;
        instant seenAt;
        std::uint32_t position = 0;
        // Deaths that were known at the last refusal.
        std::size_t deathsAtRefusal = 0;
    };

    suspect& find(instant now, const suspect_key& key);
    void mergeRecord(instant now, const crash_record& received, duration longestDelay);
    // How much longer a record was under way than its ages say, as far as a death that both know shows it.
    static std::optional<duration> shownDelay(instant now, const suspect& known, const crash_record& received);
    bool addDeath(suspect& suspect, const death& added);
    // Removes the deaths before the suspect was last sound, and the conviction if none remains.
    static void clearEarlierDeaths(suspect& suspect);
    // Convicts all that are proved, the latest parts of prompts first.
    void convictProved(instant now, std::span<const suspect_key> keys, bool isOwn);
    bool isProved(const suspect_key& key, const suspect& suspect) const;
    std::size_t countedDeaths(const suspect_key& key, const suspect& suspect) const;
    // True if the endpoint died of another part, which is convicted.
    bool isExplained(const suspect_key& key, std::uint64_t endpoint) const;
    static std::size_t deathsToConvict(const suspect_key& key, const suspect& suspect);
    static instant expiryOf(const suspect& suspect);
    static crash_record recordOf(instant now, const suspect_key& key, const suspect& suspect);
    void evictIfFull();

    std::map<suspect_key, suspect> m_suspects;
    recent_keys m_sound;
    std::set<suspect_key> m_changed;
    std::vector<suspect_conviction> m_newConvictions;
};

} // namespace appleramp
