#include "decisions/agent/attempt_runner.h"
#include "decisions/keys/issued_key.h"

// The parts of attempt_runner that run non-repeatable requests at most once.

namespace appleramp {

namespace {

// Limit on stored responses of attempts with keys. Beyond it the oldest are dropped; the ledger still remembers that
// they completed.
constexpr std::size_t maxStoredBytes = std::size_t(64) << 20U;

} // namespace

bool attempt_runner::checkMayStart(const agent_context& context, link_number link, const start_attempt& message)
{
    // The attempt was meant for an earlier incarnation, whose record of started attempts is lost, so it may have run.
    if (message.agentLife != context.identity.life) {
        sendOutcomeUnknown(context, link, message.attempt);
        return false;
    }
    const auto content = keyedContentOf(message.request);
    switch (m_ledger.checkStart(message.attempt, content)) {
    case attempt_ledger::start_decision::Duplicate:
        return false;
    case attempt_ledger::start_decision::Tombstoned:
        refuse(context, link, message, refusal::Tombstone);
        return false;
    case attempt_ledger::start_decision::KeyUsed:
        refuse(context, link, message, refusal::KeyUsed);
        return false;
    case attempt_ledger::start_decision::KeyReused:
        refuse(context, link, message, refusal::KeyReused);
        return false;
    case attempt_ledger::start_decision::Forgotten:
        sendOutcomeUnknown(context, link, message.attempt);
        return false;
    case attempt_ledger::start_decision::Start:
        break;
    }
    if (!content || !hasIssuedKeyPrefix(content->key))
        return true;
    const auto issued = decodeIssuedKey(content->key, message.request.service);
    if (!issued || issued->agentLife != context.identity.life) {
        refuse(context, link, message, refusal::KeyInvalid);
        return false;
    }
    switch (m_keyGrants.validate(*issued, context.now, m_ledger.lastForgotten())) {
    case key_grants::key_status::Valid:
        return true;
    case key_grants::key_status::Expired:
        refuse(context, link, message, refusal::KeyExpired);
        return false;
    case key_grants::key_status::Forgotten:
        sendOutcomeUnknown(context, link, message.attempt);
        return false;
    case key_grants::key_status::Invalid:
        refuse(context, link, message, refusal::KeyInvalid);
        return false;
    }
    return false;
}

void attempt_runner::sendOutcomeUnknown(const agent_context& context, link_number link, attempt_id attempt) const
{
    context.send(link, attempt_failed { attempt, failure_cause::AgentForgot, execution::Unknown });
}

void attempt_runner::query(const agent_context& context, link_number link, const query_attempt& message)
{
    const bool ownLife = message.agentLife == context.identity.life;
    const auto state = ownLife ? m_ledger.query(message.attempt, context.now) : attempt_state::Forgotten;
    context.send(link, attempt_report { message.attempt, state });
}

void attempt_runner::grantKeys(const agent_context& context, link_number link, const request_key_block& message)
{
    context.send(link, m_keyGrants.grant(message.count, context.now));
}

void attempt_runner::evictStoredAnswers()
{
    while (m_storedBytes > maxStoredBytes) {
        const auto found = m_attempts.find(m_storedAnswers.front());
        m_storedAnswers.pop_front();
        m_storedBytes -= found->second.answer.bodyBytes();
        m_attempts.erase(found);
    }
}

} // namespace appleramp
