#include "decisions/streams/response_assembler.h"

#include <xxhash.h>

namespace appleramp {

response_assembler::response_assembler()
    : m_hash(XXH64_createState())
{
    XXH64_reset(m_hash.get(), 0);
}

response_assembler::~response_assembler() = default;
response_assembler::response_assembler(response_assembler&&) noexcept = default;
response_assembler& response_assembler::operator=(response_assembler&&) noexcept = default;

void response_assembler::state_deleter::operator()(XXH64_state_s* state) const { XXH64_freeState(state); }

void response_assembler::add(const response_head& head)
{
    if (m_nextFrame == 0 && !m_head)
        m_head = head;
}

void response_assembler::add(const response_body& body)
{
    if (body.frame >= m_nextFrame && body.frame > 0)
        m_pendingBodies.emplace(body.frame, body.data);
}

void response_assembler::add(const response_end& end)
{
    if (!m_end)
        m_end = end;
}

std::vector<std::variant<response_head, response_body>> response_assembler::takeReadyFrames()
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

bool response_assembler::isComplete() const { return m_end && m_nextFrame == m_end->frames && checksum() == m_end->checksum; }

bool response_assembler::isCorrupt() const { return m_end && m_nextFrame >= m_end->frames && checksum() != m_end->checksum; }

bool response_assembler::hasGap() const
{
    if (!m_pendingBodies.empty())
        return true;
    return m_end && m_nextFrame < m_end->frames;
}

std::uint64_t response_assembler::checksum() const { return XXH64_digest(m_hash.get()); }

} // namespace appleramp
