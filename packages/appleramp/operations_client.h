#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace appleramp {

struct operations_response {
    std::uint16_t status = 0;
    std::string body;

    bool isSuccess() const { return status >= 200 && status < 300; }
};

// Sends HTTP requests to the operations address of an entry: of several entries, to the first that can be reached.
class operations_client {
public:
    // Takes addresses as IP:PORT, separated by commas. Throws usage_error if there is none or one is malformed.
    operations_client(const std::string& addresses, std::uint32_t timeoutMs);

    // Both throw command_error if no entry can be reached. The request is sent to the next entry only if the connection to
    // the previous one could not be established, so no entry receives a change after another one may have executed it. If
    // the response is lost, the error says that the outcome is unknown.
    operations_response get(const std::string& pathAndQuery) const;
    operations_response post(const std::string& path, const std::string& json) const;

private:
    struct address {
        std::string host;
        std::uint16_t port = 0;
    };
    struct outgoing_request {
        std::string method;
        std::string path;
        std::string body;
    };

    operations_response send(const outgoing_request&) const;
    operations_response sendTo(const address&, const outgoing_request&) const;

    std::vector<address> m_addresses;
    std::uint32_t m_timeoutMs = 0;
};

} // namespace appleramp
