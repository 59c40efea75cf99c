#include "decisions/forwarding/forwarding_reducer.h"

#include <criterion/criterion.h>

#include <algorithm>
#include <string>
#include <vector>

using namespace appleramp;
using namespace std::chrono_literals;

namespace {

const service_id drafts("drafts");
constexpr duration callerTimeout = 8s;
constexpr std::uint32_t maxAttempts = 2;

routing_configuration configuration()
{
    route drafting;
    drafting.name = "drafting";
    drafting.host = "a.example";
    drafting.prefix = "/draft/";
    drafting.kind = route_kind::Stream;
    drafting.resumable = true;
    drafting.services = { { drafts, 1 } };
    drafting.timeout = callerTimeout;
    drafting.latencyTarget = 500ms;
    drafting.maxAttempts = maxAttempts;
    drafting.isPublic = true;
    routing_configuration result;
    result.version = 1;
    result.routes = { drafting };
    return result;
}

// An entry at second 20 before some endpoints with free slots; its stream has begun, and its endpoint says nothing more.
class entry_with_silent_stream {
public:
    explicit entry_with_silent_stream(int endpoints)
        : m_reducer(instant {}, {})
    {
        handle(entry_count_read { now, 1 });
        handle(configuration_read { now, now, configuration() });
        std::vector<endpoint_record> records;
        for (int index = 1; index <= endpoints; ++index) {
            const std::string name = std::to_string(index);
            records.push_back({ endpoint_id("d" + name), drafts, "10.0.0.1:" + name, availability_zone_id("a"), 12, false, {} });
        }
        handle(registry_read { now, records });
        for (const endpoint_record& record : records)
            handle(endpoint_load_received { now, { record.address, 2, 0, 1.0, true } });
        caller_request caller;
        caller.host = "a.example";
        caller.path = "/draft/x";
        caller.sendId = "s1";
        caller.timeout = callerTimeout;
        handle(request_arrived { now, stream, caller });
        first = sentTo();
        handle(stream_advanced { now, stream, std::nullopt });
        now += 1500ms;
        for (const endpoint_record& record : records)
            handle(endpoint_load_received { now, { record.address, 2, 0, 1.0, true } });
        handle(attempt_silent { now, stream, true });
        second = sentTo();
    }

    void handle(const forwarding_event& event) { m_effects = m_reducer.handle(event); }

    void end(attempt_ending ending) { handle(attempt_ended { now, stream, ending, true, {} }); }

    template <typename Effect>
    bool has() const
    {
        return std::any_of(m_effects.begin(), m_effects.end(), [](const auto& each) { return std::holds_alternative<Effect>(each); });
    }

    // Empty if the latest event sent nothing.
    std::string sentTo() const
    {
        const auto found = std::find_if(m_effects.begin(), m_effects.end(), [](const auto& each) { return std::holds_alternative<send_attempt>(each); });
        return found == m_effects.end() ? std::string() : std::get<send_attempt>(*found).endpoint.str();
    }

    bool isBrokenOff() const { return has<abort_answer>() || has<refuse_request>(); }
    std::size_t retriesGranted() const { return m_reducer.retryTotals().granted; }

    static constexpr request_number stream = 1;
    instant now { 20s };
    std::string first;
    std::string second;

private:
    forwarding_reducer m_reducer;
    forwarding_effects m_effects;
};

} // namespace

// Guards against a sound stream that is broken off because the endpoint that was to replace its own one turns out to be full (LOST): the
// rejected attempt did not run, and yet it used up the last one of the request.
Test(rejected_replacement, sends_the_stream_to_a_third_endpoint)
{
    entry_with_silent_stream entry(3);
    cr_assert(!entry.second.empty());
    entry.end(attempt_ending::Rejected);
    cr_assert(!entry.isBrokenOff());
    cr_assert(!entry.sentTo().empty());
    cr_assert_neq(entry.sentTo(), entry.second);
    // A request is sent again only within the retry budget.
    cr_assert_eq(entry.retriesGranted(), 2);
}

Test(rejected_replacement, returns_the_stream_to_its_first_endpoint_where_there_is_no_third)
{
    entry_with_silent_stream entry(2);
    entry.end(attempt_ending::Rejected);
    cr_assert(!entry.isBrokenOff());
    cr_assert_eq(entry.sentTo(), entry.first);
}

Test(rejected_replacement, by_another_endpoint_at_the_address_counts_as_little)
{
    entry_with_silent_stream entry(3);
    entry.end(attempt_ending::WrongEndpoint);
    cr_assert(!entry.isBrokenOff());
    cr_assert(!entry.sentTo().empty());
}

Test(rejected_replacement, that_was_never_sent_leaves_the_first_endpoint)
{
    entry_with_silent_stream entry(2);
    entry.end(attempt_ending::NotSent);
    cr_assert(!entry.isBrokenOff());
    cr_assert_eq(entry.sentTo(), entry.first);
}

// The request runs at no more endpoints than its route allows, and is sent to no more than one beyond them.
Test(rejected_replacement, is_sent_once_more_only)
{
    entry_with_silent_stream entry(5);
    entry.end(attempt_ending::Rejected);
    cr_assert(!entry.sentTo().empty());
    entry.end(attempt_ending::Rejected);
    cr_assert(entry.sentTo().empty());
    cr_assert(entry.has<abort_answer>());
}

Test(rejected_replacement, leaves_no_attempt_once_the_next_one_ran)
{
    entry_with_silent_stream entry(5);
    entry.end(attempt_ending::Rejected);
    cr_assert(!entry.sentTo().empty());
    entry.handle(attempt_silent { entry.now + 1500ms, entry_with_silent_stream::stream, true });
    cr_assert(entry.sentTo().empty());
    entry.end(attempt_ending::TruncatedAnswer);
    cr_assert(entry.has<abort_answer>());
}

Test(rejected_replacement, that_ran_is_not_sent_again)
{
    entry_with_silent_stream entry(5);
    entry.end(attempt_ending::TruncatedAnswer);
    cr_assert(entry.sentTo().empty());
    cr_assert(entry.has<abort_answer>());
}
