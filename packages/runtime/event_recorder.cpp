#include "runtime/event_recorder.h"

#include "runtime/runtime_error.h"

namespace appleramp {

event_recorder::event_recorder(const std::string& path)
    : m_file(path, std::ios::trunc)
{
    if (!m_file)
        throw runtime_error("can't write the recording to '" + path + "'");
}

void event_recorder::write(std::string_view line) { m_file << line << '\n'
                                                           << std::flush; }

} // namespace appleramp
