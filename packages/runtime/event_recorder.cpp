#include "runtime/event_recorder.h"

#include "runtime/runtime_error.h"

namespace appleramp {

event_recorder::event_recorder(const std::string& path)
    : m_file(path, std::ios::trunc)
{
    if (!m_file)
        throw runtime_error("cannot open the recording file '" + path + "'");
}

void event_recorder::write(std::string_view line) { m_file << line << '\n'
                                                           << std::flush; }

std::unique_ptr<event_recorder> openRecorder(const std::string& path, std::string_view firstLine)
{
    if (path.empty())
        return nullptr;
    auto recorder = std::make_unique<event_recorder>(path);
    recorder->write(firstLine);
    return recorder;
}

} // namespace appleramp
