#pragma once

namespace appleramp {

struct decision;
struct finish_span;

// Logs what operators follow in the log rather than in the journal: changes of configuration, membership, leases, maps
// and suspects as information, and keys whose order is unknown as a warning.
void logDecision(const decision&);

// Logs the end of a request or of a call to an endpoint, with its request id and span; other spans are not logged.
void logSpan(const finish_span&);

} // namespace appleramp
