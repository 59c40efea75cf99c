#pragma once

#include "stand_ins/http_reply.h"

#include <cstdint>
#include <string>

namespace appleramp::stand_ins {

// One request that an engine has read, and where its answer goes.
struct engine_exchange {
    Poco::Net::HTTPServerRequest& request;
    Poco::Net::HTTPServerResponse& response;
    request_line line;
    std::string body;
    // Round of the engine's pause: ends when the engine falls over.
    std::uint64_t round = 0;
    // The work is done and no load any more; at most the answer's last bytes are still to come.
    bool finished = false;
};

} // namespace appleramp::stand_ins
