#include "schedules/crashing_caller.h"

namespace appleramp::tests {

namespace {

constexpr std::uint64_t contentHash = 0xbad;
constexpr duration timeout = std::chrono::seconds(4);
constexpr duration resendDelay = std::chrono::milliseconds(300);
constexpr int maxTries = 20;
// Time within which the conviction must have reached every process.
constexpr duration convictionSpreadTime = std::chrono::seconds(3);
// One crash beside other requests and one alone convict the content. Other faults may lose the news of each once, so
// that each may happen twice.
constexpr int maxCrashes = 4;

} // namespace

crashing_caller::crashing_caller(schedule_world& world)
    : m_world(world)
{
    world.onExecution([this](std::size_t agent, const service_request& request) {
        if (request.contentHash == contentHash)
            checkExecution(agent);
    });
}

void crashing_caller::start()
{
    if (!std::exchange(m_started, true))
        send(1);
}

void crashing_caller::send(int tries)
{
    service_request request;
    request.service = service_id("assistant");
    request.team = team_id("team-0");
    request.method = "POST";
    request.path = "/v1/completions";
    request.body = "crash";
    request.contentHash = contentHash;
    request.timeout = timeout;
    std::uniform_int_distribution<std::size_t> entry(0, m_world.entries() - 1);
    m_world.post(
        entry(m_world.random()), [&](request_number number) { return request_received { number, request }; },
        [this, tries](const entry_effect& piece) { handleReply(piece, tries); });
    if (tries < maxTries)
        m_world.queue().runAfter(timeout / 4 + resendDelay, [this, tries] { send(tries + 1); });
}

void crashing_caller::handleReply(const entry_effect& piece, int /*tries*/)
{
    const auto* problem = std::get_if<reply_problem>(&piece);
    if (problem && problem->answer.reason == "suspect_refused" && !m_refusedAt)
        m_refusedAt = m_world.queue().now();
}

void crashing_caller::checkExecution(std::size_t agent)
{
    if (m_refusedAt && m_world.queue().now() > *m_refusedAt + convictionSpreadTime)
        m_world.broken().record("convicted_ran", m_world.agentAddress(agent));
    if (++m_crashes > maxCrashes)
        m_world.broken().record("crashed_too_often", m_world.agentAddress(agent));
    m_world.endpoint(agent).crash();
}

} // namespace appleramp::tests
