#include "decisions/workload/work_model.h"

#include <algorithm>
#include <cmath>

namespace appleramp {

namespace {

constexpr double tokensPerThousand = 1e3;
constexpr double pairsPerMillion = 1e6;
// Longest time that is predicted, which keeps sums of absurd sizes within the range of a duration.
constexpr double maxMilliseconds = 1e7;
// A request waits half a pass on average until its prompt is read, and gets its first event at the end of the next one.
constexpr double passesToFirstEvent = 1.5;
// An engine reports no slower factor, and figures below one come from rounding.
constexpr double maxSlowdown = 50.0;

double milliseconds(duration time) { return std::chrono::duration<double, std::milli>(time).count(); }

duration fromMilliseconds(double time)
{
    return duration(static_cast<duration::rep>(std::clamp(time, 0.0, maxMilliseconds) * 1e3));
}

double slotsOf(const engine_load& load) { return std::max(load.slots, 1U); }

double clampedSlowdown(double factor) { return std::clamp(factor, 1.0, maxSlowdown); }

} // namespace

double work_model::events(std::uint32_t answerTokens) const
{
    return std::max(1.0, std::ceil(static_cast<double>(answerTokens) / std::max(m_speed.stepsPerPass, 1U)));
}

double work_model::stepMilliseconds(double running, double contextTokens) const
{
    return milliseconds(m_speed.step) + running * milliseconds(m_speed.stepPerRequest)
        + m_speed.contextMillisecondsPerThousand * contextTokens / tokensPerThousand;
}

duration work_model::passTime(double running, double contextTokens, double slowdownFactor) const
{
    return fromMilliseconds(std::max(m_speed.stepsPerPass, 1U) * stepMilliseconds(running, contextTokens) * clampedSlowdown(slowdownFactor));
}

// Between the steps of the streams only a chunk of the prompt is read in each.
duration work_model::promptTime(std::uint32_t promptTokens, const engine_load& load) const
{
    const double tokens = promptTokens;
    const double reading = tokens / m_speed.promptTokensPerSecond * 1e3 + m_speed.pairMillisecondsPerMillion * tokens * tokens / pairsPerMillion;
    const double steps = m_speed.chunkTokens > 0 ? std::ceil(tokens / m_speed.chunkTokens) : 1;
    const double running = std::min(load.requests, slotsOf(load));
    const double own = (reading + steps * stepMilliseconds(running, load.contextTokens)) * clampedSlowdown(load.slowdownFactor);
    // The steps of a group take as long as those of its slowest engine.
    const double group = steps / std::max(m_speed.stepsPerPass, 1U) * milliseconds(load.measuredPause);
    return fromMilliseconds(std::max(own, group));
}

double work_model::readTokensPerSecond(const engine_load& load) const
{
    const std::uint32_t tokens = std::max(m_speed.chunkTokens, 1U);
    return tokens * 1e6 / static_cast<double>(std::max<duration::rep>(promptTime(tokens, load).count(), 1));
}

request_work work_model::work(const request_size& size, const engine_load& load) const
{
    const double memory = static_cast<double>(size.promptTokens) + size.answerTokens;
    const double running = std::min(load.requests + 1, slotsOf(load));
    const duration pause = std::max(passTime(running, load.contextTokens + memory, load.slowdownFactor), load.measuredPause);
    const duration prompt = promptTime(size.promptTokens, load);
    const duration slot = fromMilliseconds(milliseconds(prompt) + events(size.answerTokens) * milliseconds(pause));
    return { prompt, slot, static_cast<std::uint64_t>(memory) };
}

work_forecast work_model::forecast(const request_size& size, const engine_load& load, duration unreadAhead, duration slotTime) const
{
    const double memory = static_cast<double>(size.promptTokens) + size.answerTokens;
    const double slowdown = clampedSlowdown(load.slowdownFactor);
    const double slots = slotsOf(load);
    const double ahead = std::max(0.0, load.requests + 1 - slots);
    const double running = std::min(load.requests + 1, slots);
    const duration pause = passTime(running, load.contextTokens + memory, slowdown);
    const double wait = ahead * milliseconds(slotTime) * slowdown / slots;
    const double first = wait + milliseconds(unreadAhead) + milliseconds(promptTime(size.promptTokens, load))
        + passesToFirstEvent * milliseconds(std::max(pause, load.measuredPause));
    // All engines of a group wait for the one whose pass takes longest, so that even passes delay the fewest streams.
    const double added = events(size.answerTokens) * std::max(0.0, milliseconds(pause) - milliseconds(passTime(0, 0, 1)));
    return { fromMilliseconds(first), fromMilliseconds(added), pause };
}

request_size work_model::usualSize(const request_size& fallback) const
{
    return { m_speed.usualPromptTokens > 0 ? m_speed.usualPromptTokens : fallback.promptTokens,
        m_speed.usualAnswerTokens > 0 ? m_speed.usualAnswerTokens : fallback.answerTokens };
}

} // namespace appleramp
