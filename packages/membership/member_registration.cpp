#include "membership/member_registration.h"

#include "ports/row_store.h"

#include <utility>

namespace appleramp {

namespace {

// Delay before a failed write of the row is retried.
constexpr std::chrono::milliseconds retryDelay { 700 };

} // namespace

member_registration::member_registration(
    boost::asio::io_context& loop, row_store& store, std::string instance, member_row row)
    : m_store(store)
    , m_retryTimer(loop)
    , m_instance(std::move(instance))
    , m_row(std::move(row))
{
}

void member_registration::start()
{
    m_store.write({}, { { std::string(membersTable), m_instance, encodeMember(m_row), false } }, [this](const store_result& result) {
        if (const auto* const written = std::get_if<store_rows>(&result))
            m_writtenGeneration = written->generation;
        else if (!m_unregistered)
            startAfter(retryDelay);
    });
}

void member_registration::onStoreGeneration(std::uint64_t generation, std::chrono::milliseconds delay)
{
    if (m_unregistered || !m_writtenGeneration || generation <= *m_writtenGeneration)
        return;
    m_writtenGeneration.reset();
    startAfter(delay);
}

void member_registration::startAfter(std::chrono::milliseconds delay)
{
    m_retryTimer.expires_after(delay);
    m_retryTimer.async_wait([this](const boost::system::error_code& cancelled) {
        if (!cancelled)
            start();
    });
}

void member_registration::unregister()
{
    m_unregistered = true;
    m_retryTimer.cancel();
    // Not retried: a row that stays lists a process that sends no presence, and its next start overwrites the row.
    m_store.write({}, { { std::string(membersTable), m_instance, {}, true } }, [](const store_result&) {});
}

} // namespace appleramp
