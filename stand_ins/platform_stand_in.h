#pragma once

#include "stand_ins/http_listener.h"
#include "stand_ins/instance_registry.h"
#include "stand_ins/interruptible_pause.h"
#include "stand_ins/platform_faults.h"
#include "stand_ins/table_store.h"

#include <condition_variable>
#include <cstdint>
#include <mutex>
#include <random>
#include <string>
#include <thread>

namespace appleramp::stand_ins {

struct platform_stand_in_options {
    // Zero: a port that the kernel chooses.
    std::uint16_t port = 0;
    std::uint16_t controlPort = 0;
    // Of the generator that picks the calls whose reply is lost.
    std::uint32_t seed = 1;
};

// The platform in memory, over the protocol of docs/PLATFORM.md. POST /faults changes its faults; it is answered on
// both ports, and while the platform is down only on the control port.
class platform_stand_in {
public:
    explicit platform_stand_in(const platform_stand_in_options& options = {});
    ~platform_stand_in();
    platform_stand_in(const platform_stand_in&) = delete;
    platform_stand_in& operator=(const platform_stand_in&) = delete;

    std::uint16_t port() const { return m_listener.port(); }
    std::uint16_t controlPort() const { return m_control.port(); }
    std::string address() const { return m_listener.address(); }

    void setFaults(const platform_faults& faults);
    platform_faults faults() const;

    // What a call finds without the network and its faults.
    platform_result apply(const platform_call& call) { return m_store.apply(call); }
    // Requests that have taken effect so far, whether or not they were answered.
    std::uint64_t exchanges() const;
    void awaitExchanges(std::uint64_t count) const;

private:
    void serve(Poco::Net::HTTPServerRequest& request, Poco::Net::HTTPServerResponse& response);
    void serveControl(Poco::Net::HTTPServerRequest& request, Poco::Net::HTTPServerResponse& response);
    void changeFaults(Poco::Net::HTTPServerRequest& request, Poco::Net::HTTPServerResponse& response);
    bool losesReply();
    void revertWhenDue();

    table_store m_store;
    instance_registry m_instances;
    interruptible_pause m_pause;
    mutable std::mutex m_mutex;
    std::condition_variable m_faultsChanged;
    mutable std::condition_variable m_exchanged;
    platform_faults m_faults;
    std::uint64_t m_faultsNumber = 0;
    std::uint64_t m_exchanges = 0;
    bool m_stopping = false;
    std::mt19937 m_random;
    http_listener m_listener;
    http_listener m_control;
    std::thread m_reverter;
};

} // namespace appleramp::stand_ins
