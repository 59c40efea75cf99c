#pragma once

#include <cstddef>
#include <memory>

namespace appleramp {

class memory_account;

// What one holder takes of an account; given back when the holder ends.
class memory_charge {
public:
    // Without an account nothing is counted.
    explicit memory_charge(std::shared_ptr<memory_account> account);
    ~memory_charge();
    memory_charge(const memory_charge&) = delete;
    memory_charge& operator=(const memory_charge&) = delete;

    void resize(std::size_t bytes);
    std::size_t bytes() const { return m_bytes; }

private:
    std::shared_ptr<memory_account> m_account;
    std::size_t m_bytes = 0;
};

} // namespace appleramp
