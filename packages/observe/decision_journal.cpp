#include "observe/decision_journal.h"

#include <cassert>
#include <utility>

namespace appleramp {

namespace {

void truncate(std::string& text)
{
    if (text.size() <= decision_journal::maxTextBytes)
        return;
    text.resize(decision_journal::maxTextBytes);
    text.shrink_to_fit();
}

} // namespace

decision_journal::decision_journal(std::size_t capacity)
    : m_capacity(capacity)
{
    assert(capacity > 0);
}

void decision_journal::record(decision entry)
{
    truncate(entry.subject);
    truncate(entry.reason);
    const std::lock_guard lock(m_mutex);
    if (m_ring.size() < m_capacity)
        m_ring.push_back(std::move(entry));
    else
        m_ring[m_recorded % m_capacity] = std::move(entry);
    ++m_recorded;
}

std::vector<decision> decision_journal::find(std::string_view subject) const
{
    const std::string_view truncatedSubject = subject.substr(0, maxTextBytes);
    const std::lock_guard lock(m_mutex);
    std::vector<decision> found;
    const std::size_t oldest = m_ring.size() < m_capacity ? 0 : m_recorded % m_capacity;
    for (std::size_t i = 0; i < m_ring.size(); ++i) {
        const decision& entry = m_ring[(oldest + i) % m_ring.size()];
        if (entry.subject == truncatedSubject)
            found.push_back(entry);
    }
    return found;
}

std::uint64_t decision_journal::recorded() const
{
    const std::lock_guard lock(m_mutex);
    return m_recorded;
}

} // namespace appleramp
