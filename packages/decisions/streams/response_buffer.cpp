#include "decisions/streams/response_buffer.h"

#include <xxhash.h>

#include <cassert>
#include <memory>

namespace appleramp {

namespace {

std::uint64_t checksum(const std::vector<std::string>& bodies)
{
    const std::unique_ptr<XXH64_state_t, decltype(&XXH64_freeState)> state(XXH64_createState(), &XXH64_freeState);
    XXH64_reset(state.get(), 0);
    for (const auto& body : bodies)
        XXH64_update(state.get(), body.data(), body.size());
    return XXH64_digest(state.get());
}

} // namespace

response_buffer::response_buffer(attempt_id attempt)
    : m_attempt(attempt)
{
}

response_head response_buffer::addHead(std::uint16_t status, std::vector<http_header> headers)
{
    assert(!m_head);
    m_head = response_head { m_attempt, status, std::move(headers) };
    return *m_head;
}

response_body response_buffer::addBody(std::string data)
{
    assert(m_head && !m_end);
    m_bytes += data.size();
    m_bodies.push_back(std::move(data));
    return { m_attempt, m_bodies.size(), m_bodies.back() };
}

response_end response_buffer::finish()
{
    assert(m_head && !m_end);
    m_end = response_end { m_attempt, m_bodies.size() + 1, checksum(m_bodies) };
    return *m_end;
}

std::vector<link_message> response_buffer::framesFrom(std::uint64_t frame) const
{
    std::vector<link_message> messages;
    if (frame == 0 && m_head)
        messages.emplace_back(*m_head);
    for (auto index = frame == 0 ? 1 : frame; index <= m_bodies.size(); ++index)
        messages.emplace_back(response_body { m_attempt, index, m_bodies[index - 1] });
    if (m_end)
        messages.emplace_back(*m_end);
    return messages;
}

} // namespace appleramp
