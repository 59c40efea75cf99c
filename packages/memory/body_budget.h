#pragma once

#include "memory/memory_charge.h"

#include <cstddef>
#include <memory>
#include <mutex>

namespace appleramp {

class memory_account;

// Room for the bodies of the requests that several threads receive at the same time: an account for all of them. All members may be called from
// any thread.
class body_budget {
public:
    // Held while a body is received and its request is served.
    class reservation {
    public:
        reservation(body_budget& budget, std::size_t bytes);
        ~reservation();
        reservation(const reservation&) = delete;
        reservation& operator=(const reservation&) = delete;

    private:
        std::mutex& m_mutex;
        memory_charge m_charge;
    };

    explicit body_budget(std::size_t limitBytes);

    // Null if there is no room for a body of that size.
    std::unique_ptr<reservation> reserve(std::size_t bytes);

private:
    std::mutex m_mutex;
    std::shared_ptr<memory_account> m_account;
};

} // namespace appleramp
