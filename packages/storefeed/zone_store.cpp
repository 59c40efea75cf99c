#include "storefeed/zone_store.h"

#include <boost/asio/steady_timer.hpp>

#include <utility>

namespace appleramp {

namespace {

// The reader answers from memory; a longer wait would delay changes more than a read of the store.
constexpr duration readerTimeout = std::chrono::milliseconds(250);
constexpr pool_settings readerPool { .connectTimeout = std::chrono::milliseconds(200),
    .silenceLimit = std::chrono::milliseconds(1000),
    .reuseWithin = std::chrono::milliseconds(4000),
    .maxIdlePerServer = 1 };

} // namespace

// One question to the zone's reader. Its callbacks own it until it has reported its result.
class zone_store::question : public std::enable_shared_from_this<zone_store::question> {
public:
    using answer_handler = std::function<void(std::optional<store_rows>)>;

    question(zone_store& owner, answer_handler done)
        : m_owner(owner)
        , m_timer(owner.m_loop)
        , m_done(std::move(done))
    {
    }

    void start(const std::string& reader, const changes_question& asked)
    {
        http_request_head head;
        head.method = "GET";
        head.target = encodeChangesTarget(asked);
        head.headers.add("Host", reader);
        m_connection = m_owner.m_pool.acquire(reader, false);
        m_timer.expires_after(readerTimeout);
        m_timer.async_wait([self = shared_from_this()](const boost::system::error_code& cancelled) {
            if (!cancelled)
                self->giveUp();
        });
        m_connection->exchange(serializeRequest(head, {}),
            { .head = [self = shared_from_this()](const http_response_head& answer) { self->m_status = answer.status; },
                .body = [self = shared_from_this()](const std::string& bytes) { self->m_body += bytes; },
                .completed = [self = shared_from_this()] { self->complete(); },
                .failed = [self = shared_from_this()](exchange_failure) { self->finish(std::nullopt); } });
    }

private:
    void giveUp()
    {
        if (!m_done)
            return;
        m_connection->cancel();
        finish(std::nullopt);
    }

    void complete()
    {
        m_owner.m_pool.release(m_connection);
        finish(m_status == 200 ? decodeChanges(m_body) : std::nullopt);
    }

    void finish(std::optional<store_rows> rows)
    {
        m_timer.cancel();
        m_connection.reset();
        if (answer_handler done = std::exchange(m_done, nullptr))
            done(std::move(rows));
    }

    zone_store& m_owner;
    boost::asio::steady_timer m_timer;
    answer_handler m_done;
    std::shared_ptr<client_connection> m_connection;
    unsigned m_status = 0;
    std::string m_body;
};

zone_store::zone_store(boost::asio::io_context& loop, row_store& store, reader_address readerAddress)
    : m_loop(loop)
    , m_store(store)
    , m_readerAddress(std::move(readerAddress))
    , m_pool(loop, readerPool)
{
}

zone_store::~zone_store() = default;

void zone_store::read(const std::string& table, const std::string& fromKey, store_handler done)
{
    ++m_storeCalls;
    m_store.read(table, fromKey, noteGeneration(table, std::move(done)));
}

void zone_store::write(const std::vector<row_condition>& conditions, const std::vector<row_write>& writes, store_handler done)
{
    ++m_storeCalls;
    m_store.write(conditions, writes, std::move(done));
}

void zone_store::changes(const std::string& table, std::uint64_t afterVersion, duration wait, store_handler done)
{
    const auto reader = m_readerAddress();
    if (!reader)
        return askStore(table, afterVersion, wait, std::move(done));
    auto onAnswer = [this, table, afterVersion, wait, done = std::move(done)](std::optional<store_rows> rows) mutable {
        if (!rows || rows->rows.empty() || *rows->age > maxReaderAge)
            return askStore(table, afterVersion, wait, std::move(done));
        ++m_readerAnswers;
        done(std::move(*rows));
    };
    std::make_shared<question>(*this, std::move(onAnswer))->start(*reader, { table, m_generations[table], afterVersion });
}

void zone_store::askStore(const std::string& table, std::uint64_t afterVersion, duration wait, store_handler done)
{
    ++m_storeCalls;
    m_store.changes(table, afterVersion, wait, noteGeneration(table, std::move(done)));
}

store_handler zone_store::noteGeneration(std::string table, store_handler done)
{
    return [this, table = std::move(table), done = std::move(done)](store_result result) {
        if (const auto* const rows = std::get_if<store_rows>(&result))
            m_generations[table] = rows->generation;
        done(std::move(result));
    };
}

} // namespace appleramp
