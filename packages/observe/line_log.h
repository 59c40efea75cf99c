#pragma once

#include "model/time.h"
#include "observe/json_log.h"

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace appleramp {

struct line_log_settings {
    int fileDescriptor = 1;
    // Lines of one kind in a second; further ones are counted only.
    std::uint32_t linesPerKind = 200;
    // Lines that wait for a slow reader; further ones are counted only.
    std::size_t maxPendingBytes = 256UL * 1024;
};

// Writes decisions as JSON lines: bounded in rate and memory, and never waiting for its reader.
//
// Left-out lines are counted, by kind, in the next line that gets through.
class line_log {
public:
    using inputs = std::vector<std::pair<std::string_view, std::string>>;

    line_log(log_identity identity, line_log_settings settings);
    ~line_log();
    line_log(const line_log&) = delete;
    line_log& operator=(const line_log&) = delete;

    // The request's id may be empty.
    void write(instant now, std::string_view what, std::string_view request, const inputs& values);
    // Hands pending lines to the reader as far as it takes them.
    void flush();
    std::uint64_t leftOut() const { return m_leftOut; }

private:
    struct kind_rate {
        instant windowStart;
        std::uint32_t lines = 0;
        std::uint64_t leftOut = 0;
    };

    bool admits(instant now, kind_rate& rate);

    log_identity m_identity;
    line_log_settings m_settings;
    std::map<std::string, kind_rate, std::less<>> m_rates;
    std::string m_pending;
    std::uint64_t m_leftOut = 0;
};

} // namespace appleramp
