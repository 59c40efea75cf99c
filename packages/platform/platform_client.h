#pragma once

#include "model/instance.h"
#include "model/platform_call.h"
#include "model/time.h"

#include <memory>
#include <span>
#include <string>
#include <vector>

namespace appleramp {

class http_exchange;
struct http_answer;

enum class platform_health {
    // The platform answered, whatever the result of the call.
    Answering,
    // The platform cannot be reached or answered 503.
    Unavailable,
    // No complete reply was received.
    ReplyLost,
};

struct platform_client_options {
    // Numeric host and port of the platform.
    std::string address;
    duration connectTimeout = std::chrono::seconds(1);
    // Timeout of each read and write on the connection.
    duration replyTimeout = std::chrono::seconds(5);
};

// Synchronous client of the platform's table, object store and instance list; docs/PLATFORM.md has the protocol.
// It sends each call once and never retries. Not thread-safe.
class platform_client {
public:
    explicit platform_client(const platform_client_options& options);
    ~platform_client();
    platform_client(const platform_client&) = delete;
    platform_client& operator=(const platform_client&) = delete;

    // Network failures do not throw: if the reply is lost, the result is Unknown for a write and Unavailable for a read.
    platform_result call(const platform_call& call);

    // Sends table calls in one request. Each has its own result, in the order of the calls. Throws platform_error if a
    // call cannot be batched: an object call, or a key or value that is not UTF-8.
    std::vector<platform_result> callBatch(std::span<const platform_call> calls);

    // These throw platform_error on failure.
    std::vector<listed_instance> listInstances();
    void registerInstance(const listed_instance& instance);
    void deregisterInstance(const instance_id& instance);

    // State of the platform as seen by the last call, batch or instance list.
    platform_health lastHealth() const { return m_health; }

private:
    http_answer recordHealth(http_answer answer);

    std::unique_ptr<http_exchange> m_exchange;
    platform_health m_health = platform_health::Answering;
};

// True for table calls, which can be batched; object calls cannot.
bool isTableCall(const platform_call& call);

} // namespace appleramp
