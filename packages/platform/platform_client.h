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
    Answering,
    // It cannot be reached or says that it is out.
    Out,
    ReplyLost,
};

struct platform_client_options {
    // Numeric host and port of the platform.
    std::string address;
    duration connectTimeout = std::chrono::seconds(1);
    // Longest wait for any part of an answer.
    duration replyTimeout = std::chrono::seconds(5);
};

// Synchronous client of the platform's table, object store and instance list; docs/PLATFORM.md has the protocol.
// It sends each call once. Used by one thread at a time.
class platform_client {
public:
    explicit platform_client(const platform_client_options& options);
    ~platform_client();
    platform_client(const platform_client&) = delete;
    platform_client& operator=(const platform_client&) = delete;

    // Never throws for trouble on the way: a write whose reply is lost is Unknown, a read Unavailable.
    platform_result call(const platform_call& call);

    // Table calls in one exchange; their results are independent and in the order of the calls.
    std::vector<platform_result> callBatch(std::span<const platform_call> calls);

    // These throw platform_error if they cannot be done.
    std::vector<listed_instance> listInstances();
    void registerInstance(const listed_instance& instance);
    void deregisterInstance(const instance_id& instance);

    // What the last call or batch showed of the platform itself.
    platform_health lastHealth() const { return m_health; }

private:
    http_answer observed(http_answer answer);

    std::unique_ptr<http_exchange> m_exchange;
    platform_health m_health = platform_health::Answering;
};

// Table calls can be batched; object calls cannot.
bool isTableCall(const platform_call& call);

} // namespace appleramp
