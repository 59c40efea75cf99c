#include "observe/event_log.h"

#include "decisions/tracing/trace_context.h"
#include "model/effects.h"
#include "model/enum_names.h"
#include "observe/json_log.h"
#include "observe/log_scope.h"

namespace appleramp {

namespace {

enum class decision_log_level {
    NotLogged,
    Info,
    Warning,
};

decision_log_level logLevelFor(decision_kind kind)
{
    switch (kind) {
    case decision_kind::ConfigurationAdopted:
    case decision_kind::Membership:
    case decision_kind::Lease:
    case decision_kind::ExpertMap:
    case decision_kind::Suspect:
        return decision_log_level::Info;
    case decision_kind::KeyUnknown:
        return decision_log_level::Warning;
    default:
        return decision_log_level::NotLogged;
    }
}

std::string messageFor(const decision& entry)
{
    return std::string(nameOf(entry.kind)) + " " + entry.subject + ": " + entry.reason;
}

std::string messageFor(const finish_span& span)
{
    const auto elapsed = std::chrono::duration_cast<std::chrono::microseconds>(span.ended - span.started);
    return span.operation + " " + span.outcome + " after " + std::to_string(elapsed.count()) + " us";
}

bool isLogged(const finish_span& span)
{
    return span.operation == "entry.request" || span.operation == "agent.endpoint";
}

} // namespace

void logDecision(const decision& entry)
{
    const decision_log_level level = logLevelFor(entry.kind);
    if (level == decision_log_level::NotLogged)
        return;
    const log_scope scope(entry.subject, "");
    if (level == decision_log_level::Info)
        logInfo(messageFor(entry));
    else
        logWarning(messageFor(entry));
}

void logSpan(const finish_span& span)
{
    const auto context = isLogged(span) ? trace_context::parse(span.traceparent) : std::nullopt;
    if (!context)
        return;
    const log_scope scope(context->traceId(), context->spanId());
    logInfo(messageFor(span));
}

} // namespace appleramp
