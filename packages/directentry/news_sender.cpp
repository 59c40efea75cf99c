#include "directentry/news_sender.h"

#include "datagrams/datagram_codec.h"
#include "datagrams/datagram_socket.h"
#include "http/client_pool.h"

#include <algorithm>
#include <utility>

namespace appleramp {

namespace {

// Crash records of one datagram, so that it fits into one packet.
constexpr std::size_t crashRecordsPerDatagram = 8;
// Entries that are told all records each time, so that all hear of them within a few rounds.
constexpr std::size_t recordRecipients = 3;
// Limits of endpoints in one datagram, as crashRecordsPerDatagram.
constexpr std::size_t limitsPerDatagram = 16;

} // namespace

boost::asio::ip::udp::endpoint datagramEndpoint(const member_row& member)
{
    const auto target = endpointFromText(member.datagramAddress);
    return { target.address(), target.port() };
}

news_sender::news_sender(datagram_socket& socket, const std::map<std::string, member_row>& members, std::string self)
    : m_socket(socket)
    , m_members(members)
    , m_self(std::move(self))
{
}

std::vector<const member_row*> news_sender::entries(record_recipients which, std::minstd_rand& random) const
{
    std::vector<const member_row*> recipients;
    for (const auto& [name, member] : m_members) {
        if (member.isEntry && name != m_self)
            recipients.push_back(&member);
    }
    if (which == record_recipients::SomeEntries) {
        std::shuffle(recipients.begin(), recipients.end(), random);
        recipients.resize(std::min(recipients.size(), recordRecipients));
    }
    return recipients;
}

void news_sender::send(const datagram_message& message, const member_row& member) { m_socket.send(message, datagramEndpoint(member)); }

void news_sender::sendLimits(std::span<const endpoint_limit_record> records, const member_row& member)
{
    for (std::size_t begin = 0; begin < records.size(); begin += limitsPerDatagram) {
        const auto part = records.subspan(begin, std::min(limitsPerDatagram, records.size() - begin));
        send(endpoint_limit_records { { part.begin(), part.end() } }, member);
    }
}

void news_sender::sendCrashRecords(std::span<const crash_record> records, const member_row& member)
{
    for (std::size_t begin = 0; begin < records.size(); begin += crashRecordsPerDatagram) {
        const auto part = records.subspan(begin, std::min(crashRecordsPerDatagram, records.size() - begin));
        send(crash_records { { part.begin(), part.end() } }, member);
    }
}

void news_sender::sendDemand(const share_demand& effect)
{
    const std::string bytes = encodeDatagram(effect.report);
    for (const instance_id& recipient : effect.recipients) {
        if (const auto member = m_members.find(recipient.str()); member != m_members.end())
            m_socket.sendEncoded(bytes, datagramEndpoint(member->second));
    }
}

} // namespace appleramp
