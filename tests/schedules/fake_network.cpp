#include "schedules/fake_network.h"

#include <algorithm>

namespace appleramp::tests {

namespace {

constexpr duration shortestDelay = std::chrono::microseconds(200);
constexpr duration longestDelay = std::chrono::milliseconds(4);
constexpr duration maxReorderDelay = std::chrono::milliseconds(60);
// Percentages of the answers' frames while frame faults are set.
constexpr int percentLost = 10;
constexpr int percentDuplicated = 20;

std::pair<std::string, std::string> orderedPair(const std::string& left, const std::string& right)
{
    return left < right ? std::make_pair(left, right) : std::make_pair(right, left);
}

bool isAnswerFrame(const link_message& message)
{
    return std::holds_alternative<response_head>(message) || std::holds_alternative<response_body>(message)
        || std::holds_alternative<response_end>(message);
}

} // namespace

fake_network::fake_network(event_queue& queue, std::uint64_t seed)
    : m_queue(queue)
    , m_random(seed)
{
}

std::uint64_t fake_network::join(network_node node)
{
    m_nodes[++m_lastNode] = std::move(node);
    return m_lastNode;
}

void fake_network::leave(std::uint64_t node)
{
    m_nodes.erase(node);
    std::vector<std::uint64_t> affected;
    for (const auto& [number, link] : m_connections) {
        if (link.ends[0].node == node || link.ends[1].node == node)
            affected.push_back(number);
    }
    for (const auto number : affected)
        breakConnection(number, node);
}

void fake_network::dial(std::uint64_t node, const instance_id& target, const std::string& address)
{
    m_queue.runAfter(delayBetween(addressOf(node), address),
        [this, node, target, address] { connect(node, target, address); });
}

void fake_network::connect(std::uint64_t dialler, const instance_id& target, const std::string& address)
{
    const auto from = m_nodes.find(dialler);
    if (from == m_nodes.end())
        return;
    const auto to = std::find_if(m_nodes.begin(), m_nodes.end(),
        [&address](const auto& item) { return item.second.address == address; });
    if (to == m_nodes.end() || isCut(from->second.address, address)) {
        from->second.closed({ 0, target });
        return;
    }
    const auto number = ++m_lastConnection;
    auto& link = m_connections[number];
    link.ends[0] = { dialler, ++m_lastLink[dialler], m_queue.now(), target };
    link.ends[1] = { to->first, ++m_lastLink[to->first], m_queue.now(), {} };
    for (int end = 0; end < 2; ++end)
        m_byLink[{ link.ends[end].node, link.ends[end].link }] = { number, end };
    const auto ends = std::make_pair(link.ends[0].link, link.ends[1].link);
    from->second.opened({ ends.first, target });
    to->second.opened({ ends.second, instance_id() });
}

void fake_network::send(std::uint64_t node, link_number link, const link_envelope& envelope)
{
    const auto found = m_byLink.find({ node, link });
    if (found == m_byLink.end())
        return;
    const auto [number, end] = found->second;
    const bool mangled = m_frameFaults && isAnswerFrame(envelope.message);
    std::uniform_int_distribution<int> percent(0, 99);
    if (mangled && percent(m_random) < percentLost)
        return;
    if (mangled && percent(m_random) < percentDuplicated)
        deliver(number, 1 - end, envelope, false);
    deliver(number, 1 - end, envelope, !mangled);
}

void fake_network::deliver(std::uint64_t number, int toEnd, const link_envelope& envelope, bool inOrder)
{
    auto& link = m_connections.at(number);
    auto arrival = m_queue.now() + delayBetween(addressOf(link.ends[0].node), addressOf(link.ends[1].node));
    if (inOrder) {
        arrival = std::max(arrival, link.ends[toEnd].lastArrival);
        link.ends[toEnd].lastArrival = arrival;
    } else {
        std::uniform_int_distribution<duration::rep> extra(0, maxReorderDelay.count());
        arrival += duration(extra(m_random));
    }
    m_queue.runAt(arrival, [this, number, toEnd, envelope] {
        const auto found = m_connections.find(number);
        if (found == m_connections.end())
            return;
        const auto& end = found->second.ends[toEnd];
        const auto node = m_nodes.find(end.node);
        if (node != m_nodes.end())
            node->second.received({ end.link, envelope });
    });
}

void fake_network::close(std::uint64_t node, link_number link)
{
    const auto found = m_byLink.find({ node, link });
    if (found != m_byLink.end())
        breakConnection(found->second.first, 0);
}

void fake_network::breakConnection(std::uint64_t number, std::uint64_t except)
{
    const auto link = m_connections.at(number);
    m_connections.erase(number);
    for (const auto& end : link.ends) {
        m_byLink.erase({ end.node, end.link });
        if (end.node == except)
            continue;
        m_queue.runAfter(shortestDelay, [this, end] {
            const auto node = m_nodes.find(end.node);
            if (node != m_nodes.end())
                node->second.closed({ end.link, end.dialled });
        });
    }
}

void fake_network::cut(const std::string& left, const std::string& right)
{
    m_cuts.insert(orderedPair(left, right));
    std::vector<std::uint64_t> affected;
    for (const auto& [number, link] : m_connections) {
        if (orderedPair(addressOf(link.ends[0].node), addressOf(link.ends[1].node)) == orderedPair(left, right))
            affected.push_back(number);
    }
    for (const auto number : affected)
        breakConnection(number, 0);
}

void fake_network::heal(const std::string& left, const std::string& right) { m_cuts.erase(orderedPair(left, right)); }

bool fake_network::isCut(const std::string& left, const std::string& right) const
{
    return m_cuts.contains(orderedPair(left, right));
}

duration fake_network::delayBetween(const std::string& left, const std::string& right)
{
    std::uniform_int_distribution<duration::rep> delay(shortestDelay.count(), longestDelay.count());
    auto total = duration(delay(m_random));
    for (const auto& address : { left, right }) {
        const auto slow = m_slow.find(address);
        if (slow != m_slow.end())
            total += slow->second;
    }
    return total;
}

std::string fake_network::addressOf(std::uint64_t node) const
{
    const auto found = m_nodes.find(node);
    return found == m_nodes.end() ? std::string() : found->second.address;
}

} // namespace appleramp::tests
