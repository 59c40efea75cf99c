#pragma once

#include <fstream>
#include <string>
#include <string_view>

namespace appleramp {

// Writes one line per event to a file, for replay.
class event_recorder {
public:
    // Throws runtime_error if the file can't be written.
    explicit event_recorder(const std::string& path);
    void write(std::string_view line);

private:
    std::ofstream m_file;
};

} // namespace appleramp
