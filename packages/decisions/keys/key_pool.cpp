#include "decisions/keys/key_pool.h"

#include "decisions/configuration/configuration_register.h"
#include "decisions/keys/issued_key.h"
#include "decisions/placement/endpoint_directory.h"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace appleramp {

namespace {

constexpr std::uint32_t blockSize = 256;
constexpr std::uint64_t refillThreshold = 64;
constexpr duration keyWaitTimeout = std::chrono::seconds(5);
constexpr duration retryAfterNoKey = std::chrono::seconds(1);

std::vector<const linked_endpoint*> candidatesFor(const entry_context& context, const service_id& service)
{
    std::vector<const linked_endpoint*> candidates;
    for (const auto link : context.endpoints.linksServing(service)) {
        const auto* endpoint = context.endpoints.find(link);
        if (isInService(*endpoint, context.configuration.current()))
            candidates.push_back(endpoint);
    }
    return candidates;
}

} // namespace

void key_pool::requestKey(const entry_context& context, const keys_requested& request)
{
    const auto candidates = candidatesFor(context, request.service);
    if (candidates.empty()) {
        replyNoKey(context, request.number);
        return;
    }
    if (issueFromBlocks(context, request.number, request.service))
        return;
    for (const auto* endpoint : candidates)
        requestBlock(context, endpoint->link);
    m_waiting.push_back({ request.number, request.service, context.now + keyWaitTimeout });
}

void key_pool::addBlock(const entry_context& context, link_number link, const grant_key_block& block)
{
    m_blocks[link] = { block.first, block.first + block.count, block.expires, context.now + block.lifetime / 2,
        block.lifetime, false };
    std::erase_if(m_waiting,
        [&](const auto& waiting) { return issueFromBlocks(context, waiting.number, waiting.service); });
}

void key_pool::callerLeft(request_number number)
{
    std::erase_if(m_waiting, [number](const auto& waiting) { return waiting.number == number; });
}

void key_pool::rejectOverdue(const entry_context& context)
{
    while (!m_waiting.empty() && m_waiting.front().deadline <= context.now) {
        replyNoKey(context, m_waiting.front().number);
        m_waiting.pop_front();
    }
}

bool key_pool::issueFromBlocks(const entry_context& context, request_number number, const service_id& service)
{
    const auto candidates = candidatesFor(context, service);
    for (std::size_t tried = 0; tried < candidates.size(); ++tried) {
        const auto& endpoint = *candidates[m_nextEndpoint++ % candidates.size()];
        const auto held = m_blocks.find(endpoint.link);
        if (held == m_blocks.end() || held->second.next == held->second.end || held->second.useUntil <= context.now)
            continue;
        auto& block = held->second;
        const auto key = encodeIssuedKey({ endpoint.description.endpoint, endpoint.instance, endpoint.agentLife,
                                             block.next++, block.expires },
            service);
        // At least half of the lifetime is left when a key is issued.
        const auto validity = std::chrono::duration_cast<std::chrono::milliseconds>(block.lifetime / 2);
        const nlohmann::json document { { "key", key.str() }, { "valid_for_ms", validity.count() } };
        context.effects.emplace_back(reply_document { number, 200, document.dump() });
        if (block.end - block.next < refillThreshold)
            requestBlock(context, endpoint.link);
        return true;
    }
    return false;
}

void key_pool::requestBlock(const entry_context& context, link_number link)
{
    auto& block = m_blocks[link];
    if (block.refillRequested)
        return;
    block.refillRequested = true;
    context.send(link, request_key_block { blockSize });
}

void key_pool::replyNoKey(const entry_context& context, request_number number) const
{
    context.effects.emplace_back(reply_problem { number,
        { 503, execution::NotStarted, "no_key", "no endpoint of this service can issue a key now", retryAfterNoKey } });
}

} // namespace appleramp
