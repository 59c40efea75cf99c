#pragma once

#include <cstdint>
#include <iosfwd>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace appleramp {

struct replayed_event;

// A statement that does not hold for the replayed trace.
struct outcome_failure {
    // Line of the statement in the outcomes file.
    std::uint64_t line = 0;
    std::string text;
};

// Checks the effects of a replay against an outcomes file. The file holds one statement per line as a JSON object;
// empty lines and lines that begin with # are ignored.
class outcome_checker {
public:
    // Throws replay_error with the file name and line number of the first invalid statement.
    outcome_checker(std::istream& outcomes, std::string_view sourceName);
    ~outcome_checker();

    // Must be called for each replayed event, in the order of the trace.
    void add(const replayed_event&);

    std::uint64_t statements() const;
    // Statements that do not hold. Call it after all events were added.
    std::vector<outcome_failure> failures() const;

private:
    struct implementation;
    std::unique_ptr<implementation> m_implementation;
};

} // namespace appleramp
