#pragma once

#include "model/messages.h"

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

struct XXH64_state_s;

namespace appleramp {

// Reassembles the response of one attempt at the entry from frames that may arrive late, duplicated, out of order or not
// at all. Releases each frame exactly once and in order, and verifies the checksum when the response is complete.
class response_assembler {
public:
    response_assembler();
    ~response_assembler();
    response_assembler(response_assembler&&) noexcept;
    response_assembler& operator=(response_assembler&&) noexcept;

    void add(const response_head& head);
    void add(const response_body& body);
    void add(const response_end& end);

    // Removes and returns the frames that can be forwarded now, in order. Each frame is returned once.
    std::vector<std::variant<response_head, response_body>> takeReadyFrames();
    // True if takeReadyFrames() has returned every frame and the checksum matches.
    bool isComplete() const;
    // True if takeReadyFrames() has returned every frame and the checksum does not match.
    bool isCorrupt() const;
    // True if frames are known to be missing, because a later body frame or the end frame has already arrived.
    bool hasGap() const;
    // Number of the first frame that takeReadyFrames() has not returned yet. The head is frame 0, bodies start at 1.
    std::uint64_t nextFrame() const { return m_nextFrame; }

private:
    // Checksum of the body bytes that takeReadyFrames() has returned.
    std::uint64_t checksum() const;

    std::optional<response_head> m_head;
    // Body frames that have arrived but are not returned yet, by frame number.
    std::map<std::uint64_t, std::string> m_pendingBodies;
    std::optional<response_end> m_end;
    std::uint64_t m_nextFrame = 0;
    struct state_deleter {
        void operator()(XXH64_state_s* state) const;
    };
    std::unique_ptr<XXH64_state_s, state_deleter> m_hash;
};

} // namespace appleramp
