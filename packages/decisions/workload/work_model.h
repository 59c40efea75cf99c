#pragma once

#include "decisions/workload/request_work.h"
#include "model/routing.h"
#include "model/time.h"

#include <cstdint>

namespace appleramp {

// What runs at an engine, as the model needs it.
struct engine_load {
    // Requests that run or wait for a slot.
    double requests = 0;
    std::uint32_t slots = 1;
    // Tokens of all running requests together; zero if not known.
    double contextTokens = 0;
    double slowdownFactor = 1;
    // Measured time between two events of the service's streams, by which all engines of a group advance; zero if not known.
    duration measuredPause {};
};

struct work_forecast {
    // From the arrival at the engine to the first event.
    duration firstEvent {};
    // Time by which the request delays the streams that advance with its engine, over its whole answer.
    duration addedDelay {};
    // Time between two events at this engine with this request.
    duration pause {};
};

// Predicts how long an engine takes for a request, from the figures that its service publishes.
//
// While requests generate, a pass has stepsPerPass steps, and each step takes longer with each request and with the tokens of their
// contexts. Prompts are read in the steps, at most chunkTokens in each.
class work_model {
public:
    explicit work_model(const engine_speed& speed)
        : m_speed(speed)
    {
    }

    // False if the service publishes no times; then nothing can be predicted.
    bool isUsable() const { return m_speed.step > duration::zero() && m_speed.promptTokensPerSecond > 0; }
    // Events of an answer of that many tokens.
    double events(std::uint32_t answerTokens) const;
    // Time between two events with so many running requests and context tokens.
    duration passTime(double running, double contextTokens, double slowdownFactor) const;
    duration promptTime(std::uint32_t promptTokens, const engine_load& load) const;
    // Prompt tokens that the engine reads in a second, between the steps of its streams.
    double readTokensPerSecond(const engine_load& load) const;
    request_work work(const request_size& size, const engine_load& load) const;
    // `unreadAhead` is the time for the prompts that are read before this one, and `slotTime` the time for which requests of the
    // service occupy a slot at published speed.
    work_forecast forecast(const request_size& size, const engine_load& load, duration unreadAhead, duration slotTime) const;
    // The request for which the engine was planned, or the fallback where the service publishes none.
    request_size usualSize(const request_size& fallback) const;

private:
    double stepMilliseconds(double running, double contextTokens) const;

    engine_speed m_speed;
};

} // namespace appleramp
