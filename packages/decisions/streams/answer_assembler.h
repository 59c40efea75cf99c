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

// Puts the frames of one attempt's answer back in order at the entry: late, repeated, reordered and missing frames.
// It passes on nothing but the answer's own bytes, each once, and knows when the answer is whole.
class answer_assembler {
public:
    answer_assembler();
    ~answer_assembler();
    answer_assembler(answer_assembler&&) noexcept;
    answer_assembler& operator=(answer_assembler&&) noexcept;

    void add(const response_head& head);
    void add(const response_body& body);
    void add(const response_end& end);

    // The next frames that are ready to pass on, in order, each once.
    std::vector<std::variant<response_head, response_body>> takeReady();
    // True if every frame was passed on and the checksum agrees.
    bool isWhole() const;
    // True if every frame was passed on and the checksum does not agree.
    bool isCorrupt() const;
    // True if frames are known to be missing: later ones are here.
    bool hasGap() const;
    std::uint64_t nextFrame() const { return m_next; }

private:
    std::uint64_t digest() const;

    std::optional<response_head> m_head;
    std::map<std::uint64_t, std::string> m_waiting;
    std::optional<response_end> m_end;
    std::uint64_t m_next = 0;
    struct state_deleter {
        void operator()(XXH64_state_s* state) const;
    };
    std::unique_ptr<XXH64_state_s, state_deleter> m_hash;
};

} // namespace appleramp
