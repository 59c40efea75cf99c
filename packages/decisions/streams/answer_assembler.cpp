#include "decisions/streams/answer_assembler.h"

#include <xxhash.h>

namespace appleramp {

answer_assembler::answer_assembler()
    : m_hash(XXH64_createState())
{
    XXH64_reset(m_hash.get(), 0);
}

answer_assembler::~answer_assembler() = default;
answer_assembler::answer_assembler(answer_assembler&&) noexcept = default;
answer_assembler& answer_assembler::operator=(answer_assembler&&) noexcept = default;

void answer_assembler::state_deleter::operator()(XXH64_state_s* state) const { XXH64_freeState(state); }

void answer_assembler::add(const response_head& head)
{
    if (m_nextFrame == 0 && !m_head)
        m_head = head;
}

void answer_assembler::add(const response_body& body)
{
    if (body.frame >= m_nextFrame && body.frame > 0)
        m_pendingBodies.emplace(body.frame, body.data);
}

void answer_assembler::add(const response_end& end)
{
    if (!m_end)
        m_end = end;
}

std::vector<std::variant<response_head, response_body>> answer_assembler::takeReady()
{
    std::vector<std::variant<response_head, response_body>> ready;
    if (m_nextFrame == 0 && m_head) {
        ready.emplace_back(*m_head);
        m_nextFrame = 1;
    }
    while (m_nextFrame > 0 && !m_pendingBodies.empty() && m_pendingBodies.begin()->first == m_nextFrame) {
        auto node = m_pendingBodies.extract(m_pendingBodies.begin());
        XXH64_update(m_hash.get(), node.mapped().data(), node.mapped().size());
        ready.emplace_back(response_body { {}, m_nextFrame, std::move(node.mapped()) });
        ++m_nextFrame;
    }
    return ready;
}

bool answer_assembler::isWhole() const { return m_end && m_nextFrame == m_end->frames && checksum() == m_end->checksum; }

bool answer_assembler::isCorrupt() const { return m_end && m_nextFrame >= m_end->frames && checksum() != m_end->checksum; }

bool answer_assembler::hasGap() const
{
    if (!m_pendingBodies.empty())
        return true;
    return m_end && m_nextFrame < m_end->frames;
}

std::uint64_t answer_assembler::checksum() const { return XXH64_digest(m_hash.get()); }

} // namespace appleramp
