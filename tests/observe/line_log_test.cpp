#include "observe/line_log.h"

#include <criterion/criterion.h>
#include <nlohmann/json.hpp>

#include <fcntl.h>
#include <unistd.h>

#include <array>
#include <sstream>
#include <string>
#include <vector>

using namespace appleramp;

namespace {

class test_pipe {
public:
    test_pipe()
    {
        cr_assert_eq(::pipe(m_ends.data()), 0);
        ::fcntl(m_ends[0], F_SETFL, O_NONBLOCK);
    }
    ~test_pipe()
    {
        ::close(m_ends[0]);
        ::close(m_ends[1]);
    }
    int writeEnd() const { return m_ends[1]; }

    std::vector<nlohmann::json> lines()
    {
        std::string text;
        std::array<char, 4096> chunk {};
        for (ssize_t count = ::read(m_ends[0], chunk.data(), chunk.size()); count > 0; count = ::read(m_ends[0], chunk.data(), chunk.size()))
            text.append(chunk.data(), static_cast<std::size_t>(count));
        std::vector<nlohmann::json> result;
        std::istringstream input(text);
        for (std::string line; std::getline(input, line);)
            result.push_back(nlohmann::json::parse(line));
        return result;
    }

private:
    std::array<int, 2> m_ends {};
};

instant at(int milliseconds) { return instant(std::chrono::milliseconds(milliseconds)); }

const log_identity identity { instance_id("e1"), availability_zone_id("a"), 5 };

} // namespace

Test(line_log, a_line_says_who_what_and_from_what)
{
    test_pipe pipe;
    line_log log(identity, { .fileDescriptor = pipe.writeEnd() });
    log.write(at(1500), "placed", "r1", { { "endpoint", "x\"y" } });
    log.flush();
    const auto lines = pipe.lines();
    cr_assert_eq(lines.size(), 1);
    cr_assert_eq(lines[0].at("what").get<std::string>(), "placed");
    cr_assert_eq(lines[0].at("request").get<std::string>(), "r1");
    cr_assert_eq(lines[0].at("endpoint").get<std::string>(), "x\"y");
    cr_assert_eq(lines[0].at("at_ms").get<int>(), 1500);
}

Test(line_log, a_flood_of_one_kind_is_counted_and_leaves_other_kinds_alone)
{
    test_pipe pipe;
    line_log log(identity, { .fileDescriptor = pipe.writeEnd(), .maxLinesPerKindPerSecond = 10 });
    for (int line = 0; line < 100; ++line)
        log.write(at(line), "placed", "r", {});
    log.write(at(100), "refused", "r", {});
    log.write(at(1200), "placed", "r", {});
    log.flush();
    const auto lines = pipe.lines();
    cr_assert_eq(lines.size(), 12);
    cr_assert_eq(lines[10].at("what").get<std::string>(), "refused");
    cr_assert_eq(lines[11].at("left_out").get<int>(), 90);
}

// The log must drop lines and not block when nothing reads the pipe and its buffer is full.
Test(line_log, a_reader_that_stalls_is_not_waited_for)
{
    test_pipe pipe;
    line_log log(identity, { .fileDescriptor = pipe.writeEnd(), .maxLinesPerKindPerSecond = 100000, .maxPendingBytes = 8192 });
    for (int line = 0; line < 3000; ++line) {
        log.write(at(line), "placed", std::string(60, 'r'), {});
        log.flush();
    }
    cr_assert_gt(log.leftOut(), 0);
    cr_assert_gt(pipe.lines().size(), 100);
}
