#include "decisions/keys/caller_keys.h"

#include "wire/key_binding_codec.h"
#include "wire/wire_error.h"

#include <cassert>

namespace appleramp {

namespace {

// Further writes or reads of one step before the store counts as down.
constexpr int maxTries = 3;

std::string rowOf(const idempotency_key& key) { return "keys/" + key.str(); }

key_result downFor(request_number request) { return { request, key_result::kind::StoreDown, {}, 0 }; }

key_result::kind reached(const key_binding& wanted)
{
    return wanted.state == binding_state::Bound ? key_result::kind::Bound : key_result::kind::Released;
}

// Nothing if the row can't be read: then nothing is known of the key.
std::optional<key_binding> readBinding(const table_row& row)
{
    try {
        return decodeKeyBinding(row.value);
    } catch (const wire_error&) {
        return std::nullopt;
    }
}

} // namespace

void caller_keys::claim(const entry_context& context, request_number request, const idempotency_key& key,
    key_binding wanted, row_version expected)
{
    wanted.state = binding_state::Bound;
    write(context, { request, rowOf(key), wanted, expected });
}

void caller_keys::release(const entry_context& context, request_number request, const idempotency_key& key,
    key_binding held, row_version expected)
{
    held.state = binding_state::Released;
    write(context, { request, rowOf(key), held, expected });
}

std::optional<key_result> caller_keys::replied(const entry_context& context, const platform_replied& reply)
{
    auto node = m_pending.extract(reply.operation);
    assert(!node.empty());
    auto step = std::move(node.mapped());
    const auto& rows = reply.result.rows;
    switch (reply.result.status) {
    case platform_status::Done:
        if (step.isReadBack)
            return judgeRow(context, step, rows.at(0));
        return key_result { step.request, reached(step.wanted), step.wanted, rows.at(0).version };
    case platform_status::Conflict:
        return judgeRow(context, step, rows.at(0));
    case platform_status::NotFound:
        // The lost write did not take effect, or the row has gone since: a conditional write decides.
        return rowIsGone(context, step);
    case platform_status::Unknown:
        if (++step.tries > maxTries)
            return downFor(step.request);
        readBack(context, std::move(step));
        return std::nullopt;
    case platform_status::Unavailable:
        return downFor(step.request);
    }
    return downFor(step.request);
}

std::optional<key_result> caller_keys::rowIsGone(const entry_context& context, const pending_step& step)
{
    if (step.wanted.state == binding_state::Released)
        return key_result { step.request, key_result::kind::Released, step.wanted, 0 };
    auto next = step;
    next.expected = 0;
    if (++next.tries > maxTries)
        return downFor(step.request);
    write(context, std::move(next));
    return std::nullopt;
}

void caller_keys::write(const entry_context& context, pending_step step)
{
    step.isReadBack = false;
    const auto operation = context.call(table_put { step.row, encodeKeyBinding(step.wanted), step.expected });
    m_pending.emplace(operation, std::move(step));
}

void caller_keys::readBack(const entry_context& context, pending_step step)
{
    step.isReadBack = true;
    const auto operation = context.call(table_get { step.row });
    m_pending.emplace(operation, std::move(step));
}

std::optional<key_result> caller_keys::judgeRow(const entry_context& context, const pending_step& step,
    const table_row& row)
{
    if (row.version == 0)
        return rowIsGone(context, step);
    const auto decoded = readBinding(row);
    if (!decoded)
        return downFor(step.request);
    const auto& standing = *decoded;
    if (standing.attempt == step.wanted.attempt && standing.state == step.wanted.state)
        return key_result { step.request, reached(step.wanted), standing, row.version };
    if (standing.contentHash != step.wanted.contentHash)
        return key_result { step.request, key_result::kind::OtherContent, standing, row.version };
    const bool unchanged = row.version == step.expected;
    const bool mayTake = step.wanted.state == binding_state::Bound && standing.state == binding_state::Released;
    if (!unchanged && !mayTake)
        return key_result { step.request, key_result::kind::HeldByOther, standing, row.version };
    auto next = step;
    next.expected = row.version;
    if (++next.tries > maxTries)
        return downFor(step.request);
    write(context, std::move(next));
    return std::nullopt;
}

} // namespace appleramp
