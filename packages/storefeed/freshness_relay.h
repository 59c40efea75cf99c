#pragma once

#include "model/freshness_news.h"
#include "model/time.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace appleramp {

// Chooses the one entry of a zone that polls the store, and tracks which table contents it confirms as current.
//
// The entry with the smallest name among those recently heard polls; the others query it. An answer confirms only the
// contents whose digest it carries, so an entry with other contents, or without a fresh answer, reads the store itself.
// Clocks of different machines are never compared: the answer's age is subtracted from the time of the question.
class freshness_relay {
public:
    explicit freshness_relay(std::string self);

    // Records that another entry of the zone was heard.
    void onPeerHeard(instant now, const std::string& instance);
    // The entry to query now. None if the last query was less than `queryInterval` ago or this entry polls for its zone.
    std::optional<std::string> readerToQuery(instant now);
    void onAnswer(instant now, const freshness_answer& answer);
    // Lets this entry read for the zone, instead of the one with the smallest name, as long as it is heard.
    void setPreferredReader(std::string name) { m_preferred = std::move(name); }
    // Names of the other entries that are heard, sorted.
    std::vector<std::string> heardPeers(instant now) const;
    // A time at which the contents with this digest were current; none if older than `confirmationLifetime`.
    std::optional<instant> currentAsOf(instant now, std::size_t table, std::uint64_t digest) const;

    // An entry that was silent for this long no longer counts as alive.
    static constexpr duration peerTimeout = std::chrono::milliseconds(1600);
    // Time between two queries; bounds how long a change waits for the reader's answer.
    static constexpr duration queryInterval = std::chrono::milliseconds(400);
    // Older confirmations do not replace a read. Well below the time within which changes must be in force.
    static constexpr duration confirmationLifetime = std::chrono::milliseconds(1900);

    // The entry that polls for the zone; none if it is this one.
    std::optional<std::string> designatedReader(instant now) const;

private:
    std::string m_self;
    std::string m_preferred;
    std::map<std::string, instant> m_peersHeardAt;
    instant m_queriedAt;
    struct confirmation {
        std::uint64_t digest = 0;
        instant currentAsOf;
    };
    std::map<std::size_t, confirmation> m_confirmations;
};

} // namespace appleramp
