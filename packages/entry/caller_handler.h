#pragma once

#include "entry/entry_services.h"

#include <Poco/Net/HTTPRequestHandler.h>

namespace appleramp {

// Serves one HTTP request of a caller: parses it, posts it to the reducer and writes the pieces of the reply as the
// reducer produces them.
class caller_handler : public Poco::Net::HTTPRequestHandler {
public:
    explicit caller_handler(entry_services& services);

    void handleRequest(Poco::Net::HTTPServerRequest& request, Poco::Net::HTTPServerResponse& response) override;

private:
    entry_services& m_services;
};

// Opens a reply channel, posts the event that `makeEvent` returns for the channel's request number, and writes the reply
// until it is complete. Posts caller_left if the caller disconnects first.
void serveThroughReducer(entry_services& services, Poco::Net::HTTPServerRequest& request,
    Poco::Net::HTTPServerResponse& response, const std::function<entry_event_body(request_number)>& makeEvent);

} // namespace appleramp
