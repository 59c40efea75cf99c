#include "schedules/order_book.h"

namespace appleramp::tests {

order_book::order_book(broken_invariants& broken)
    : m_broken(broken)
{
}

send_number order_book::recordSend(const std::string& /*order*/, const std::string& key)
{
    const auto send = ++m_lastSend;
    m_keyOfSend[send] = key;
    m_keys[key].sends.push_back(send);
    return send;
}

void order_book::recordOutcome(send_number send, execution outcome)
{
    if (outcome != execution::NotRun)
        return;
    const auto& key = m_keyOfSend.at(send);
    auto& history = m_keys[key];
    if (history.executions > 0)
        m_broken.record("false_not_run", "key " + key + " had already run");
    history.lastSendAtNotRun = m_lastSend;
}

void order_book::recordExecution(const std::string& order, const std::string& key)
{
    auto& history = m_keys[key];
    ++history.executions;
    const bool sentAfterwards = !history.sends.empty() && history.sends.back() > history.lastSendAtNotRun;
    if (history.lastSendAtNotRun > 0 && !sentAfterwards)
        m_broken.record("false_not_run", "key " + key + " ran after not_run");
    if (++m_executions[order] > 1)
        m_broken.record("doubled", "order " + order + " under key " + key);
}

std::uint64_t order_book::executions(const std::string& order) const
{
    const auto found = m_executions.find(order);
    return found == m_executions.end() ? 0 : found->second;
}

} // namespace appleramp::tests
