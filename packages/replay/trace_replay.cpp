#include "replay/trace_replay.h"

#include "decisions/agent/agent_reducer.h"
#include "decisions/entry/entry_reducer.h"
#include "replay/replay_error.h"
#include "replay/trace_header.h"
#include "wire/event_codec.h"
#include "wire/wire_error.h"

#include <istream>

namespace appleramp {

namespace {

template <typename Reducer, typename Event>
replayed_event applyEvent(Reducer& reducer, const Event& event, std::uint64_t number)
{
    replayed_event result { number, {} };
    for (const auto& effect : reducer.apply(event))
        result.effects.push_back(encodeEffect(effect));
    return result;
}

// Constructs the reducer that the trace header describes and applies the events of the following lines to it.
class trace_replayer {
public:
    trace_replayer(std::istream& trace, std::string_view name, const replay_observer& observer)
        : m_trace(trace)
        , m_name(name)
        , m_observer(observer)
    {
    }

    process_identity readHeader()
    {
        std::string line;
        std::getline(m_trace, line);
        try {
            return decodeTraceHeader(line);
        } catch (const replay_error& cause) {
            throw replay_error(errorPrefix(1) + cause.what());
        }
    }

    void operator()(const entry_identity& self)
    {
        entry_reducer reducer(self);
        replayLines(reducer, decodeEntryEvent);
    }

    void operator()(const agent_identity& self)
    {
        agent_reducer reducer(self);
        replayLines(reducer, decodeAgentEvent);
    }

private:
    template <typename Reducer, typename Event>
    void replayLines(Reducer& reducer, Event (*decode)(std::string_view))
    {
        std::uint64_t number = 0;
        for (std::string line; std::getline(m_trace, line);) {
            ++number;
            m_observer(applyEvent(reducer, decodeLine(decode, line, number), number));
        }
    }

    template <typename Event>
    Event decodeLine(Event (*decode)(std::string_view), const std::string& line, std::uint64_t number) const
    {
        try {
            return decode(line);
        } catch (const wire_error& cause) {
            throw replay_error(errorPrefix(number + 1) + cause.what());
        }
    }

    std::string errorPrefix(std::uint64_t line) const { return m_name + ':' + std::to_string(line) + ": "; }

    std::istream& m_trace;
    std::string m_name;
    const replay_observer& m_observer;
};

} // namespace

void replayTrace(std::istream& trace, std::string_view sourceName, const replay_observer& observer)
{
    trace_replayer replayer(trace, sourceName, observer);
    std::visit(replayer, replayer.readHeader());
}

} // namespace appleramp
