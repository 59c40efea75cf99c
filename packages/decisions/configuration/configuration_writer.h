#pragma once

#include "decisions/entry/entry_context.h"

#include <deque>
#include <optional>
#include <string>

namespace appleramp {

// The table's row for the change that leads to this version.
std::string changeRow(configuration_version version);

// Commits operators' changes, one at a time, by a conditional insert of the next version's row, and polls for the
// changes of others. Works with configuration_register, which adopts what is committed.
class configuration_writer {
public:
    void request(const entry_context& context, const change_requested& change);
    // Reads the next change if the poll interval has passed: short for a poller of its zone, long for the others, who
    // learn of changes by their links in the meantime.
    void poll(const entry_context& context, bool isPoller);

    bool owns(operation_number operation) const;
    // Returns true if the configuration rose.
    bool replied(const entry_context& context, const platform_replied& reply);

private:
    struct pending_write {
        change_requested request;
        configuration_version version = 0;
        bool isReadBack = false;
        int tries = 0;
    };

    void writeNext(const entry_context& context);
    bool pollReplied(const entry_context& context, const platform_result& result);
    bool writeReplied(const entry_context& context, const platform_result& result);
    bool adoptRow(const entry_context& context, const table_row& row);
    bool judgeRow(const entry_context& context, const table_row& row);
    void accepted(const entry_context& context, configuration_version version);
    void refused(const entry_context& context, std::uint16_t status, std::string reason, std::string detail);
    void finishWrite(const entry_context& context);

    std::deque<pending_write> m_writes;
    std::optional<operation_number> m_writing;
    std::optional<operation_number> m_polling;
    instant m_nextPoll;
};

} // namespace appleramp
