#pragma once

#include <string>
#include <string_view>

namespace appleramp {

class decision_journal;

// What the journal holds on a subject, as the JSON document of the explain request. A whole traceparent names its trace.
std::string explanationJson(const decision_journal&, std::string_view subject);

} // namespace appleramp
