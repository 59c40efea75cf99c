#include "membership/member_registration.h"

#include "ports/row_store.h"

#include <utility>

namespace appleramp {

namespace {

// Delay before a failed write of the row is retried.
constexpr std::chrono::milliseconds retryPause { 700 };

} // namespace

member_registration::member_registration(
    boost::asio::io_context& loop, row_store& store, std::string instance, member_row row)
    : m_store(store)
    , m_retry(loop)
    , m_instance(std::move(instance))
    , m_row(std::move(row))
{
}

void member_registration::start()
{
    m_store.write({}, { { std::string(membersTable), m_instance, encodeMember(m_row), false } }, [this](const store_result& result) {
        if (std::holds_alternative<store_rows>(result) || m_dropped)
            return;
        m_retry.expires_after(retryPause);
        m_retry.async_wait([this](const boost::system::error_code& cancelled) {
            if (!cancelled)
                start();
        });
    });
}

void member_registration::drop()
{
    m_dropped = true;
    m_retry.cancel();
    // Not retried: a row that stays lists a process that sends no presence, and its next start overwrites the row.
    m_store.write({}, { { std::string(membersTable), m_instance, {}, true } }, [](const store_result&) {});
}

} // namespace appleramp
