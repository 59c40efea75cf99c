#pragma once

#include "entry/entry_services.h"

#include <Poco/Net/HTTPRequestHandler.h>

namespace Poco {
class URI;
}

namespace appleramp {

// Serves one request of an operator: status, metrics, explanations and configuration changes.
class operations_handler : public Poco::Net::HTTPRequestHandler {
public:
    explicit operations_handler(entry_services& services);

    void handleRequest(Poco::Net::HTTPServerRequest& request, Poco::Net::HTTPServerResponse& response) override;

private:
    void explain(const Poco::URI& uri, Poco::Net::HTTPServerRequest& request, Poco::Net::HTTPServerResponse& response);
    void change(Poco::Net::HTTPServerRequest& request, Poco::Net::HTTPServerResponse& response);

    entry_services& m_services;
};

} // namespace appleramp
