#include "membership/member_registration.h"

#include "ports/row_store.h"

#include <utility>

namespace appleramp {

namespace {

// Between two tries to write the row.
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
    // A row that stays names an entry that nobody hears; the next start writes it anew.
    m_store.write({}, { { std::string(membersTable), m_instance, {}, true } }, [](const store_result&) {});
}

} // namespace appleramp
