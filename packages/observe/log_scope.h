#pragma once

#include <string>
#include <string_view>

namespace appleramp {

// While it lives, what its thread logs carries this request id and span. Scopes nest; they may not cross threads.
class log_scope {
public:
    log_scope(std::string_view requestId, std::string_view span);
    ~log_scope();
    log_scope(const log_scope&) = delete;
    log_scope& operator=(const log_scope&) = delete;

    const std::string& requestId() const { return m_requestId; }
    const std::string& span() const { return m_span; }

    // The innermost scope of the calling thread, if any.
    static const log_scope* current();

private:
    std::string m_requestId;
    std::string m_span;
    const log_scope* m_outer = nullptr;
};

} // namespace appleramp
