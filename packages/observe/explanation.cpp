#include "observe/explanation.h"

#include "decisions/tracing/trace_context.h"
#include "model/enum_names.h"
#include "observe/decision_journal.h"

#include <nlohmann/json.hpp>

namespace appleramp {

namespace {

nlohmann::json toJson(const decision& entry)
{
    return { { "at_us", entry.at.time_since_epoch().count() }, { "kind", nameOf(entry.kind) },
        { "subject", entry.subject }, { "reason", entry.reason } };
}

} // namespace

std::string explanationJson(const decision_journal& journal, std::string_view subject)
{
    const auto context = trace_context::parse(subject);
    auto decisions = nlohmann::json::array();
    for (const decision& entry : journal.find(context ? context->traceId() : subject))
        decisions.push_back(toJson(entry));
    const nlohmann::json document { { "decisions", std::move(decisions) } };
    return document.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

} // namespace appleramp
