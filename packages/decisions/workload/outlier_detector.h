#pragma once

#include "decisions/workload/failure_rate.h"
#include "model/identifiers.h"
#include "model/time.h"

#include <cstddef>
#include <map>
#include <optional>

namespace appleramp {

enum class attempt_outcome {
    Sound,
    // Whole, but the first event came far later than expected.
    Late,
    // An error, a reset, or no answer.
    Failed,
};

enum class endpoint_standing {
    In,
    // Gets nothing.
    Out,
    // Gets one repeatable request at a time.
    Probation,
};

// An endpoint was taken out, or is back.
struct standing_change {
    endpoint_standing standing = endpoint_standing::In;
    // For how long it is out.
    duration outFor {};
    double failureRate = 0;
    double peersFailureRate = 0;
};

// Finds the endpoints of one service that fail more often than the others, by what this entry's requests met there.
//
// Such an endpoint is out for a while, and then on probation until some requests in a row are answered well. The time doubles each
// time that it fails again soon. What all endpoints do alike is no fault of one of them, and at most a third is out at once.
class outlier_detector {
public:
    // Returns a change of the endpoint's standing. `endpoints` is the number of the service's endpoints that are in service.
    std::optional<standing_change> record(instant now, const endpoint_id& endpoint, const availability_zone_id& zone, attempt_outcome outcome, std::size_t endpoints);
    // A request was sent to an endpoint on probation.
    void recordSend(instant now, const endpoint_id& endpoint);
    void forget(const endpoint_id& endpoint) { m_endpoints.erase(endpoint); }
    endpoint_standing standing(instant now, const endpoint_id& endpoint) const;
    // False while a request decides on the endpoint's probation.
    bool mayTry(instant now, const endpoint_id& endpoint) const;
    // Until when the endpoint gets nothing; none if it is not out.
    std::optional<instant> outUntil(instant now, const endpoint_id& endpoint) const;
    // By how much likelier a request fails there than elsewhere, by the attempts at the endpoint and in its zone.
    double excessRisk(instant now, const endpoint_id& endpoint, const availability_zone_id& zone) const;
    // Endpoints that are out or on probation.
    std::size_t outCount() const;

    static constexpr duration firstOutTime = std::chrono::seconds(1);
    static constexpr duration maxOutTime = std::chrono::seconds(8);

private:
    struct endpoint_record {
        failure_rate rate;
        bool isOut = false;
        instant outUntil;
        // How often the endpoint was taken out, less one for each forgiveTime since.
        unsigned strikes = 0;
        instant strikesUpdatedAt;
        // Requests in a row that were answered well on probation.
        unsigned soundOnProbation = 0;
        std::optional<instant> triedAt;
    };

    double zoneRate(instant now, const availability_zone_id& zone, double rateOfAll) const;
    void forgive(instant now, endpoint_record& record) const;
    standing_change takeOut(instant now, endpoint_record& record, double peersRate);

    std::map<endpoint_id, endpoint_record> m_endpoints;
    struct zone_record {
        failure_rate rate;
        unsigned failedInRow = 0;
    };

    std::map<availability_zone_id, zone_record> m_zones;
    failure_rate m_all;
};

} // namespace appleramp
