#pragma once

#include "decisions/forwarding/arrival_rate.h"
#include "model/identifiers.h"
#include "model/time.h"

#include <cstddef>
#include <map>

namespace appleramp {

struct repeat_settings {
    // Repeats that all entries together may send a service in a window: a share of its requests, and a constant.
    double ratio = 0.2;
    double constant = 90;
    duration window = std::chrono::seconds(10);
    // Part of the budget that is used, since entries count their windows apart.
    double use = 0.8;
};

// One entry's share of the budget of repeated sends, by service.
//
// Each entry uses the ratio on its own requests and an equal part of the constant, so the sum over all entries keeps
// the budget even while they can't hear each other.
class repeat_allowance {
public:
    explicit repeat_allowance(repeat_settings settings)
        : m_settings(settings)
    {
    }

    void noteRequest(instant now, const service_id& service);
    // Takes one repeat if the budget has room.
    bool take(instant now, const service_id& service, std::size_t entries);

private:
    struct service_use {
        arrival_rate requests;
        arrival_rate repeats;
    };

    service_use& use(const service_id& service);

    repeat_settings m_settings;
    std::map<service_id, service_use> m_services;
};

} // namespace appleramp
