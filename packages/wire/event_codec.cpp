#include "wire/event_codec.h"

#include "wire/json_events.h"
#include "wire/wire_error.h"

namespace appleramp {

namespace {

template <typename Value>
std::string toLine(const Value& value)
{
    // Bytes of identifiers that are not valid UTF-8 are replaced here. Bodies, paths and header values are unaffected:
    // they are encoded as binary values if they are not ASCII.
    return nlohmann::json(value).dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

template <typename Value>
Value fromLine(std::string_view line)
{
    try {
        return nlohmann::json::parse(line).get<Value>();
    } catch (const nlohmann::json::exception& cause) {
        throw wire_error(std::string("invalid recorded event: ") + cause.what());
    }
}

} // namespace

std::string encodeEvent(const entry_event& event) { return toLine(event); }
std::string encodeEvent(const agent_event& event) { return toLine(event); }
std::string encodeEffect(const entry_effect& effect) { return toLine(effect); }
std::string encodeEffect(const agent_effect& effect) { return toLine(effect); }
entry_event decodeEntryEvent(std::string_view line) { return fromLine<entry_event>(line); }
agent_event decodeAgentEvent(std::string_view line) { return fromLine<agent_event>(line); }

} // namespace appleramp
