#include "decisions/pace/endpoint_restriction.h"

namespace appleramp {

std::string_view nameOf(restriction_reason reason)
{
    switch (reason) {
    case restriction_reason::Leaving:
        return "leaving";
    case restriction_reason::ZoneOut:
        return "zone_out";
    case restriction_reason::Paused:
        return "paused";
    case restriction_reason::Backoff:
        return "backoff";
    case restriction_reason::Outlier:
        return "outlier";
    case restriction_reason::NamedLimit:
        return "named_limit";
    case restriction_reason::Ramp:
        return "ramp";
    case restriction_reason::Cold:
        break;
    }
    return "cold";
}

} // namespace appleramp
