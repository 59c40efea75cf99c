#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace appleramp {

struct fake_request {
    std::string method;
    std::string uri;
    std::string body;
};

struct fake_answer {
    std::uint16_t status = 200;
    std::string body;
    // True: the connection is closed instead of answering.
    bool lost = false;
};

// HTTP server in place of an entry's operations address. The test supplies the answers; the server records the
// requests.
class fake_operations_server {
public:
    using answer_function = std::function<fake_answer(const fake_request&)>;

    explicit fake_operations_server(answer_function);
    ~fake_operations_server();

    // IP:PORT
    std::string address() const;
    std::vector<fake_request> requests() const;

private:
    class implementation;
    std::unique_ptr<implementation> m_implementation;
};

} // namespace appleramp
