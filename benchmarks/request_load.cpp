// Sends the same request over and over to one target, or to several in turn, and prints latencies as one JSON line.
#include <Poco/Net/HTTPClientSession.h>
#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>
#include <Poco/StreamCopier.h>
#include <Poco/StringTokenizer.h>
#include <Poco/URI.h>
#include <gflags/gflags.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <iostream>
#include <mutex>
#include <thread>
#include <vector>

DEFINE_string(targets, "", "URLs, separated by commas; each connection takes them in turn");
DEFINE_string(method, "POST", "HTTP method");
DEFINE_string(body, "{}", "Body of each request");
DEFINE_string(headers, "", "NAME=VALUE, separated by commas");
DEFINE_uint32(requests, 1000, "Requests to each target by all connections together");
DEFINE_string(key_prefix, "", "If set, each request has an Idempotency-Key of its own that begins so");
DEFINE_uint32(connections, 1, "Connections to each target at a time");

namespace {

using steady_clock = std::chrono::steady_clock;

struct target {
    Poco::URI uri;
    std::vector<double> latenciesMs;
    std::uint64_t failures = 0;
    std::uint64_t bytes = 0;
};

std::vector<std::string> split(const std::string& text)
{
    const Poco::StringTokenizer words(text, ",", Poco::StringTokenizer::TOK_TRIM | Poco::StringTokenizer::TOK_IGNORE_EMPTY);
    return { words.begin(), words.end() };
}

Poco::Net::HTTPRequest requestFor(const Poco::URI& uri)
{
    Poco::Net::HTTPRequest request(FLAGS_method, uri.getPathAndQuery(), "HTTP/1.1");
    request.setContentType("application/json");
    request.setContentLength(static_cast<std::streamsize>(FLAGS_body.size()));
    request.setKeepAlive(true);
    for (const auto& header : split(FLAGS_headers)) {
        const auto equals = header.find('=');
        request.set(header.substr(0, equals), header.substr(equals + 1));
    }
    static std::atomic<std::uint64_t> lastKey = 0;
    if (!FLAGS_key_prefix.empty())
        request.set("Idempotency-Key", FLAGS_key_prefix + std::to_string(++lastKey));
    return request;
}

// One connection to each target, used in turn by one thread.
class load_connection {
public:
    explicit load_connection(const std::vector<std::string>& urls)
    {
        for (const auto& url : urls) {
            m_targets.push_back({ Poco::URI(url) });
            const auto& uri = m_targets.back().uri;
            m_sessions.push_back(std::make_unique<Poco::Net::HTTPClientSession>(uri.getHost(), uri.getPort()));
            m_sessions.back()->setKeepAlive(true);
        }
    }

    void run(std::uint32_t requests)
    {
        for (std::uint32_t i = 0; i < requests; ++i)
            for (std::size_t number = 0; number < m_targets.size(); ++number)
                send(number);
    }

    const std::vector<target>& targets() const { return m_targets; }

private:
    void send(std::size_t number)
    {
        auto& target = m_targets[number];
        const auto started = steady_clock::now();
        try {
            auto request = requestFor(target.uri);
            m_sessions[number]->sendRequest(request) << FLAGS_body;
            Poco::Net::HTTPResponse response;
            std::string body;
            Poco::StreamCopier::copyToString(m_sessions[number]->receiveResponse(response), body);
            target.bytes += body.size();
            if (response.getStatus() != Poco::Net::HTTPResponse::HTTP_OK)
                ++target.failures;
        } catch (const Poco::Exception&) {
            m_sessions[number]->reset();
            ++target.failures;
        }
        const std::chrono::duration<double, std::milli> took = steady_clock::now() - started;
        target.latenciesMs.push_back(took.count());
    }

    std::vector<target> m_targets;
    std::vector<std::unique_ptr<Poco::Net::HTTPClientSession>> m_sessions;
};

double quantile(std::vector<double>& sorted, double share)
{
    if (sorted.empty())
        return 0;
    const auto index = static_cast<std::size_t>(share * static_cast<double>(sorted.size() - 1));
    return sorted[index];
}

nlohmann::json summary(target& total)
{
    auto& latencies = total.latenciesMs;
    std::sort(latencies.begin(), latencies.end());
    return { { "url", total.uri.toString() }, { "requests", latencies.size() }, { "failures", total.failures },
        { "bytes", total.bytes }, { "p50_ms", quantile(latencies, 0.5) }, { "p99_ms", quantile(latencies, 0.99) } };
}

} // namespace

int main(int argc, char** argv)
{
    gflags::SetUsageMessage("Sends one request over and over and prints latencies as JSON");
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    const auto urls = split(FLAGS_targets);
    std::vector<std::unique_ptr<load_connection>> connections;
    for (std::uint32_t i = 0; i < FLAGS_connections; ++i)
        connections.push_back(std::make_unique<load_connection>(urls));
    const auto started = steady_clock::now();
    std::vector<std::thread> threads;
    threads.reserve(connections.size());
    for (auto& connection : connections)
        threads.emplace_back([&connection] { connection->run(FLAGS_requests / FLAGS_connections); });
    for (auto& thread : threads)
        thread.join();
    const std::chrono::duration<double> took = steady_clock::now() - started;

    nlohmann::json targets = nlohmann::json::array();
    for (std::size_t number = 0; number < urls.size(); ++number) {
        target total { Poco::URI(urls[number]) };
        for (const auto& connection : connections) {
            const auto& part = connection->targets()[number];
            total.latenciesMs.insert(total.latenciesMs.end(), part.latenciesMs.begin(), part.latenciesMs.end());
            total.failures += part.failures;
            total.bytes += part.bytes;
        }
        targets.push_back(summary(total));
    }
    std::cout << nlohmann::json { { "seconds", took.count() }, { "targets", targets } }.dump() << std::endl;
    return 0;
}
