#pragma once

#include <fstream>
#include <memory>
#include <string>
#include <string_view>

namespace appleramp {

// Records events to a file, one per line, so that they can be replayed.
class event_recorder {
public:
    // Replaces an existing file. Throws runtime_error if the file cannot be opened for writing.
    explicit event_recorder(const std::string& path);
    void write(std::string_view line);

private:
    std::ofstream m_file;
};

// Returns a recorder that has already written the first line, or null if the path is empty.
std::unique_ptr<event_recorder> openRecorder(const std::string& path, std::string_view firstLine);

} // namespace appleramp
