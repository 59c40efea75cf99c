#pragma once

#include "datagrams/datagram_message.h"
#include "decisions/forwarding/forwarding_effects.h"
#include "membership/member_row.h"

#include <boost/asio/ip/udp.hpp>

#include <map>
#include <random>
#include <span>
#include <string>
#include <vector>

namespace appleramp {

class datagram_socket;

// Where the process receives datagrams.
boost::asio::ip::udp::endpoint datagramEndpoint(const member_row& member);

// Sends what an entry tells other processes, in datagrams that fit into one packet each.
class news_sender {
public:
    // `members` are the processes of the deployment by name, as they are known at each send; `self` is this one's name.
    news_sender(datagram_socket& socket, const std::map<std::string, member_row>& members, std::string self);

    // The other entries that are told of a record.
    std::vector<const member_row*> entries(record_recipients which, std::minstd_rand& random) const;

    void send(const datagram_message& message, const member_row& member);
    void sendLimits(std::span<const endpoint_limit_record> records, const member_row& member);
    void sendCrashRecords(std::span<const crash_record> records, const member_row& member);
    void sendDemand(const share_demand& effect);

private:
    datagram_socket& m_socket;
    const std::map<std::string, member_row>& m_members;
    std::string m_self;
};

} // namespace appleramp
