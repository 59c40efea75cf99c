#pragma once

#include "model/identifiers.h"

#include <string_view>

namespace appleramp {

enum class log_severity {
    Info,
    Warning,
    Error,
};

// What every line of a process's log says of its writer.
struct log_identity {
    instance_id instance;
    availability_zone_id zone;
    incarnation sender = 0;
};

// Sends all that glog logs to a file descriptor as JSON lines: time, level, message, source, instance, zone,
// incarnation, and request and span of the log_scope that the thread is in. Nothing goes to files. Lasts until the
// process ends; a second call replaces identity, severity and descriptor.
void installJsonLog(const log_identity&, log_severity least, int fileDescriptor);

// The same, to standard error.
void installJsonLog(const log_identity&, log_severity least);

void logInfo(std::string_view message);
void logWarning(std::string_view message);
void logError(std::string_view message);

} // namespace appleramp
