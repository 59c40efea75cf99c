#include "decisions/keys/request_keys.h"

#include "decisions/configuration/configuration_register.h"
#include "decisions/keys/key_scope.h"
#include "decisions/placement/endpoint_directory.h"

#include <algorithm>
#include <cassert>

namespace appleramp {

namespace {

constexpr duration keyRetryDelay = std::chrono::seconds(1);

key_decision endRequest(request_number number, std::uint16_t status, execution outcome, std::string reason,
    std::string detail, std::optional<duration> retryAfter = std::nullopt)
{
    return { number, end_request { { status, outcome, std::move(reason), std::move(detail), retryAfter } } };
}

bool canReceive(const entry_context& context, link_number link)
{
    const auto* endpoint = context.endpoints.find(link);
    return endpoint && isInService(*endpoint, context.configuration.current());
}

} // namespace

void request_keys::add(request_number number, const service_request& request)
{
    m_requests[number] = { scopedKey(request), request.contentHash };
}

void request_keys::bindKey(const entry_context& context, request_number number, attempt_id attempt,
    const linked_endpoint& endpoint)
{
    auto& request = m_requests.at(number);
    request.state = phase::Claiming;
    request.link = endpoint.link;
    request.binding = { attempt, endpoint.description.endpoint, endpoint.instance, endpoint.agentLife,
        request.contentHash, binding_state::Bound };
    m_callerKeys.claim(context, number, request.key, request.binding, request.version);
}

void request_keys::release(const entry_context& context, request_number number)
{
    auto& request = m_requests.at(number);
    assert(request.isBound);
    request.isBound = false;
    request.state = phase::Releasing;
    m_callerKeys.release(context, number, request.key, request.binding, request.version);
}

bool request_keys::isBoundTo(request_number number, attempt_id attempt) const
{
    const auto found = m_requests.find(number);
    return found != m_requests.end() && found->second.isBound && found->second.binding.attempt == attempt;
}

key_decision request_keys::queryAgent(const entry_context& context, request_number number, attempt_id attempt,
    const linked_endpoint& endpoint)
{
    auto& request = m_requests[number];
    request.isBound = false;
    request.binding.attempt = attempt;
    request.binding.agent = endpoint.instance;
    request.binding.agentLife = endpoint.agentLife;
    return queryHolder(context, number, request);
}

void request_keys::repeatQuery(const entry_context& context, request_number number, link_number link)
{
    auto& request = m_requests.at(number);
    awaitReport(number, request);
    context.send(link, query_attempt { request.binding.attempt, request.binding.agentLife });
}

void request_keys::awaitReport(request_number number, keyed_request& request)
{
    request.state = phase::AwaitingReport;
    auto& waiting = m_awaitingReport[request.binding.attempt];
    if (std::find(waiting.begin(), waiting.end(), number) == waiting.end())
        waiting.push_back(number);
}

void request_keys::remove(request_number number)
{
    const auto found = m_requests.find(number);
    if (found == m_requests.end())
        return;
    auto& request = found->second;
    if (request.state == phase::Claiming || request.state == phase::Releasing) {
        request.abandoned = true;
        return;
    }
    if (request.state == phase::AwaitingReport) {
        const auto waiting = m_awaitingReport.find(request.binding.attempt);
        std::erase(waiting->second, number);
        if (waiting->second.empty())
            m_awaitingReport.erase(waiting);
    }
    m_requests.erase(found);
}

std::optional<key_decision> request_keys::handleReply(const entry_context& context, const platform_replied& reply)
{
    const auto result = m_callerKeys.replied(context, reply);
    if (!result)
        return std::nullopt;
    const auto number = result->request;
    auto& request = m_requests.at(number);
    if (request.abandoned) {
        releaseAbandoned(context, number, *result);
        return std::nullopt;
    }
    return handleResult(context, number, request, *result);
}

std::optional<key_decision> request_keys::handleResult(const entry_context& context, request_number number,
    keyed_request& request, const key_result& result)
{
    request.state = phase::Idle;
    request.isBound = false;
    request.version = result.version;
    switch (result.outcome) {
    case key_result::kind::Bound:
        return handleBound(context, number, request);
    case key_result::kind::Released:
        return key_decision { number, retry_placement { true } };
    case key_result::kind::HeldByOther:
        request.binding = result.current;
        return queryHolder(context, number, request);
    case key_result::kind::ContentMismatch:
        return endRequest(number, 422, execution::NotStarted, "key_reused", "this key stands for a request with other content");
    case key_result::kind::StoreUnavailable:
        return endRequest(number, 503, execution::NotStarted, "store_down",
            "the key can't be bound now; send the same key again", keyRetryDelay);
    }
    return std::nullopt;
}

std::optional<key_decision> request_keys::handleBound(const entry_context& context, request_number number,
    keyed_request& request)
{
    request.isBound = true;
    if (canReceive(context, request.link))
        return key_decision { number, dispatch_bound {} };
    // The endpoint left or went out of service before the attempt was sent. Only this entry could have sent it, so the
    // attempt is proven not to have run.
    release(context, number);
    return std::nullopt;
}

key_decision request_keys::queryHolder(const entry_context& context, request_number number, keyed_request& request)
{
    const auto& binding = request.binding;
    const auto* holder = context.endpoints.findAgent(binding.agent, binding.agentLife);
    if (!holder) {
        request.state = phase::Idle;
        return endRequest(number, 409, execution::Unknown, "key_unknown",
            "what became of an earlier send of this key is not known", keyRetryDelay);
    }
    awaitReport(number, request);
    context.send(holder->link, query_attempt { binding.attempt, binding.agentLife });
    return { number, await_key_holder { holder->link } };
}

std::vector<key_decision> request_keys::handleReport(link_number link, const attempt_report& report)
{
    std::vector<key_decision> decisions;
    const auto waiting = m_awaitingReport.find(report.attempt);
    if (waiting == m_awaitingReport.end())
        return decisions;
    const auto numbers = std::move(waiting->second);
    m_awaitingReport.erase(waiting);
    for (const auto number : numbers) {
        auto& request = m_requests.at(number);
        request.state = phase::Idle;
        switch (report.state) {
        case attempt_state::NeverStarted:
            // The tombstone proves that the holder never runs. The next claim takes over the key on the condition that the
            // row still has the present version.
            request.isBound = false;
            decisions.push_back({ number, retry_placement { false } });
            break;
        case attempt_state::Completed:
            decisions.push_back({ number, replay_response { report.attempt, link } });
            break;
        case attempt_state::Running:
            decisions.push_back({ number, attempt_running { report.attempt, link } });
            break;
        case attempt_state::Failed:
            decisions.push_back(endRequest(number, 409, execution::Unknown, "key_unknown",
                "an earlier send of this key ended without an answer"));
            break;
        case attempt_state::Forgotten:
            decisions.push_back(endRequest(number, 409, execution::Unknown, "key_unknown",
                "the key is past its retention, or its agent was replaced"));
            break;
        }
    }
    return decisions;
}

void request_keys::releaseAbandoned(const entry_context& context, request_number number, const key_result& result)
{
    auto& request = m_requests.at(number);
    const bool neverSent = result.outcome == key_result::kind::Bound && request.state == phase::Claiming;
    if (!neverSent) {
        m_requests.erase(number);
        return;
    }
    request.version = result.version;
    request.isBound = true;
    release(context, number);
}

} // namespace appleramp
