#include "observe/span_exporter.h"

#include "fakes/raw_answer_server.h"

#include <Poco/Net/HTTPRequestHandler.h>
#include <Poco/Net/HTTPRequestHandlerFactory.h>
#include <Poco/Net/HTTPServer.h>
#include <Poco/Net/HTTPServerRequest.h>
#include <Poco/Net/HTTPServerResponse.h>
#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/SocketAddress.h>
#include <Poco/StreamCopier.h>
#include <criterion/criterion.h>
#include <nlohmann/json.hpp>

#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <utility>
#include <vector>

using namespace appleramp;

namespace {

// An OTLP collector that stores the spans and the resource it receives.
class fake_collector {
public:
    fake_collector()
        : m_socket(Poco::Net::SocketAddress("127.0.0.1", 0))
        , m_server(new handler_factory(*this), m_socket, new Poco::Net::HTTPServerParams)
    {
        m_server.start();
    }

    ~fake_collector() { m_server.stopAll(true); }

    std::string url() const { return "http://" + m_socket.address().toString() + "/v1/traces"; }

    std::vector<nlohmann::json> spans()
    {
        const std::lock_guard lock(m_mutex);
        return m_spans;
    }

    nlohmann::json resource()
    {
        const std::lock_guard lock(m_mutex);
        return m_resource;
    }

private:
    void store(const nlohmann::json& body)
    {
        const std::lock_guard lock(m_mutex);
        const auto& source = body.at("resourceSpans").at(0);
        m_resource = source.at("resource");
        for (const auto& span : source.at("scopeSpans").at(0).at("spans"))
            m_spans.push_back(span);
    }

    class handler : public Poco::Net::HTTPRequestHandler {
    public:
        explicit handler(fake_collector& collector)
            : m_collector(collector)
        {
        }

        void handleRequest(Poco::Net::HTTPServerRequest& request, Poco::Net::HTTPServerResponse& response) override
        {
            std::string body;
            Poco::StreamCopier::copyToString(request.stream(), body);
            m_collector.store(nlohmann::json::parse(body));
            response.setContentLength(0);
            response.send();
        }

    private:
        fake_collector& m_collector;
    };

    class handler_factory : public Poco::Net::HTTPRequestHandlerFactory {
    public:
        explicit handler_factory(fake_collector& collector)
            : m_collector(collector)
        {
        }

        Poco::Net::HTTPRequestHandler* createRequestHandler(const Poco::Net::HTTPServerRequest&) override
        {
            return new handler(m_collector);
        }

    private:
        fake_collector& m_collector;
    };

    std::mutex m_mutex;
    std::vector<nlohmann::json> m_spans;
    nlohmann::json m_resource;
    Poco::Net::ServerSocket m_socket;
    Poco::Net::HTTPServer m_server;
};

span_source source()
{
    return { instance_id("entry-1"), availability_zone_id("zone-a"), 42,
        std::chrono::system_clock::time_point(std::chrono::seconds(1000)) };
}

finish_span span()
{
    return { "place", "00-4bf92f3577b34da6a3ce929d0e0e4736-00f067aa0ba902b7-01", "b7ad6b7169203331",
        instant(std::chrono::milliseconds(1)), instant(std::chrono::milliseconds(3)), "completed" };
}

} // namespace

Test(span_exporter, spans_arrive_as_otlp_json)
{
    fake_collector collector;
    {
        span_exporter exporter(collector.url(), source());
        exporter.add(span());
    }
    const auto spans = collector.spans();
    cr_assert_eq(spans.size(), 1u);
    cr_assert_eq(spans[0].at("traceId"), "4bf92f3577b34da6a3ce929d0e0e4736");
    cr_assert_eq(spans[0].at("spanId"), "00f067aa0ba902b7");
    cr_assert_eq(spans[0].at("parentSpanId"), "b7ad6b7169203331");
    cr_assert_eq(spans[0].at("name"), "place");
    cr_assert_eq(spans[0].at("startTimeUnixNano"), "1000001000000");
    cr_assert_eq(spans[0].at("endTimeUnixNano"), "1000003000000");
    cr_assert_eq(spans[0].at("attributes").at(0).at("value").at("stringValue"), "completed");
    cr_assert_eq(collector.resource().at("attributes").size(), 4u);
}

Test(span_exporter, a_burst_within_the_queue_arrives_whole)
{
    fake_collector collector;
    constexpr std::size_t burst = 1000;
    {
        span_exporter exporter(collector.url(), source());
        for (std::size_t i = 0; i < burst; ++i)
            exporter.add(span());
    }
    cr_assert_eq(collector.spans().size(), burst);
}

Test(span_exporter, without_a_collector_spans_are_dropped_and_counted)
{
    std::string url;
    {
        const fake_collector stoppedCollector;
        url = stoppedCollector.url();
    }
    constexpr std::size_t sent = 2 * span_exporter::maxQueuedSpans;
    span_exporter exporter(url, source());
    for (std::size_t i = 0; i < sent; ++i)
        exporter.add(span());
    // Of the spans added, which fill the queue twice, only those that are queued or in the request being sent may not have
    // been counted yet.
    const span_export_counts counts = exporter.counts();
    cr_assert_eq(counts.exported, 0u);
    cr_assert_geq(counts.dropped, sent - span_exporter::maxQueuedSpans - span_exporter::maxSpansPerRequest);
}

Test(span_exporter, without_a_url_nothing_happens)
{
    span_exporter exporter("", source());
    exporter.add(span());
    cr_assert_eq(exporter.counts().dropped, 0u);
}

// Guards against spans that count as exported by what is no answer of the collector: a status that is none, a head that was cut off.
Test(span_exporter, spans_count_as_exported_by_a_whole_answer_only)
{
    const std::pair<std::string, std::size_t> answers[] { { "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n", 1 }, { "HTTP/1.1 200 OK\r\nContent-Le", 0 },
        { "HTTP/1.1 000 OK\r\nContent-Length: 0\r\n\r\n", 0 }, { "HTTP/1.1 100 Continue\r\n\r\n", 0 }, { "HTTP/1.1 503 Full\r\nContent-Length: 0\r\n\r\n", 0 } };
    for (const auto& [answer, exported] : answers) {
        raw_answer_server collector;
        collector.answerWith(answer, raw_answer_server::closing::Orderly);
        span_exporter exporter("http://" + collector.address() + "/v1/traces", source());
        exporter.add(span());
        while (exporter.counts().exported + exporter.counts().dropped == 0)
            std::this_thread::yield();
        cr_assert_eq(exporter.counts().exported, exported, "%s", answer.c_str());
    }
}
