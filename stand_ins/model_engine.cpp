#include "stand_ins/model_engine.h"

#include <Poco/Net/HTTPServerResponse.h>
#include <Poco/NumberFormatter.h>
#include <nlohmann/json.hpp>
#include <xxhash.h>

namespace appleramp::stand_ins {

namespace {

using nlohmann::json;

json choiceOf(bool chat, const std::string& text, bool streamed)
{
    json choice = { { "index", 0 }, { "finish_reason", nullptr } };
    if (!chat)
        choice["text"] = text;
    else
        choice[streamed ? "delta" : "message"] = { { "role", "assistant" }, { "content", text } };
    return choice;
}

} // namespace

struct model_engine::completion {
    bool chat = false;
    bool streamed = false;
    std::uint32_t tokens = 0;
    std::string id;
};

model_engine::model_engine(const model_engine_options& options)
    : m_options(options)
    , m_host(options.host, [this](engine_exchange& exchange) { work(exchange); })
{
}

std::string model_engine::answerId(const std::string& body)
{
    return "cmpl-" + Poco::NumberFormatter::formatHex(static_cast<Poco::UInt64>(XXH64(body.data(), body.size(), 0)));
}

std::string model_engine::tokenText(std::uint32_t number)
{
    return "token" + std::to_string(number) + " ";
}

void model_engine::work(engine_exchange& exchange)
{
    const auto& path = exchange.line.path;
    if (path != "/v1/chat/completions" && path != "/v1/completions") {
        sendError(exchange.response, 404, "no such path");
        return;
    }
    completion wanted;
    try {
        wanted = readCompletion(exchange);
    } catch (const json::exception& failure) {
        sendError(exchange.response, 400, failure.what());
        return;
    }
    if (wanted.streamed)
        stream(exchange, wanted);
    else
        answerWhole(exchange, wanted);
}

model_engine::completion model_engine::readCompletion(const engine_exchange& exchange) const
{
    const auto document = json::parse(exchange.body);
    return { exchange.line.path == "/v1/chat/completions", document.value("stream", false),
        document.value("max_tokens", m_options.tokens), answerId(exchange.body) };
}

void model_engine::stream(engine_exchange& exchange, const completion& wanted)
{
    const auto start = interruptible_pause::clock::now();
    if (!awaitToken(exchange, start, 0))
        return;
    exchange.response.setContentType("text/event-stream");
    exchange.response.setChunkedTransferEncoding(true);
    std::ostream& output = exchange.response.send();
    json event = { { "id", wanted.id }, { "model", m_options.model },
        { "object", wanted.chat ? "chat.completion.chunk" : "text_completion" } };
    for (std::uint32_t number = 0; number < wanted.tokens; ++number) {
        if (!awaitToken(exchange, start, number)) {
            dropConnection(exchange.request);
            return;
        }
        event["choices"] = json::array({ choiceOf(wanted.chat, tokenText(number), true) });
        output << "data: " << event.dump() << "\n\n"
               << std::flush;
        if (!output.good())
            return;
    }
    m_host.finishWork(exchange);
    output << "data: [DONE]\n\n"
           << std::flush;
}

void model_engine::answerWhole(engine_exchange& exchange, const completion& wanted)
{
    const auto start = interruptible_pause::clock::now();
    std::string text;
    for (std::uint32_t number = 0; number < wanted.tokens; ++number) {
        if (!awaitToken(exchange, start, number)) {
            dropConnection(exchange.request);
            return;
        }
        text += tokenText(number);
    }
    m_host.finishWork(exchange);
    sendJson(exchange.response, 200,
        { { "id", wanted.id }, { "model", m_options.model },
            { "object", wanted.chat ? "chat.completion" : "text_completion" },
            { "choices", json::array({ choiceOf(wanted.chat, text, false) }) },
            { "usage", { { "completion_tokens", wanted.tokens } } } });
}

bool model_engine::awaitToken(
    const engine_exchange& exchange, interruptible_pause::clock::time_point start, std::uint32_t number)
{
    return m_host.pause().waitUntil(
        exchange.round, start + m_options.firstToken + number * m_options.betweenTokens);
}

} // namespace appleramp::stand_ins
