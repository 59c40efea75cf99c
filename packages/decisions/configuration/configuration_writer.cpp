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
constexpr duration retryDelay = std::chrono::seconds(2);
constexpr int maxReadBacks = 3;
constexpr int versionDigits = 20;

} // namespace

std::string changeRowKey(configuration_version version)
{
    std::ostringstream row;
    row << "config/changes/" << std::setw(versionDigits) << std::setfill('0') << version;
    return row.str();
}

void configuration_writer::submitChange(const entry_context& context, const change_requested& change)
{
    if (auto error = validateChange(change.changeId, change.change)) {
        problem answer { 422, execution::NotRun, "bad_change", std::move(*error), std::nullopt };
        context.effects.emplace_back(reply_problem { change.number, std::move(answer) });
        return;
    }
    m_pendingWrites.push_back({ change });
    if (!m_writeOperation)
        writeNext(context);
}

void configuration_writer::poll(const entry_context& context, bool isPoller)
{
    if (m_pollOperation || m_writeOperation || context.now < m_nextPoll)
        return;
    m_nextPoll = context.now + (isPoller ? pollerInterval : fallbackInterval);
    m_pollOperation = context.callPlatform(table_get { changeRowKey(context.configuration.version() + 1) });
}

bool configuration_writer::owns(operation_number operation) const
{
    return m_writeOperation == operation || m_pollOperation == operation;
}

bool configuration_writer::handleReply(const entry_context& context, const platform_replied& reply)
{
    if (m_pollOperation == reply.operation) {
        m_pollOperation.reset();
        return pollReplied(context, reply.result);
    }
    m_writeOperation.reset();
    return writeReplied(context, reply.result);
}

void configuration_writer::writeNext(const entry_context& context)
{
    if (m_pendingWrites.empty())
        return;
    auto& write = m_pendingWrites.front();
    // The operator sent the change again after a lost reply, and it is already committed. A second row would undo later
    // changes.
    if (const auto committed = context.configuration.findChange(write.request.changeId)) {
        replyCommitted(context, *committed);
        return;
    }
    write.version = context.configuration.version() + 1;
    write.isReadBack = false;
    const accepted_change row { write.version, write.request.changeId, write.request.change };
    m_writeOperation = context.callPlatform(table_put { changeRowKey(write.version), encodeAcceptedChange(row), 0 });
}

bool configuration_writer::pollReplied(const entry_context& context, const platform_result& result)
{
    if (result.status != platform_status::Done)
        return false;
    // There may be more changes, so poll again without delay.
    m_nextPoll = context.now;
    return adoptRow(context, result.rows.at(0));
}

bool configuration_writer::writeReplied(const entry_context& context, const platform_result& result)
{
    auto& write = m_pendingWrites.front();
    switch (result.status) {
    case platform_status::Done:
    case platform_status::Conflict:
        if (!write.isReadBack && result.status == platform_status::Done) {
            const accepted_change own { write.version, write.request.changeId, write.request.change };
            const bool versionRose = context.configuration.adopt(std::span(&own, 1));
            replyCommitted(context, own.version);
            return versionRose;
        }
        return resolveRow(context, result.rows.at(0));
    case platform_status::Unknown:
        if (++write.readBacks <= maxReadBacks) {
            write.isReadBack = true;
            m_writeOperation = context.callPlatform(table_get { changeRowKey(write.version) });
            return false;
        }
        replyRejected(context, 504, "change_unknown", "the table service's reply was lost; send the same change id again");
        return false;
    case platform_status::NotFound:
        writeNext(context);
        return false;
    case platform_status::Unavailable:
        if (write.readBacks > 0) {
            replyRejected(context, 504, "change_unknown", "the change may stand; send the same change id again");
            return false;
        }
        replyRejected(context, 503, "store_down", "the table service can't be reached; nothing was changed");
        return false;
    }
    return false;
}

bool configuration_writer::adoptRow(const entry_context& context, const table_row& row)
{
    const auto change = decodeAcceptedChange(row.value);
    const bool versionRose = context.configuration.adopt(std::span(&change, 1));
    if (versionRose)
        context.recordDecision(decision_kind::ConfigurationAdopted, "configuration", "read from the table service");
    return versionRose;
}

bool configuration_writer::resolveRow(const entry_context& context, const table_row& row)
{
    const auto committed = decodeAcceptedChange(row.value);
    const bool versionRose = adoptRow(context, row);
    if (committed.changeId == m_pendingWrites.front().request.changeId) {
        replyCommitted(context, committed.version);
        return versionRose;
    }
    const accepted_change own { m_pendingWrites.front().version, m_pendingWrites.front().request.changeId,
        m_pendingWrites.front().request.change };
    replyRejected(context, 409, "conflict",
        "another operator's change took this version: " + row.value + "; yours was: " + encodeAcceptedChange(own));
    return versionRose;
}

void configuration_writer::replyCommitted(const entry_context& context, configuration_version version)
{
    const auto number = m_pendingWrites.front().request.number;
    context.effects.emplace_back(reply_document { number, 200, "{\"version\":" + std::to_string(version) + "}" });
    context.recordDecision(decision_kind::ConfigurationAdopted, "configuration", "committed for an operator");
    finishWrite(context);
}

void configuration_writer::replyRejected(const entry_context& context, std::uint16_t status, std::string reason,
    std::string detail)
{
    problem answer { status, execution::NotRun, std::move(reason), std::move(detail), retryDelay };
    if (status == 504)
        answer.outcome = execution::Unknown;
    context.effects.emplace_back(reply_problem { m_pendingWrites.front().request.number, std::move(answer) });
    finishWrite(context);
}

void configuration_writer::finishWrite(const entry_context& context)
{
    m_pendingWrites.pop_front();
    writeNext(context);
}

} // namespace appleramp
