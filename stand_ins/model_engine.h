#pragma once

#include "stand_ins/engine_host.h"

#include <chrono>
#include <cstdint>
#include <string>

namespace appleramp::stand_ins {

struct model_engine_options {
    engine_host_options host;
    std::string model = "stand-in";
    // Tokens of an answer whose request sets no max_tokens.
    std::uint32_t tokens = 32;
    std::chrono::microseconds firstToken = std::chrono::milliseconds(20);
    std::chrono::microseconds betweenTokens = std::chrono::milliseconds(5);
};

// A model engine with the usual completion requests, whole or as server-sent events. The tokens are numbered and the
// answer's id is a hash of the request's body, so a test can tell whether it got the whole of its own answer.
class model_engine {
public:
    explicit model_engine(const model_engine_options& options);

    engine_host& host() { return m_host; }

    // The id of the answer to this body.
    static std::string answerId(const std::string& body);
    // The text of the token with this number, from zero.
    static std::string tokenText(std::uint32_t number);

private:
    struct completion;

    void work(engine_exchange& exchange);
    completion readCompletion(const engine_exchange& exchange) const;
    void stream(engine_exchange& exchange, const completion& wanted);
    void answerWhole(engine_exchange& exchange, const completion& wanted);
    // False if the engine fell over before it was the token's time.
    bool awaitToken(const engine_exchange& exchange, interruptible_pause::clock::time_point start,
        std::uint32_t number);

    const model_engine_options m_options;
    engine_host m_host;
};

} // namespace appleramp::stand_ins
