#pragma once

#include "decisions/workload/request_work.h"
#include "model/identifiers.h"

#include <cstddef>
#include <cstdint>
#include <map>

namespace appleramp {

// Work that this entry has sent to one endpoint.
struct endpoint_work {
    // Of all requests in flight.
    std::uint64_t memoryTokens = 0;
    // Prompts of requests whose answer has not begun.
    duration unreadPrompts {};
    // Of requests that the endpoint's last load report does not contain.
    std::uint64_t memorySinceReport = 0;
    duration promptsSinceReport {};
};

// Keeps the expected work of this entry's requests in flight, by endpoint.
class placed_work {
public:
    // Replaces what was recorded for the request's earlier attempt.
    void recordSend(request_number request, const endpoint_id& endpoint, const request_work& work);
    // The endpoint has begun to answer, so it has read the prompt.
    void recordFirstEvent(request_number request);
    void recordEnd(request_number request);
    void recordReport(const endpoint_id& endpoint);
    endpoint_work at(const endpoint_id& endpoint) const;
    std::size_t size() const { return m_requests.size(); }

private:
    struct sent_request {
        endpoint_id endpoint;
        request_work work;
        bool hasBegun = false;
        // The endpoint's report that was the last one when the request was sent.
        std::uint64_t report = 0;
    };
    struct endpoint_total {
        endpoint_work work;
        std::size_t requests = 0;
        std::uint64_t reports = 0;
    };

    std::map<request_number, sent_request> m_requests;
    // Only endpoints with requests in flight.
    std::map<endpoint_id, endpoint_total> m_endpoints;
};

} // namespace appleramp
