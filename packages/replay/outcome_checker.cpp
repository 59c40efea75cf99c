#include "replay/outcome_checker.h"

#include "replay/outcome_statement.h"
#include "replay/replay_error.h"
#include "replay/trace_replay.h"

#include <algorithm>
#include <istream>
#include <optional>

namespace appleramp {

namespace {

using effect_list = std::vector<nlohmann::json>;

std::uint64_t countMatches(const effect_list& effects, const nlohmann::json& pattern)
{
    const auto found = std::count_if(
        effects.begin(), effects.end(), [&](const nlohmann::json& effect) { return matches(effect, pattern); });
    return static_cast<std::uint64_t>(found);
}

std::string toText(const nlohmann::json& json) { return json.dump(); }

// One statement and what the trace has shown about it so far.
struct statement_progress {
    std::uint64_t line = 0;
    outcome_statement statement;
    std::uint64_t matchCount = 0;
    // For statements about one event: the effects of that event, once it was replayed.
    std::optional<effect_list> eventEffects;
};

// Updates a statement's progress with the effects of one event.
struct progress_visitor {
    statement_progress& progress;
    std::uint64_t event;
    const effect_list& effects;

    void operator()(const exact_effects& statement) const
    {
        if (statement.event == event)
            progress.eventEffects = effects;
    }
    void operator()(const event_has_effect& statement) const
    {
        if (statement.event == event)
            progress.eventEffects = effects;
    }
    void operator()(const effect_count& statement) const { progress.matchCount += countMatches(effects, statement.pattern); }
    void operator()(const effect_at_least_once& statement) const
    {
        progress.matchCount += countMatches(effects, statement.pattern);
    }
};

// Describes why a statement does not hold at the end of the trace; returns nothing if it holds.
struct failure_visitor {
    const statement_progress& progress;

    std::optional<std::string> operator()(const exact_effects& statement) const
    {
        if (!progress.eventEffects)
            return "the trace has no event " + std::to_string(statement.event);
        if (*progress.eventEffects == statement.effects)
            return std::nullopt;
        return "event " + std::to_string(statement.event) + " has the effects " + toText(*progress.eventEffects);
    }
    std::optional<std::string> operator()(const event_has_effect& statement) const
    {
        if (!progress.eventEffects)
            return "the trace has no event " + std::to_string(statement.event);
        if (countMatches(*progress.eventEffects, statement.pattern) > 0)
            return std::nullopt;
        return "event " + std::to_string(statement.event) + " has no effect that matches " + toText(statement.pattern)
            + " among " + toText(*progress.eventEffects);
    }
    std::optional<std::string> operator()(const effect_count& statement) const
    {
        if (progress.matchCount == statement.count)
            return std::nullopt;
        return std::to_string(progress.matchCount) + " instead of " + std::to_string(statement.count)
            + " effects match " + toText(statement.pattern);
    }
    std::optional<std::string> operator()(const effect_at_least_once& statement) const
    {
        if (progress.matchCount > 0)
            return std::nullopt;
        return "no effect matches " + toText(statement.pattern);
    }
};

bool isStatement(const std::string& line)
{
    const auto first = line.find_first_not_of(" \t\r");
    return first != std::string::npos && line[first] != '#';
}

} // namespace

struct outcome_checker::implementation {
    std::vector<statement_progress> statements;
};

outcome_checker::outcome_checker(std::istream& outcomes, std::string_view sourceName)
    : m_implementation(std::make_unique<implementation>())
{
    std::uint64_t number = 0;
    for (std::string line; std::getline(outcomes, line);) {
        ++number;
        if (!isStatement(line))
            continue;
        try {
            m_implementation->statements.push_back({ number, parseStatement(line) });
        } catch (const replay_error& cause) {
            throw replay_error(std::string(sourceName) + ':' + std::to_string(number) + ": " + cause.what());
        }
    }
}

outcome_checker::~outcome_checker() = default;

void outcome_checker::add(const replayed_event& event)
{
    effect_list effects;
    for (const std::string& text : event.effects)
        effects.push_back(nlohmann::json::parse(text));
    for (statement_progress& progress : m_implementation->statements)
        std::visit(progress_visitor { progress, event.number, effects }, progress.statement);
}

std::uint64_t outcome_checker::statements() const { return m_implementation->statements.size(); }

std::vector<outcome_failure> outcome_checker::failures() const
{
    std::vector<outcome_failure> failures;
    for (const statement_progress& progress : m_implementation->statements) {
        if (auto text = std::visit(failure_visitor { progress }, progress.statement))
            failures.push_back({ progress.line, std::move(*text) });
    }
    return failures;
}

} // namespace appleramp
