#pragma once

#include "model/freshness_news.h"
#include "model/time.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>

namespace appleramp {

// Decides who of a zone's entries reads the store, and what the others may take from it.
//
// The first of the entries that are heard reads; the others ask it. What it vouches for holds only for the contents that
// it names, so whoever knows others reads for itself, and so does whoever gets no fresh answer. No clocks are compared:
// an age counts from the moment of the question.
class freshness_relay {
public:
    explicit freshness_relay(std::string self);

    // Another entry of the zone was heard.
    void notePeer(instant now, const std::string& instance);
    // Whom to ask now; nobody while it was just asked, or while this entry reads for its zone.
    std::optional<std::string> askDue(instant now);
    void noteAnswer(instant now, const freshness_answer& answer);
    // A moment at which the contents with that digest were current, if it is recent enough to do without a read.
    std::optional<instant> heldAt(instant now, std::size_t table, std::uint64_t digest) const;

    // An entry that was silent for so long may be gone.
    static constexpr duration peerSilence = std::chrono::milliseconds(1600);
    // Between two questions: news of a change waits no longer than this for the reader's answer.
    static constexpr duration askInterval = std::chrono::milliseconds(400);
    // Older confirmations are no reason to spare a read; well below the bounds in which changes must be in force.
    static constexpr duration validFor = std::chrono::milliseconds(1900);

private:
    // None if it is this entry.
    std::optional<std::string> reader(instant now) const;

    std::string m_self;
    std::map<std::string, instant> m_peers;
    instant m_askedAt;
    struct confirmation {
        std::uint64_t digest = 0;
        instant heldAt;
    };
    std::map<std::size_t, confirmation> m_tables;
};

} // namespace appleramp
