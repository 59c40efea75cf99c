#pragma once

#include <string>
#include <string_view>

namespace appleramp {

class decision_journal;

// The decisions of the journal on a subject, as the JSON response to an explain request. If the subject is a traceparent,
// its trace id is looked up instead.
std::string explanationJson(const decision_journal&, std::string_view subject);

} // namespace appleramp
