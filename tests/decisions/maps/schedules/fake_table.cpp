#include "decisions/maps/schedules/fake_table.h"

#include <utility>

namespace appleramp::testing {

void fake_table::call(const platform_call& call, std::function<void(platform_result)> reply)
{
    m_time.post(delay(), [this, call, reply = std::move(reply)] {
        if (down) {
            m_time.post(delay(), [reply] { reply({ platform_status::Unavailable, {} }); });
            return;
        }
        if (!chance(lostReplyProbability)) {
            const auto result = carryOut(call);
            m_time.post(delay(), [reply, result] { reply(result); });
            return;
        }
        const duration late = chance(0.5) ? std::chrono::milliseconds(700) : std::chrono::milliseconds(0);
        m_time.post(late, [this, call] { carryOut(call); });
        m_time.post(delay(), [reply] { reply({ platform_status::Unknown, {} }); });
    });
}

platform_result fake_table::carryOut(const platform_call& call)
{
    if (const auto* get = std::get_if<table_get>(&call))
        return carryOut(*get);
    if (const auto* put = std::get_if<table_put>(&call))
        return carryOut(*put);
    return { platform_status::Unavailable, {} };
}

platform_result fake_table::carryOut(const table_get& call)
{
    const auto row = m_rows.find(call.key);
    if (row == m_rows.end())
        return { platform_status::NotFound, {} };
    return { platform_status::Done, { row->second } };
}

platform_result fake_table::carryOut(const table_put& call)
{
    auto& row = m_rows[call.key];
    if (row.version != call.expected) {
        if (row.version == 0)
            return { platform_status::NotFound, {} };
        return { platform_status::Conflict, { row } };
    }
    row = { call.key, call.value, row.version + 1 };
    return { platform_status::Done, { row } };
}

bool fake_table::chance(double probability)
{
    return std::uniform_real_distribution<double>()(m_random) < probability;
}

duration fake_table::delay()
{
    return duration(std::uniform_int_distribution<int>(500, 4000)(m_random));
}

} // namespace appleramp::testing
