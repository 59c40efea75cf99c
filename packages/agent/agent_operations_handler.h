#pragma once

#include <Poco/Net/HTTPRequestHandler.h>

namespace appleramp {

class decision_journal;
class metrics_registry;

// Serves one request to an agent's operations address: metrics and explanations of decisions.
class agent_operations_handler : public Poco::Net::HTTPRequestHandler {
public:
    agent_operations_handler(const decision_journal& journal, const metrics_registry& metrics);

    void handleRequest(Poco::Net::HTTPServerRequest& request, Poco::Net::HTTPServerResponse& response) override;

private:
    const decision_journal& m_journal;
    const metrics_registry& m_metrics;
};

} // namespace appleramp
