#pragma once

#include "decisions/entry/entry_context.h"

#include <deque>
#include <optional>
#include <string>

namespace appleramp {

// Key of the table row that holds the change to this version.
std::string changeRowKey(configuration_version version);

// Commits operators' changes one at a time, by conditionally inserting the row of the next version, and polls for changes
// committed by others. configuration_register adopts the committed changes.
class configuration_writer {
public:
    void submitChange(const entry_context& context, const change_requested& change);
    // Reads the next change if the poll interval has passed. The interval is short for an entry that polls for its zone and
    // long for the others, which learn of changes through their links in the meantime.
    void poll(const entry_context& context, bool isPoller);

    bool owns(operation_number operation) const;
    // Returns true if the configuration's version increased.
    bool handleReply(const entry_context& context, const platform_replied& reply);

private:
    struct pending_write {
        change_requested request;
        configuration_version version = 0;
        bool isReadBack = false;
        int readBacks = 0;
    };

    void writeNext(const entry_context& context);
    bool pollReplied(const entry_context& context, const platform_result& result);
    bool writeReplied(const entry_context& context, const platform_result& result);
    bool adoptRow(const entry_context& context, const table_row& row);
    bool resolveRow(const entry_context& context, const table_row& row);
    void replyCommitted(const entry_context& context, configuration_version version);
    void replyRejected(const entry_context& context, std::uint16_t status, std::string reason, std::string detail);
    void finishWrite(const entry_context& context);

    std::deque<pending_write> m_pendingWrites;
    std::optional<operation_number> m_writeOperation;
    std::optional<operation_number> m_pollOperation;
    instant m_nextPoll;
};

} // namespace appleramp
