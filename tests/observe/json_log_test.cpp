#include "observe/json_log.h"

#include "observe/log_scope.h"

#include <criterion/criterion.h>
#include <glog/logging.h>
#include <nlohmann/json.hpp>

#include <unistd.h>

#include <array>
#include <sstream>
#include <vector>

using namespace appleramp;

namespace {

// Captures the log in a pipe, which is read only at the end: what a test logs must fit into the pipe buffer.
class captured_log {
public:
    explicit captured_log(log_severity minSeverity)
    {
        cr_assert_eq(::pipe(m_pipe.data()), 0);
        installJsonLog({ instance_id("entry-1"), availability_zone_id("zone-a"), 42 }, minSeverity, m_pipe[1]);
    }

    ~captured_log() { ::close(m_pipe[0]); }

    std::vector<nlohmann::json> read()
    {
        ::close(m_pipe[1]);
        std::string text;
        std::array<char, 4096> buffer {};
        for (ssize_t n = 0; (n = ::read(m_pipe[0], buffer.data(), buffer.size())) > 0;)
            text.append(buffer.data(), static_cast<std::size_t>(n));
        std::vector<nlohmann::json> entries;
        std::istringstream lines(text);
        for (std::string line; std::getline(lines, line);)
            entries.push_back(nlohmann::json::parse(line));
        return entries;
    }

private:
    std::array<int, 2> m_pipe {};
};

} // namespace

Test(json_log, a_line_holds_time_level_message_and_writer)
{
    captured_log log(log_severity::Info);
    logWarning("disk \"full\"\nreally");
    const auto entries = log.read();
    cr_assert_eq(entries.size(), 1u);
    cr_assert_eq(entries[0].at("level"), "warning");
    cr_assert_eq(entries[0].at("message"), "disk \"full\"\nreally");
    cr_assert_eq(entries[0].at("instance"), "entry-1");
    cr_assert_eq(entries[0].at("zone"), "zone-a");
    cr_assert_eq(entries[0].at("incarnation"), 42);
    cr_assert(!entries[0].contains("request"));
    const std::string time = entries[0].at("time");
    cr_assert_eq(time.size(), std::string("2026-01-31T12:34:56.123456Z").size(), "%s", time.c_str());
    cr_assert_eq(time.back(), 'Z');
}

Test(json_log, a_scope_adds_request_and_span_and_scopes_nest)
{
    captured_log log(log_severity::Info);
    {
        const log_scope outer("request-1", "span-1");
        {
            const log_scope inner("request-2", "span-2");
            LOG(INFO) << "inner";
        }
        logInfo("outer");
    }
    logInfo("none");
    const auto entries = log.read();
    cr_assert_eq(entries.size(), 3u);
    cr_assert_eq(entries[0].at("request"), "request-2");
    cr_assert_eq(entries[1].at("request"), "request-1");
    cr_assert_eq(entries[1].at("span"), "span-1");
    cr_assert(!entries[2].contains("span"));
}

Test(json_log, lesser_severities_are_left_out)
{
    captured_log log(log_severity::Warning);
    logInfo("info");
    logError("error");
    const auto entries = log.read();
    cr_assert_eq(entries.size(), 1u);
    cr_assert_eq(entries[0].at("message"), "error");
}

Test(json_log, bytes_that_are_no_text_do_not_break_a_line)
{
    captured_log log(log_severity::Info);
    logInfo("bad \xff byte");
    cr_assert_eq(log.read().size(), 1u);
}
