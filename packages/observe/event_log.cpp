#include "observe/event_log.h"

#include "decisions/tracing/trace_context.h"
#include "model/effects.h"
#include "model/enum_names.h"
#include "observe/json_log.h"
#include "observe/log_scope.h"

namespace appleramp {

namespace {

enum class log_choice {
    Silent,
    Info,
    Warning,
};

log_choice choiceFor(decision_kind kind)
{
    switch (kind) {
    case decision_kind::ConfigurationAdopted:
    case decision_kind::Membership:
    case decision_kind::Lease:
    case decision_kind::ExpertMap:
    case decision_kind::Suspect:
        return log_choice::Info;
    case decision_kind::KeyUnknown:
        return log_choice::Warning;
    default:
        return log_choice::Silent;
    }
}

std::string textOf(const decision& entry)
{
    return std::string(nameOf(entry.kind)) + " " + entry.subject + ": " + entry.reason;
}

std::string textOf(const finish_span& span)
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
    const log_choice choice = choiceFor(entry.kind);
    if (choice == log_choice::Silent)
        return;
    const log_scope scope(entry.subject, "");
    if (choice == log_choice::Info)
        logInfo(textOf(entry));
    else
        logWarning(textOf(entry));
}

void logSpan(const finish_span& span)
{
    const auto context = isLogged(span) ? trace_context::parse(span.traceparent) : std::nullopt;
    if (!context)
        return;
    const log_scope scope(context->traceId(), context->spanId());
    logInfo(textOf(span));
}

} // namespace appleramp
