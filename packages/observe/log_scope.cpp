#include "observe/log_scope.h"

#include <cassert>

namespace appleramp {

namespace {

thread_local const log_scope* innermostScope = nullptr;

} // namespace

log_scope::log_scope(std::string_view requestId, std::string_view span)
    : m_requestId(requestId)
    , m_span(span)
    , m_outer(innermostScope)
{
    innermostScope = this;
}

log_scope::~log_scope()
{
    assert(innermostScope == this);
    innermostScope = m_outer;
}

const log_scope* log_scope::current() { return innermostScope; }

} // namespace appleramp
