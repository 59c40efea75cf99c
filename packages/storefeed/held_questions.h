#pragma once

#include "model/freshness_news.h"
#include "model/time.h"

#include <cstddef>
#include <map>
#include <string>
#include <vector>

namespace appleramp {

// The latest question of each other entry, kept so that new confirmations can be sent to it unasked.
//
// A datagram may lie in the socket of a process that stands still, so an age from when it was sent would make contents look younger
// than they are. What is sent unasked therefore answers the latest question: it was sent before it was received here, so the age
// relative to its receipt, applied to the time of the question by the asker's own clock, can only make contents look older.
class held_questions {
public:
    struct held_question {
        std::string from;
        instant askedAt;
        instant receivedAt;
    };

    void onQuestion(instant now, const std::string& from, const freshness_question& question);
    // Questions that are not older than `lifetime`.
    std::vector<held_question> recent(instant now) const;

    // Entries ask several times a second; one that does not ask any more has another reader or is gone.
    static constexpr duration lifetime = std::chrono::seconds(2);
    static constexpr std::size_t maxQuestions = 128;

private:
    std::map<std::string, held_question> m_questions;
};

} // namespace appleramp
