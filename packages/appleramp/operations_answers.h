#pragma once

#include "appleramp/operations_client.h"

#include <nlohmann/json_fwd.hpp>

#include <iosfwd>

namespace appleramp {

// The client that the flags --entry and --timeout-ms describe.
operations_client clientFromFlags();

// The answer's document. Throws command_error with the problem's words if the entry refused.
nlohmann::json acceptedDocument(const operations_answer&);

// As JSON or for people, as --json says.
void printDocument(std::ostream& out, const nlohmann::json&);

} // namespace appleramp
