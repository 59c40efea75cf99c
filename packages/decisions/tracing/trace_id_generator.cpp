#include "decisions/tracing/trace_id_generator.h"

namespace appleramp {

trace_id_generator::trace_id_generator(std::uint64_t seed)
    : m_random(seed)
{
}

std::uint64_t trace_id_generator::next()
{
    std::uint64_t id = 0;
    while (id == 0)
        id = m_random();
    return id;
}

} // namespace appleramp
