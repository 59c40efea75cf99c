#pragma once

#include "decisions/entry/entry_context.h"
#include "model/key_binding.h"

#include <map>
#include <optional>
#include <string>

namespace appleramp {

// What came of a step on a caller's key.
struct key_result {
    enum class kind {
        // The wanted binding stands in the table.
        Bound,
        // The key is free again; the proof that its attempt did not run is recorded.
        Released,
        // Another attempt holds the key.
        HeldByOther,
        // The key stands for a request with other content.
        OtherContent,
        // The table can't be reached, and this step took no effect or may have.
        StoreDown,
    };
    request_number request = 0;
    kind outcome = kind::StoreDown;
    // The row as it stands, for Bound, Released, HeldByOther and OtherContent.
    key_binding standing;
    row_version version = 0;
};

// Binds callers' keys to attempts by conditional writes to the table service: at most one attempt holds a key, and a
// lost reply is read back until the row is known. Works with request_router, which dispatches only what is bound.
class caller_keys {
public:
    // Binds the key if its row has the expected version; zero: if it has no row, or a released one.
    void claim(const entry_context& context, request_number request, const idempotency_key& key, key_binding wanted,
        row_version expected);
    // Frees the key. Only for an attempt that is proven not to have run.
    void release(const entry_context& context, request_number request, const idempotency_key& key, key_binding held,
        row_version expected);

    bool owns(operation_number operation) const { return m_pending.contains(operation); }
    // Nothing if a further step was needed.
    std::optional<key_result> replied(const entry_context& context, const platform_replied& reply);

private:
    struct pending_step {
        request_number request = 0;
        std::string row;
        key_binding wanted;
        row_version expected = 0;
        bool isReadBack = false;
        int tries = 0;
    };

    void write(const entry_context& context, pending_step step);
    void readBack(const entry_context& context, pending_step step);
    // The key's row is past its retention and was removed.
    std::optional<key_result> rowIsGone(const entry_context& context, const pending_step& step);
    std::optional<key_result> judgeRow(const entry_context& context, const pending_step& step, const table_row& row);

    std::map<operation_number, pending_step> m_pending;
};

} // namespace appleramp
