#pragma once

#include "entry/entry_services.h"

#include <Poco/Net/HTTPRequestHandler.h>

namespace appleramp {

// Serves one request of a caller: reads it, posts it to the reducer, writes the reply as its pieces come.
class caller_handler : public Poco::Net::HTTPRequestHandler {
public:
    explicit caller_handler(entry_services& services);

    void handleRequest(Poco::Net::HTTPServerRequest& request, Poco::Net::HTTPServerResponse& response) override;

private:
    entry_services& m_services;
};

// Opens a channel, posts the event that `makeEvent` gives for its number, and writes the reply until it is complete.
// The reducer is told if the caller goes.
void serveByReducer(entry_services& services, Poco::Net::HTTPServerRequest& request,
    Poco::Net::HTTPServerResponse& response, const std::function<entry_event_body(request_number)>& makeEvent);

} // namespace appleramp
