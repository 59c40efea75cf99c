#pragma once

#include "decisions/entry/entry_context.h"
#include "model/key_binding.h"

#include <map>
#include <optional>
#include <string>

namespace appleramp {

// Result of binding or releasing a caller's key.
struct key_result {
    enum class kind {
        // The table contains the wanted binding.
        Bound,
        // The key is free again; the row records that its attempt is proven not to have run.
        Released,
        // The key is bound to another attempt.
        HeldByOther,
        // The key belongs to a request with other content.
        ContentMismatch,
        // The table service can't be reached or the row can't be decoded. The write may have taken effect.
        StoreUnavailable,
    };
    request_number request = 0;
    kind outcome = kind::StoreUnavailable;
    // The row's content and version, for Bound, Released, HeldByOther and ContentMismatch.
    key_binding current;
    row_version version = 0;
};

// Binds callers' idempotency keys to attempts by conditional writes to the table service, so that at most one attempt holds
// a key. If the reply to a write is lost, it reads the row back. request_router dispatches an attempt only when its key is
// bound.
class caller_keys {
public:
    // Binds the key if its row has the expected version. Version zero means that it has no row or a released one.
    void claim(const entry_context& context, request_number request, const idempotency_key& key, key_binding wanted,
        row_version expected);
    // Releases the key. Only allowed for an attempt that is proven not to have run.
    void release(const entry_context& context, request_number request, const idempotency_key& key, key_binding held,
        row_version expected);

    bool owns(operation_number operation) const { return m_pending.contains(operation); }
    // Returns the result, or nothing if a further write or read was sent.
    std::optional<key_result> replied(const entry_context& context, const platform_replied& reply);

private:
    struct pending_step {
        request_number request = 0;
        std::string row;
        key_binding wanted;
        row_version expected = 0;
        bool isReadBack = false;
        int retries = 0;
    };

    void write(const entry_context& context, pending_step step);
    void readBack(const entry_context& context, pending_step step);
    // Continues after the row was found missing: it was never written, or was removed after its retention.
    std::optional<key_result> handleMissingRow(const entry_context& context, const pending_step& step);
    std::optional<key_result> resolveRow(const entry_context& context, const pending_step& step, const table_row& row);

    std::map<operation_number, pending_step> m_pending;
};

} // namespace appleramp
