#pragma once

#include "fakes/event_queue.h"
#include "model/events.h"

#include <functional>
#include <map>
#include <random>
#include <set>
#include <string>

namespace appleramp::tests {

// A process's address in the network and its callbacks for link events.
struct network_node {
    std::string address;
    std::function<void(link_opened)> opened;
    std::function<void(link_closed)> closed;
    std::function<void(message_received)> received;
};

// Network of links between processes in virtual time. Like a TCP connection, a link delivers messages in order, with
// random delays. Links can be cut, and frames of answers can be lost, duplicated or reordered.
class fake_network {
public:
    fake_network(event_queue& queue, std::uint64_t seed);

    // Adds a process and returns its node number, which it passes to send, dial and close.
    std::uint64_t join(network_node node);
    // Removes a process and closes its links; the peers see that after a delay.
    void leave(std::uint64_t node);

    void dial(std::uint64_t node, const instance_id& target, const std::string& address);
    void send(std::uint64_t node, link_number link, const link_envelope& envelope);
    void close(std::uint64_t node, link_number link);

    // Breaks all links between two addresses; dials between them fail until heal() is called.
    void cut(const std::string& left, const std::string& right);
    void heal(const std::string& left, const std::string& right);
    // While set, frames of answers may be lost, duplicated or reordered.
    void setFrameFaults(bool on) { m_frameFaults = on; }
    void setSlowAddress(const std::string& address, duration extra) { m_slow[address] = extra; }

private:
    struct side {
        std::uint64_t node = 0;
        link_number link = 0;
        instant lastArrival;
        // The instance that this end dialled; empty if its peer dialled.
        instance_id dialled;
    };
    struct connection {
        side ends[2];
        bool open = true;
    };

    bool isCut(const std::string& left, const std::string& right) const;
    duration delayBetween(const std::string& left, const std::string& right);
    void connect(std::uint64_t dialler, const instance_id& target, const std::string& address);
    void breakConnection(std::uint64_t number, std::uint64_t except);
    void deliver(std::uint64_t number, int toEnd, const link_envelope& envelope, bool inOrder);
    std::string addressOf(std::uint64_t node) const;

    event_queue& m_queue;
    std::mt19937_64 m_random;
    std::map<std::uint64_t, network_node> m_nodes;
    std::map<std::uint64_t, connection> m_connections;
    // Maps (node, its link number) to (connection, end).
    std::map<std::pair<std::uint64_t, link_number>, std::pair<std::uint64_t, int>> m_byLink;
    std::set<std::pair<std::string, std::string>> m_cuts;
    std::map<std::string, duration> m_slow;
    std::map<std::uint64_t, link_number> m_lastLink;
    std::uint64_t m_lastNode = 0;
    std::uint64_t m_lastConnection = 0;
    bool m_frameFaults = false;
};

} // namespace appleramp::tests
