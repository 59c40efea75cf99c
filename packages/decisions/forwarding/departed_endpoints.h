#pragma once

#include "model/endpoint_news.h"
#include "model/time.h"

#include <cstddef>
#include <cstdint>
#include <map>

namespace appleramp {

// Remembers the incarnations of endpoints that have left, so that a registry that went back to an older copy does not bring
// them into use again.
class departed_endpoints {
public:
    // The endpoint itself announced that it leaves. Only a later incarnation is used again. Returns true if this is new.
    bool recordLeaving(instant now, const endpoint_record& record);
    // The registry no longer lists the endpoint, or lists it as leaving.
    void recordUnlisted(instant now, const endpoint_record& record);
    // The store came back from an older copy. Endpoints that were unlisted before are used again only if they are still
    // listed after `distrustPeriod`: an endpoint that lives renews its row in that time.
    void onStoreRestored(instant now);
    bool excludes(instant now, const endpoint_record& record) const;
    void removeExpired(instant now);
    std::size_t size() const { return m_departures.size(); }

    // Longer than the heartbeats after which the registry drops a silent endpoint, plus its own recovery time.
    static constexpr duration distrustPeriod = std::chrono::seconds(6);
    // Endpoints are gone, and copies of the store overwritten, long before this time.
    static constexpr duration memory = std::chrono::minutes(10);
    static constexpr std::size_t maxDepartures = 4096;

private:
    struct departure {
        std::uint64_t startedAtMs = 0;
        bool saidSo = false;
        instant at;
    };

    void remember(instant now, const endpoint_record& record, bool saidSo);

    std::map<endpoint_id, departure> m_departures;
    instant m_distrustUntil;
};

} // namespace appleramp
