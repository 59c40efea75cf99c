#include "observe/span_exporter.h"

#include <Poco/Exception.h>
#include <Poco/Net/HTTPClientSession.h>
#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>
#include <Poco/NullStream.h>
#include <Poco/StreamCopier.h>
#include <Poco/URI.h>

#include <condition_variable>
#include <deque>
#include <mutex>
#include <thread>
#include <vector>

namespace appleramp {

namespace {

constexpr std::chrono::seconds requestTimeout(2);
// Time that an incomplete batch waits for further spans before it is sent.
constexpr std::chrono::milliseconds maxBatchDelay(200);

bool isSuccess(Poco::Net::HTTPResponse::HTTPStatus status) { return status >= 200 && status < 300; }

// Returns whether the collector accepted the request. Throws Poco::Exception if it cannot be reached.
bool post(const Poco::URI& url, const std::string& body)
{
    Poco::Net::HTTPClientSession session(url.getHost(), url.getPort());
    session.setTimeout(Poco::Timespan(requestTimeout.count(), 0));
    Poco::Net::HTTPRequest request("POST", url.getPathAndQuery(), Poco::Net::HTTPMessage::HTTP_1_1);
    request.setContentType("application/json");
    request.setContentLength64(static_cast<Poco::Int64>(body.size()));
    session.sendRequest(request) << body;
    Poco::Net::HTTPResponse response;
    Poco::NullOutputStream discardedBody;
    Poco::StreamCopier::copyStream(session.receiveResponse(response), discardedBody);
    return isSuccess(response.getStatus());
}

} // namespace

class span_exporter::implementation {
public:
    implementation(const std::string& url, span_source source)
        : m_url(url)
        , m_source(std::move(source))
        , m_thread([this] { run(); })
    {
    }

    ~implementation()
    {
        {
            const std::lock_guard lock(m_mutex);
            m_stopping = true;
        }
        m_queueChanged.notify_one();
        m_thread.join();
    }

    void add(finish_span span)
    {
        const std::lock_guard lock(m_mutex);
        if (m_queue.size() >= maxQueuedSpans) {
            ++m_counts.dropped;
            return;
        }
        m_queue.push_back(std::move(span));
        if (m_queue.size() == 1 || m_queue.size() == maxSpansPerRequest)
            m_queueChanged.notify_one();
    }

    span_export_counts counts() const
    {
        const std::lock_guard lock(m_mutex);
        return m_counts;
    }

private:
    void run()
    {
        std::unique_lock lock(m_mutex);
        while (true) {
            m_queueChanged.wait(lock, [this] { return m_stopping || !m_queue.empty(); });
            m_queueChanged.wait_for(
                lock, maxBatchDelay, [this] { return m_stopping || m_queue.size() >= maxSpansPerRequest; });
            if (m_queue.empty())
                return;
            const std::vector<finish_span> batch = takeBatch();
            lock.unlock();
            const bool accepted = send(batch);
            lock.lock();
            (accepted ? m_counts.exported : m_counts.dropped) += batch.size();
            if (m_stopping && !accepted)
                return dropQueue();
        }
    }

    std::vector<finish_span> takeBatch()
    {
        std::vector<finish_span> batch;
        while (!m_queue.empty() && batch.size() < maxSpansPerRequest) {
            batch.push_back(std::move(m_queue.front()));
            m_queue.pop_front();
        }
        return batch;
    }

    bool send(const std::vector<finish_span>& batch) const
    {
        try {
            return post(m_url, otlpJson(m_source, batch));
        } catch (const Poco::Exception&) {
            return false;
        }
    }

    void dropQueue()
    {
        m_counts.dropped += m_queue.size();
        m_queue.clear();
    }

    const Poco::URI m_url;
    const span_source m_source;
    mutable std::mutex m_mutex;
    std::condition_variable m_queueChanged;
    std::deque<finish_span> m_queue;
    span_export_counts m_counts;
    bool m_stopping = false;
    std::thread m_thread;
};

span_exporter::span_exporter(const std::string& url, span_source source)
{
    if (!url.empty())
        m_implementation = std::make_unique<implementation>(url, std::move(source));
}

span_exporter::~span_exporter() = default;

void span_exporter::add(finish_span span)
{
    if (m_implementation)
        m_implementation->add(std::move(span));
}

span_export_counts span_exporter::counts() const
{
    return m_implementation ? m_implementation->counts() : span_export_counts {};
}

} // namespace appleramp
