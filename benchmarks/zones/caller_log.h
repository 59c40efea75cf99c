#pragma once

#include "scenario.h"

namespace appleramp::zones {

// Records what callers see; times include the way from the entry to the caller.
class caller_log {
public:
    caller_log(run_log& log, const scenario& scenario)
        : m_log(log)
        , m_scenario(scenario)
    {
    }

    void chunk(std::size_t request, instant now)
    {
        auto& record = m_log.callers[request];
        const auto at = now + m_scenario.fleet.toCallers;
        if (record.firstToken == instant {}) {
            record.firstToken = at;
        } else {
            const auto gap = std::chrono::duration<float, std::milli>(at - record.lastChunk);
            m_log.betweenTokensMs.push_back(gap.count() / static_cast<float>(m_scenario.engine.tokensPerChunk));
        }
        record.lastChunk = at;
    }

    void end(std::size_t request, instant now, bool answered)
    {
        auto& record = m_log.callers[request];
        if (record.answered || record.refused)
            return;
        record.ended = now + m_scenario.fleet.toCallers;
        record.answered = answered;
        record.refused = !answered;
    }

    void attempt(std::size_t request)
    {
        ++m_log.callers[request].attempts;
        ++m_log.attempts;
    }

private:
    run_log& m_log;
    const scenario& m_scenario;
};

} // namespace appleramp::zones
