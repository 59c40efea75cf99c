#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace appleramp {

struct operations_answer {
    std::uint16_t status = 0;
    std::string body;

    bool isAccepted() const { return status >= 200 && status < 300; }
};

// Asks the operations address of an entry over HTTP. Of several entries it takes the first that can be reached.
class operations_client {
public:
    // Addresses as IP:PORT. Throws usage_error if there is none or one is malformed.
    operations_client(const std::string& addresses, std::uint32_t timeoutMs);

    // Each throws command_error if no entry answers. A post is sent to another entry only if the connection to the one
    // before could not be made; if an answer is lost, the error says that the outcome is unknown.
    operations_answer get(const std::string& pathAndQuery) const;
    operations_answer post(const std::string& path, const std::string& json) const;

private:
    struct address {
        std::string host;
        std::uint16_t port = 0;
    };
    struct outgoing {
        std::string method;
        std::string path;
        std::string body;
    };

    operations_answer send(const outgoing&) const;
    operations_answer sendTo(const address&, const outgoing&) const;

    std::vector<address> m_addresses;
    std::uint32_t m_timeoutMs = 0;
};

} // namespace appleramp
