#pragma once

namespace appleramp {

struct decision;
struct finish_span;

// Logs a decision if operators need it in the log and not only in the decision journal: changes of configuration,
// membership, leases, expert maps and suspects at level info, and requests whose idempotency key has an unknown outcome
// (KeyUnknown) at level warning.
void logDecision(const decision&);

// Logs spans of whole requests at the entry and of calls to an endpoint, with trace id and span id. Other spans, and
// spans whose traceparent is not valid, are not logged.
void logSpan(const finish_span&);

} // namespace appleramp
