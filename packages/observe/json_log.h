#pragma once

#include "model/identifiers.h"

#include <string_view>

namespace appleramp {

enum class log_severity {
    Info,
    Warning,
    Error,
};

// Identifies the process in every line of its log.
struct log_identity {
    instance_id instance;
    availability_zone_id zone;
    incarnation processIncarnation = 0;
};

// Replaces the outputs of glog: all messages are written to a file descriptor as JSON lines with time, level, message,
// source, instance, zone, incarnation, and request and span of the innermost log_scope of the thread. No log files are
// written. Stays in effect until the process ends; a second call replaces identity, severity and descriptor.
void installJsonLog(const log_identity&, log_severity minSeverity, int fileDescriptor);

// Same as above, writing to standard error.
void installJsonLog(const log_identity&, log_severity minSeverity);

void logInfo(std::string_view message);
void logWarning(std::string_view message);
void logError(std::string_view message);

} // namespace appleramp
