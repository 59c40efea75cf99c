#pragma once

#include "model/time.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <list>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace appleramp {

// Order in which queued datagrams leave; the first leaves first.
enum class datagram_priority {
    // Messages on which a held group waits: requests, outcomes and queries of a map switch.
    Switch,
    // State reports and heartbeats.
    Status,
    // Expert maps and their changes.
    Proposal,
    // Expert choice counts and load reports.
    Bulk,
};

constexpr std::size_t datagramPriorities = 4;

struct send_queue_settings {
    // Long-term rate, including the packet overhead.
    double bytesPerSecond = 0;
    // Bytes that may leave at once after an idle time.
    double burstBytes = 0;
    std::size_t maxQueuedBytes = 0;
};

struct queued_datagram {
    std::string target;
    std::string bytes;
    datagram_priority priority = datagram_priority::Bulk;
    // A queued datagram with the same target and topic is replaced by a newer one. Empty: it is never replaced.
    std::string topic;
};

// Counters of one priority class since the start.
struct send_queue_counters {
    std::uint64_t sent = 0;
    std::uint64_t sentBytes = 0;
    // Replaced by a newer datagram before they left.
    std::uint64_t superseded = 0;
    // Dropped because the queue was full.
    std::uint64_t dropped = 0;
    duration longestDelay {};
};

// Queue of outgoing datagrams that keeps the control traffic of a process below a share of its link, because a link
// drops what exceeds its rate without notice. A token bucket limits the rate; the highest priority leaves first.
class send_queue {
public:
    send_queue(instant now, send_queue_settings settings);

    void push(instant now, queued_datagram datagram);
    // Removes and returns the datagrams that may leave now.
    std::vector<queued_datagram> takeReady(instant now);
    // When the next queued datagram may leave; nothing if the queue is empty.
    std::optional<instant> nextSendAt(instant now) const;

    std::size_t queuedBytes() const { return m_queuedBytes; }
    const send_queue_counters& counters(datagram_priority priority) const { return m_counters[index(priority)]; }

    // IP and UDP headers of a datagram.
    static constexpr std::size_t packetOverheadBytes = 28;

private:
    struct entry {
        queued_datagram datagram;
        instant queuedAt;
    };
    using entries = std::list<entry>;

    static std::size_t index(datagram_priority priority) { return static_cast<std::size_t>(priority); }
    static double costOf(const queued_datagram& datagram) { return static_cast<double>(datagram.bytes.size() + packetOverheadBytes); }

    void refill(instant now);
    bool replaceQueued(queued_datagram& datagram);
    // Drops queued datagrams of lower priority until the new one fits. Returns false if it does not.
    bool makeRoom(const queued_datagram& datagram);
    void erase(std::size_t level, entries::iterator position);

    send_queue_settings m_settings;
    std::array<entries, datagramPriorities> m_queues;
    // Position of each queued datagram that may be replaced, by target and topic.
    std::array<std::map<std::pair<std::string, std::string>, entries::iterator>, datagramPriorities> m_replaceable;
    std::array<send_queue_counters, datagramPriorities> m_counters;
    std::size_t m_queuedBytes = 0;
    double m_tokens;
    instant m_refilledAt;
};

} // namespace appleramp
