#pragma once

#include <string>
#include <string_view>

namespace appleramp {

// Adds a request id and a span to everything that the current thread logs during the lifetime of the object. Scopes can be
// nested; a scope must be destroyed on the thread that created it.
class log_scope {
public:
    log_scope(std::string_view requestId, std::string_view span);
    ~log_scope();
    log_scope(const log_scope&) = delete;
    log_scope& operator=(const log_scope&) = delete;

    const std::string& requestId() const { return m_requestId; }
    const std::string& span() const { return m_span; }

    // The innermost scope of the calling thread, or null.
    static const log_scope* current();

private:
    std::string m_requestId;
    std::string m_span;
    const log_scope* m_outer = nullptr;
};

} // namespace appleramp
