#include "decisions/links/send_queue.h"

#include <criterion/criterion.h>

using namespace appleramp;
using namespace std::chrono_literals;

namespace {

// 6 Mbit/s, half of it for control messages.
constexpr send_queue_settings narrowLink { .bytesPerSecond = 375'000, .burstBytes = 7'500, .maxQueuedBytes = 100'000 };

queued_datagram datagram(std::size_t size, datagram_priority priority, std::string topic = {}, std::string target = "a")
{
    return { std::move(target), std::string(size, 'x'), priority, std::move(topic) };
}

} // namespace

// Pattern: a coordinator sends a map to 25 relays at once over a link of 6 Mbit/s. The link drops what exceeds its rate,
// so what leaves in any span stays within the burst and the rate.
Test(send_queue, a_burst_leaves_at_the_rate_of_the_link)
{
    send_queue queue(instant {}, narrowLink);
    for (int relay = 0; relay < 15; ++relay)
        queue.push(instant {}, datagram(5200, datagram_priority::Proposal, "map", std::to_string(relay)));
    std::size_t sent = 0;
    instant now {};
    while (const auto next = queue.nextSendAt(now)) {
        now = *next;
        for (const queued_datagram& ready : queue.takeReady(now))
            sent += ready.bytes.size() + send_queue::packetOverheadBytes;
        const double elapsed = std::chrono::duration<double>(now.time_since_epoch()).count();
        // One datagram may exceed the tokens; the debt delays the next.
        cr_assert_leq(static_cast<double>(sent), narrowLink.burstBytes + 5228 + elapsed * narrowLink.bytesPerSecond);
    }
    cr_assert_eq(sent, 15 * 5228);
    cr_assert(now <= instant(220ms));
}

// A group is held while it waits for the outcome of a switch, which must not wait behind a map of the next switch.
Test(send_queue, switch_messages_leave_before_maps)
{
    send_queue queue(instant {}, narrowLink);
    for (int relay = 0; relay < 15; ++relay)
        queue.push(instant {}, datagram(5200, datagram_priority::Proposal, "map", std::to_string(relay)));
    cr_assert_eq(queue.takeReady(instant {}).size(), 2);
    queue.push(instant(1ms), datagram(80, datagram_priority::Switch));
    const auto ready = queue.takeReady(*queue.nextSendAt(instant(1ms)));
    cr_assert_eq(ready.front().priority, datagram_priority::Switch);
}

Test(send_queue, a_newer_message_of_the_topic_replaces_the_queued_one)
{
    send_queue queue(instant {}, { .bytesPerSecond = 1000, .burstBytes = 10, .maxQueuedBytes = 10'000 });
    queue.push(instant {}, datagram(100, datagram_priority::Status, "status"));
    cr_assert_eq(queue.takeReady(instant {}).size(), 1);
    queue.push(instant {}, datagram(100, datagram_priority::Status, "status"));
    queue.push(instant {}, datagram(120, datagram_priority::Status, "status"));
    queue.push(instant {}, datagram(50, datagram_priority::Status, "status", "b"));
    cr_assert_eq(queue.queuedBytes(), 170);
    cr_assert_eq(queue.counters(datagram_priority::Status).superseded, 1);
    const auto next = queue.takeReady(instant(10s));
    cr_assert_eq(next.front().bytes.size(), 120);
    // Once it has left, the next one is queued again.
    queue.push(instant(10s), datagram(30, datagram_priority::Status, "status"));
    cr_assert_eq(queue.takeReady(instant(20s)).size(), 1);
}

// A full queue must neither grow nor keep back the messages on which a group waits.
Test(send_queue, a_full_queue_drops_the_lowest_priority_and_counts_it)
{
    send_queue queue(instant {}, { .bytesPerSecond = 1000, .burstBytes = 1, .maxQueuedBytes = 1000 });
    for (int count = 0; count < 10; ++count)
        queue.push(instant {}, datagram(100, datagram_priority::Bulk));
    queue.push(instant {}, datagram(100, datagram_priority::Bulk));
    cr_assert_eq(queue.counters(datagram_priority::Bulk).dropped, 1);
    queue.push(instant {}, datagram(250, datagram_priority::Switch));
    cr_assert_eq(queue.counters(datagram_priority::Bulk).dropped, 4);
    cr_assert_eq(queue.counters(datagram_priority::Switch).dropped, 0);
    cr_assert_leq(queue.queuedBytes(), 1000);
    cr_assert_eq(queue.takeReady(instant {}).front().priority, datagram_priority::Switch);
}

// A datagram larger than the burst must not be stuck.
Test(send_queue, a_large_datagram_leaves_and_delays_the_next)
{
    send_queue queue(instant {}, { .bytesPerSecond = 1000, .burstBytes = 100, .maxQueuedBytes = 10'000 });
    queue.push(instant {}, datagram(2000, datagram_priority::Proposal));
    queue.push(instant {}, datagram(10, datagram_priority::Proposal));
    cr_assert_eq(queue.takeReady(instant {}).size(), 1);
    cr_assert(queue.takeReady(instant(1900ms)).empty());
    cr_assert(*queue.nextSendAt(instant(1900ms)) > instant(1900ms));
    cr_assert_eq(queue.takeReady(*queue.nextSendAt(instant(1900ms))).size(), 1);
    cr_assert_not(queue.nextSendAt(instant(2s)).has_value());
}
