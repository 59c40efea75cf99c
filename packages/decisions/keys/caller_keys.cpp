#include "decisions/keys/caller_keys.h"

#include "wire/key_binding_codec.h"
#include "wire/wire_error.h"

#include <cassert>

namespace appleramp {

namespace {

// How many further writes and reads one step may take before the table service counts as unavailable.
constexpr int maxRetries = 3;

std::string rowOf(const idempotency_key& key) { return "keys/" + key.str(); }

key_result storeUnavailable(request_number request) { return { request, key_result::kind::StoreUnavailable, {}, 0 }; }

key_result::kind outcomeFor(const key_binding& wanted)
{
    return wanted.state == binding_state::Bound ? key_result::kind::Bound : key_result::kind::Released;
}

// Empty if the row can't be decoded; the key's state is then unknown.
std::optional<key_binding> decodeBinding(const table_row& row)
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
            return resolveRow(context, step, rows.at(0));
        return key_result { step.request, outcomeFor(step.wanted), step.wanted, rows.at(0).version };
    case platform_status::Conflict:
        return resolveRow(context, step, rows.at(0));
    case platform_status::NotFound:
        // Either the write whose reply was lost did not take effect, or the row was removed since. Writing again on the
        // condition that there is no row is safe in both cases.
        return handleMissingRow(context, step);
    case platform_status::Unknown:
        if (++step.retries > maxRetries)
            return storeUnavailable(step.request);
        readBack(context, std::move(step));
        return std::nullopt;
    case platform_status::Unavailable:
        return storeUnavailable(step.request);
    }
    return storeUnavailable(step.request);
}

std::optional<key_result> caller_keys::handleMissingRow(const entry_context& context, const pending_step& step)
{
    if (step.wanted.state == binding_state::Released)
        return key_result { step.request, key_result::kind::Released, step.wanted, 0 };
    auto next = step;
    next.expected = 0;
    if (++next.retries > maxRetries)
        return storeUnavailable(step.request);
    write(context, std::move(next));
    return std::nullopt;
}

void caller_keys::write(const entry_context& context, pending_step step)
{
    step.isReadBack = false;
    const auto operation = context.callPlatform(table_put { step.row, encodeKeyBinding(step.wanted), step.expected });
    m_pending.emplace(operation, std::move(step));
}

void caller_keys::readBack(const entry_context& context, pending_step step)
{
    step.isReadBack = true;
    const auto operation = context.callPlatform(table_get { step.row });
    m_pending.emplace(operation, std::move(step));
}

std::optional<key_result> caller_keys::resolveRow(const entry_context& context, const pending_step& step,
    const table_row& row)
{
    if (row.version == 0)
        return handleMissingRow(context, step);
    const auto decoded = decodeBinding(row);
    if (!decoded)
        return storeUnavailable(step.request);
    const auto& current = *decoded;
    if (current.attempt == step.wanted.attempt && current.state == step.wanted.state)
        return key_result { step.request, outcomeFor(step.wanted), current, row.version };
    if (current.contentHash != step.wanted.contentHash)
        return key_result { step.request, key_result::kind::ContentMismatch, current, row.version };
    const bool unchanged = row.version == step.expected;
    const bool canTakeOver = step.wanted.state == binding_state::Bound && current.state == binding_state::Released;
    if (!unchanged && !canTakeOver)
        return key_result { step.request, key_result::kind::HeldByOther, current, row.version };
    auto next = step;
    next.expected = row.version;
    if (++next.retries > maxRetries)
        return storeUnavailable(step.request);
    write(context, std::move(next));
    return std::nullopt;
}

} // namespace appleramp
