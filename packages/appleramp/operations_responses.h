#pragma once

#include "appleramp/operations_client.h"

#include <nlohmann/json_fwd.hpp>

#include <iosfwd>

namespace appleramp {

// Creates the client from the flags --entry and --timeout-ms.
operations_client clientFromFlags();

// Returns the JSON body of a successful response. Throws command_error with the reason and detail from the problem
// document if the entry refused the request.
nlohmann::json parseSuccessfulResponse(const operations_response&);

// Prints the document as JSON if --json is set, else as text for people.
void printDocument(std::ostream& out, const nlohmann::json&);

} // namespace appleramp
