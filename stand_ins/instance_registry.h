#pragma once

#include "model/instance.h"

#include <chrono>
#include <deque>
#include <map>
#include <mutex>
#include <vector>

namespace appleramp::stand_ins {

// The platform's instance list, which can show the state of a while ago.
class instance_registry {
public:
    using clock = std::chrono::steady_clock;
    using listing = std::map<instance_id, listed_instance>;

    void put(const listed_instance& instance, clock::time_point now);
    void remove(const instance_id& instance, clock::time_point now);
    // The list as it stood this long ago.
    std::vector<listed_instance> list(clock::time_point now, std::chrono::milliseconds lag) const;

private:
    struct snapshot {
        clock::time_point since;
        listing instances;
    };

    void remember(clock::time_point now);

    mutable std::mutex m_mutex;
    listing m_current;
    std::deque<snapshot> m_history;
};

} // namespace appleramp::stand_ins
