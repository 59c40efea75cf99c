#pragma once

#include <Poco/Net/HTTPRequestHandler.h>

namespace appleramp {

class decision_journal;
class metrics_registry;

// Serves one request of an operator to an agent: metrics and explanations.
class agent_operations_handler : public Poco::Net::HTTPRequestHandler {
public:
    agent_operations_handler(const decision_journal& journal, const metrics_registry& metrics);

    void handleRequest(Poco::Net::HTTPServerRequest& request, Poco::Net::HTTPServerResponse& response) override;

private:
    const decision_journal& m_journal;
    const metrics_registry& m_metrics;
};

} // namespace appleramp
