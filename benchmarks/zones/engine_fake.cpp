#include "engine_fake.h"

#include <algorithm>
#include <utility>
#include <vector>

namespace appleramp::zones {

engine_fake::engine_fake(virtual_time& time, engine_shape shape, engine_listener listener)
    : m_time(time)
    , m_shape(shape)
    , m_listener(std::move(listener))
{
    m_completed = m_shape.warmAfter;
}

void engine_fake::start(std::uint64_t call)
{
    if (!m_up) {
        m_listener.failed(call, true);
        return;
    }
    if (isCold() && m_running.size() + m_waiting.size() >= m_shape.coldBatch) {
        ++m_coldOverloads;
        m_waiting.push_back(call);
        fallOver();
        return;
    }
    if (m_running.size() < m_shape.warmBatch)
        admit(call);
    else if (m_waiting.size() < m_shape.queueLength)
        m_waiting.push_back(call);
    else
        m_listener.failed(call, true);
}

void engine_fake::admit(std::uint64_t call)
{
    m_running.emplace(call, 0);
    m_time.after(m_shape.firstToken, [this, call, boot = m_boot] { step(call, boot); });
}

void engine_fake::step(std::uint64_t call, std::uint64_t boot)
{
    const auto found = m_running.find(call);
    if (found == m_running.end() || boot != m_boot)
        return;
    auto& tokens = found->second;
    if (tokens == 0)
        m_listener.head(call);
    tokens += tokens == 0 ? 1 : m_shape.tokensPerChunk;
    m_listener.chunk(call);
    if (tokens >= m_shape.tokens) {
        ++m_completed;
        finish(call);
        m_listener.end(call);
        return;
    }
    const auto wait = m_shape.tokenTime(m_running.size()) * m_shape.tokensPerChunk;
    m_time.after(wait, [this, call, boot] { step(call, boot); });
}

void engine_fake::finish(std::uint64_t call)
{
    m_running.erase(call);
    if (m_waiting.empty())
        return;
    const auto next = m_waiting.front();
    m_waiting.pop_front();
    admit(next);
}

void engine_fake::cancel(std::uint64_t call)
{
    std::erase(m_waiting, call);
    if (m_running.contains(call))
        finish(call);
}

void engine_fake::reboot()
{
    ++m_boot;
    m_completed = 0;
    m_up = true;
}

void engine_fake::fallOver()
{
    m_up = false;
    ++m_boot;
    std::vector<std::uint64_t> lost(m_waiting.begin(), m_waiting.end());
    for (const auto& [call, tokens] : std::exchange(m_running, {}))
        lost.push_back(call);
    m_waiting.clear();
    for (const auto call : lost)
        m_listener.failed(call, false);
    m_time.after(m_shape.restart, [this, boot = m_boot] {
        if (boot == m_boot)
            reboot();
    });
}

} // namespace appleramp::zones
