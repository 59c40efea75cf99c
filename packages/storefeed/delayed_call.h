#pragma once

#include "model/time.h"

#include <functional>
#include <memory>

namespace appleramp {

// Timer that calls a function once after a delay. A new call replaces one that is still due.
class delayed_call {
public:
    using action = std::function<void()>;

    delayed_call() = default;
    virtual ~delayed_call() = default;
    delayed_call(const delayed_call&) = delete;
    delayed_call& operator=(const delayed_call&) = delete;

    virtual void callAfter(duration delay, action run) = 0;
    virtual void cancel() = 0;
};

using delayed_call_factory = std::function<std::unique_ptr<delayed_call>()>;

} // namespace appleramp
