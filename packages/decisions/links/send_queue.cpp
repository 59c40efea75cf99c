#include "decisions/links/send_queue.h"

#include <algorithm>
#include <cmath>
#include <iterator>

namespace appleramp {

send_queue::send_queue(instant now, send_queue_settings settings)
    : m_settings(settings)
    , m_tokens(settings.burstBytes)
    , m_refilledAt(now)
{
}

void send_queue::push(instant now, queued_datagram datagram)
{
    if (replaceQueued(datagram))
        return;
    const std::size_t level = index(datagram.priority);
    if (!makeRoom(datagram)) {
        ++m_counters[level].dropped;
        return;
    }
    m_queuedBytes += datagram.bytes.size();
    entries& queue = m_queues[level];
    queue.push_back({ std::move(datagram), now });
    const queued_datagram& queued = queue.back().datagram;
    if (!queued.topic.empty())
        m_replaceable[level][{ queued.target, queued.topic }] = std::prev(queue.end());
}

// The replacement keeps the place of the datagram that it replaces, so that frequent updates do not delay each other.
bool send_queue::replaceQueued(queued_datagram& datagram)
{
    const std::size_t level = index(datagram.priority);
    const auto found = datagram.topic.empty() ? m_replaceable[level].end() : m_replaceable[level].find({ datagram.target, datagram.topic });
    if (found == m_replaceable[level].end())
        return false;
    ++m_counters[level].superseded;
    std::string& queuedBytes = found->second->datagram.bytes;
    m_queuedBytes = m_queuedBytes - queuedBytes.size() + datagram.bytes.size();
    queuedBytes = std::move(datagram.bytes);
    return true;
}

bool send_queue::makeRoom(const queued_datagram& datagram)
{
    const std::size_t level = index(datagram.priority);
    for (std::size_t lowest = datagramPriorities; lowest-- > level + 1;) {
        while (m_queuedBytes + datagram.bytes.size() > m_settings.maxQueuedBytes && !m_queues[lowest].empty()) {
            ++m_counters[lowest].dropped;
            erase(lowest, m_queues[lowest].begin());
        }
    }
    return m_queuedBytes + datagram.bytes.size() <= m_settings.maxQueuedBytes;
}

void send_queue::erase(std::size_t level, entries::iterator position)
{
    const queued_datagram& datagram = position->datagram;
    m_queuedBytes -= datagram.bytes.size();
    if (!datagram.topic.empty())
        m_replaceable[level].erase({ datagram.target, datagram.topic });
    m_queues[level].erase(position);
}

void send_queue::refill(instant now)
{
    const double elapsed = std::chrono::duration<double>(now - m_refilledAt).count();
    m_tokens = std::min(m_settings.burstBytes, m_tokens + std::max(0.0, elapsed) * m_settings.bytesPerSecond);
    m_refilledAt = now;
}

// A datagram may leave while any tokens are left, so that one larger than the burst is not stuck; the debt delays the next.
std::vector<queued_datagram> send_queue::takeReady(instant now)
{
    refill(now);
    std::vector<queued_datagram> ready;
    for (std::size_t level = 0; level < datagramPriorities; ++level) {
        while (m_tokens > 0 && !m_queues[level].empty()) {
            const auto position = m_queues[level].begin();
            send_queue_counters& counters = m_counters[level];
            ++counters.sent;
            counters.sentBytes += position->datagram.bytes.size();
            counters.longestDelay = std::max(counters.longestDelay, now - position->queuedAt);
            m_tokens -= costOf(position->datagram);
            ready.push_back(position->datagram);
            erase(level, position);
        }
    }
    return ready;
}

std::optional<instant> send_queue::nextSendAt(instant now) const
{
    const bool isEmpty = std::all_of(m_queues.begin(), m_queues.end(), [](const entries& queue) { return queue.empty(); });
    if (isEmpty)
        return std::nullopt;
    if (m_tokens > 0)
        return now;
    // One byte more than the debt, since a datagram leaves only with tokens left.
    const double seconds = (1 - m_tokens) / m_settings.bytesPerSecond;
    return std::max(now, m_refilledAt + duration(static_cast<duration::rep>(std::ceil(seconds * 1e6))));
}

} // namespace appleramp
