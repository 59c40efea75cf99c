#pragma once

#include "decisions/maps/schedules/virtual_time.h"
#include "model/platform_call.h"

#include <functional>
#include <map>
#include <random>
#include <string>

namespace appleramp::testing {

// Simulates the table service with outages and lost replies. A write whose reply is lost may take effect late.
class fake_table {
public:
    fake_table(virtual_time& time, std::mt19937_64& random)
        : m_time(time)
        , m_random(random)
    {
    }

    void call(const platform_call& call, std::function<void(platform_result)> reply);

    bool down = false;
    double lostReplyProbability = 0;

private:
    platform_result carryOut(const platform_call& call);
    platform_result carryOut(const table_get& call);
    platform_result carryOut(const table_put& call);
    bool chance(double probability);
    duration delay();

    virtual_time& m_time;
    std::mt19937_64& m_random;
    std::map<std::string, table_row> m_rows;
};

} // namespace appleramp::testing
