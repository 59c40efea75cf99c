#include "decisions/configuration/configuration_writer.h"

#include "decisions/configuration/change_validator.h"
#include "decisions/configuration/configuration_register.h"
#include "wire/configuration_codec.h"

#include <iomanip>
#include <span>
#include <sstream>

namespace appleramp {

namespace {

constexpr duration pollerInterval = std::chrono::seconds(1);
constexpr duration fallbackInterval = std::chrono::seconds(10);
constexpr duration retryAfterOutage = std::chrono::seconds(2);
constexpr int maxTries = 3;
constexpr int versionDigits = 20;

} // namespace

std::string changeRow(configuration_version version)
{
    std::ostringstream row;
    row << "config/changes/" << std::setw(versionDigits) << std::setfill('0') << version;
    return row.str();
}

void configuration_writer::request(const entry_context& context, const change_requested& change)
{
    if (auto fault = findFault(change.changeId, change.change)) {
        problem answer { 422, execution::NotRun, "bad_change", std::move(*fault), std::nullopt };
        context.effects.emplace_back(reply_problem { change.number, std::move(answer) });
        return;
    }
    m_writes.push_back({ change });
    if (!m_writing)
        writeNext(context);
}

void configuration_writer::poll(const entry_context& context, bool isPoller)
{
    if (m_polling || m_writing || context.now < m_nextPoll)
        return;
    m_nextPoll = context.now + (isPoller ? pollerInterval : fallbackInterval);
    m_polling = context.call(table_get { changeRow(context.configuration.version() + 1) });
}

bool configuration_writer::owns(operation_number operation) const
{
    return m_writing == operation || m_polling == operation;
}

bool configuration_writer::replied(const entry_context& context, const platform_replied& reply)
{
    if (m_polling == reply.operation) {
        m_polling.reset();
        return pollReplied(context, reply.result);
    }
    m_writing.reset();
    return writeReplied(context, reply.result);
}

void configuration_writer::writeNext(const entry_context& context)
{
    if (m_writes.empty())
        return;
    auto& write = m_writes.front();
    // Sent again after a lost reply: it stands already, and a second row would undo what came after it.
    if (const auto committed = context.configuration.findChange(write.request.changeId)) {
        accepted(context, *committed);
        return;
    }
    write.version = context.configuration.version() + 1;
    write.isReadBack = false;
    const accepted_change row { write.version, write.request.changeId, write.request.change };
    m_writing = context.call(table_put { changeRow(write.version), encodeAcceptedChange(row), 0 });
}

bool configuration_writer::pollReplied(const entry_context& context, const platform_result& result)
{
    if (result.status != platform_status::Done)
        return false;
    // There may be more: read on at once.
    m_nextPoll = context.now;
    return adoptRow(context, result.rows.at(0));
}

bool configuration_writer::writeReplied(const entry_context& context, const platform_result& result)
{
    auto& write = m_writes.front();
    switch (result.status) {
    case platform_status::Done:
    case platform_status::Conflict:
        if (!write.isReadBack && result.status == platform_status::Done) {
            const accepted_change own { write.version, write.request.changeId, write.request.change };
            const bool rose = context.configuration.adopt(std::span(&own, 1));
            accepted(context, own.version);
            return rose;
        }
        return judgeRow(context, result.rows.at(0));
    case platform_status::Unknown:
        if (++write.tries <= maxTries) {
            write.isReadBack = true;
            m_writing = context.call(table_get { changeRow(write.version) });
            return false;
        }
        refused(context, 504, "change_unknown", "the table service's reply was lost; send the same change id again");
        return false;
    case platform_status::NotFound:
        writeNext(context);
        return false;
    case platform_status::Unavailable:
        if (write.tries > 0) {
            refused(context, 504, "change_unknown", "the change may stand; send the same change id again");
            return false;
        }
        refused(context, 503, "store_down", "the table service can't be reached; nothing was changed");
        return false;
    }
    return false;
}

bool configuration_writer::adoptRow(const entry_context& context, const table_row& row)
{
    const auto change = decodeAcceptedChange(row.value);
    const bool rose = context.configuration.adopt(std::span(&change, 1));
    if (rose)
        context.decide(decision_kind::ConfigurationAdopted, "configuration", "read from the table service");
    return rose;
}

bool configuration_writer::judgeRow(const entry_context& context, const table_row& row)
{
    const auto standing = decodeAcceptedChange(row.value);
    const bool rose = adoptRow(context, row);
    if (standing.changeId == m_writes.front().request.changeId) {
        accepted(context, standing.version);
        return rose;
    }
    const accepted_change own { m_writes.front().version, m_writes.front().request.changeId,
        m_writes.front().request.change };
    refused(context, 409, "conflict",
        "another operator's change took this version: " + row.value + "; yours was: " + encodeAcceptedChange(own));
    return rose;
}

void configuration_writer::accepted(const entry_context& context, configuration_version version)
{
    const auto number = m_writes.front().request.number;
    context.effects.emplace_back(reply_document { number, 200, "{\"version\":" + std::to_string(version) + "}" });
    context.decide(decision_kind::ConfigurationAdopted, "configuration", "committed for an operator");
    finishWrite(context);
}

void configuration_writer::refused(const entry_context& context, std::uint16_t status, std::string reason,
    std::string detail)
{
    problem answer { status, execution::NotRun, std::move(reason), std::move(detail), retryAfterOutage };
    if (status == 504)
        answer.outcome = execution::Unknown;
    context.effects.emplace_back(reply_problem { m_writes.front().request.number, std::move(answer) });
    finishWrite(context);
}

void configuration_writer::finishWrite(const entry_context& context)
{
    m_writes.pop_front();
    writeNext(context);
}

} // namespace appleramp
