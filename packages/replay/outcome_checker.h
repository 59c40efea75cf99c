#pragma once

#include <cstdint>
#include <iosfwd>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace appleramp {

struct replayed_event;

// A stated outcome that did not come out.
struct outcome_failure {
    // Line of the file of outcomes.
    std::uint64_t line = 0;
    std::string text;
};

// Compares what a replay gives with stated outcomes, one JSON object a line; empty lines and lines that begin with #
// are passed over.
class outcome_checker {
public:
    // Throws replay_error naming the file and the line that can't be read.
    outcome_checker(std::istream& outcomes, std::string_view nameForErrors);
    ~outcome_checker();

    // Takes the replayed events in their order.
    void add(const replayed_event&);

    std::uint64_t statements() const;
    // What is not so, once all events were added.
    std::vector<outcome_failure> failures() const;

private:
    struct implementation;
    std::unique_ptr<implementation> m_implementation;
};

} // namespace appleramp
