#pragma once

#include <fstream>
#include <memory>
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

// A recorder that has written its first line, or none if the path is empty.
std::unique_ptr<event_recorder> openRecorder(const std::string& path, std::string_view firstLine);

} // namespace appleramp
