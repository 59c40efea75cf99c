#include "entry/reply_channel.h"

namespace appleramp {

void reply_channel::push(reply_piece piece)
{
    {
        const std::lock_guard lock(m_mutex);
        m_pieces.push_back(std::move(piece));
    }
    m_pushed.notify_one();
}

std::optional<reply_piece> reply_channel::pop(duration timeout)
{
    std::unique_lock lock(m_mutex);
    if (!m_pushed.wait_for(lock, timeout, [this] { return !m_pieces.empty(); }))
        return std::nullopt;
    auto piece = std::move(m_pieces.front());
    m_pieces.pop_front();
    return piece;
}

std::pair<request_number, std::shared_ptr<reply_channel>> reply_channels::open()
{
    const std::lock_guard lock(m_mutex);
    const auto number = ++m_lastNumber;
    auto channel = std::make_shared<reply_channel>();
    if (m_refusal)
        channel->push(reply_problem { number, *m_refusal });
    m_channels.emplace(number, channel);
    return { number, std::move(channel) };
}

void reply_channels::close(request_number number)
{
    const std::lock_guard lock(m_mutex);
    m_channels.erase(number);
}

void reply_channels::deliver(request_number number, reply_piece piece)
{
    const std::lock_guard lock(m_mutex);
    const auto found = m_channels.find(number);
    if (found != m_channels.end())
        found->second->push(std::move(piece));
}

void reply_channels::refuseAll(const problem& answer)
{
    const std::lock_guard lock(m_mutex);
    m_refusal = answer;
    for (const auto& [number, channel] : m_channels)
        channel->push(reply_problem { number, answer });
}

} // namespace appleramp
