#pragma once

#include "entry/entry_services.h"

#include <Poco/Net/HTTPRequestHandler.h>

namespace Poco {
class URI;
}

namespace appleramp {

// Serves one request to the operations address: status, metrics, explanations of decisions, and reading or changing the
// configuration.
class operations_handler : public Poco::Net::HTTPRequestHandler {
public:
    explicit operations_handler(entry_services& services);

    void handleRequest(Poco::Net::HTTPServerRequest& request, Poco::Net::HTTPServerResponse& response) override;

private:
    void serveExplanation(const Poco::URI& uri, Poco::Net::HTTPServerRequest& request, Poco::Net::HTTPServerResponse& response);
    void submitChange(Poco::Net::HTTPServerRequest& request, Poco::Net::HTTPServerResponse& response);

    entry_services& m_services;
};

} // namespace appleramp
