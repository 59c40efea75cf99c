#include "fake_store.h"

#include <utility>

namespace appleramp::tests {

namespace {

constexpr duration networkDelay = std::chrono::milliseconds(1);

} // namespace

void fake_store::put(const std::string& table, const std::string& key, const std::string& value)
{
    m_rows[table][key] = { key, value, ++m_version, false };
    answerWaiting();
}

store_mode fake_store::modeFor(const std::string& machine) const
{
    return m_machines.empty() || m_machines.contains(machine) ? m_mode : store_mode::Up;
}

void fake_store::setMode(store_mode mode, const std::set<std::string>& machines)
{
    m_mode = mode;
    m_machines = machines;
    // Connections break with the store, so that calls in progress share its fate.
    for (auto call = m_waiting.begin(); call != m_waiting.end();) {
        const store_mode now = modeFor(call->machine);
        if (now == store_mode::Reset || now == store_mode::Busy)
            m_events.runAfter(networkDelay, [done = call->done] { done(store_failure::NoResponse); });
        const bool isLost = now != store_mode::Up && now != store_mode::Frozen;
        call = isLost ? m_waiting.erase(call) : std::next(call);
    }
    answerWaiting();
}

void fake_store::restoreCopy()
{
    m_rows = m_copy.rows;
    m_version = m_copy.version;
    ++m_generation;
    m_clockOffset = {};
}

void fake_store::call(const std::string& machine, const std::string& table, std::uint64_t after, duration wait, bool whole, store_handler done)
{
    ++m_calls;
    ++m_callsOf[machine];
    const store_mode mode = modeFor(machine);
    if (mode == store_mode::Busy || mode == store_mode::Reset) {
        const auto failure = mode == store_mode::Busy ? store_failure::Refused : store_failure::NoResponse;
        return m_events.runAfter(networkDelay * 2, [done = std::move(done), failure] { done(failure); });
    }
    if (mode == store_mode::Silent)
        return;
    m_waiting.push_back({ machine, table, after, m_events.now() + wait, whole, std::move(done) });
    answerWaiting();
    m_events.runAfter(wait, [this] { answerWaiting(); });
}

bool fake_store::tryAnswer(waiting_call& call)
{
    if (modeFor(call.machine) != store_mode::Up)
        return false;
    if (!call.whole && call.after > m_version) {
        m_events.runAfter(networkDelay + m_answerDelay, [done = std::move(call.done)] { done(store_failure::HistoryTruncated); });
        return true;
    }
    store_rows answer { .version = m_version, .generation = m_generation, .storeTime = m_events.now().time_since_epoch() + m_clockOffset };
    for (const auto& [key, row] : m_rows[call.table]) {
        if (call.whole || row.version > call.after)
            answer.rows.push_back(row);
    }
    if (!call.whole && answer.rows.empty() && m_events.now() < call.until)
        return false;
    m_events.runAfter(networkDelay + m_answerDelay, [done = std::move(call.done), answer = std::move(answer)] { done(answer); });
    return true;
}

void fake_store::answerWaiting()
{
    for (auto call = m_waiting.begin(); call != m_waiting.end();)
        call = tryAnswer(*call) ? m_waiting.erase(call) : std::next(call);
}

} // namespace appleramp::tests
