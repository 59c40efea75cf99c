#include "entry/request_reader.h"

#include "entry/entry_services.h"
#include "entry/model_name_reader.h"
#include "model/enum_names.h"
#include "model/errors.h"
#include "runtime/process_clock.h"

#include <Poco/Exception.h>
#include <Poco/Net/HTTPServerRequest.h>
#include <Poco/NumberParser.h>
#include <Poco/String.h>
#include <Poco/URI.h>
#include <xxhash.h>

#include <algorithm>
#include <array>
#include <istream>

namespace appleramp {

namespace {

constexpr std::string_view servicesPrefix = "/v1/services/";
constexpr std::size_t readChunkBytes = 16384;
constexpr std::size_t maxNameBytes = 256;
constexpr duration maxTimeout = std::chrono::hours(1);
// Prefixes of a model request's body, which holds the prompt, are hashed at multiples of this length.
constexpr std::size_t prefixHashStepBytes = 1024;
constexpr std::size_t maxPrefixHashes = 16;
constexpr std::array<std::string_view, 3> forwardedHeaders { "Content-Type", "Accept", "Idempotency-Key" };

problem badRequest(std::string detail)
{
    return { 400, execution::NotStarted, "bad_request", std::move(detail), std::nullopt };
}

// Reads what has arrived piece by piece and checks the deadline after each, so that a sender that trickles its body is
// rejected.
std::variant<std::string, problem> receiveBody(std::istream& stream, std::size_t length, instant deadline)
{
    std::string body;
    body.reserve(length);
    std::string piece(readChunkBytes, '\0');
    while (body.size() < length && stream.get(piece.front())) {
        const auto extraBytes = stream.readsome(piece.data() + 1, static_cast<std::streamsize>(piece.size()) - 1);
        body.append(piece, 0, 1 + static_cast<std::size_t>(extraBytes));
        if (monotonicNow() > deadline)
            return problem { 408, execution::NotStarted, "body_too_slow", "the body did not arrive in time",
                std::nullopt };
    }
    if (body.size() < length)
        return badRequest("the body is cut short");
    return body;
}

class invalid_request : public error {
public:
    using error::error;
};

std::uint64_t contentHashOf(const service_request& request)
{
    const auto text = request.service.str() + "\n" + request.method + "\n" + request.path + "\n" + request.body;
    return XXH64(text.data(), text.size(), 0);
}

std::vector<std::uint64_t> hashPrefixes(std::string_view body)
{
    std::vector<std::uint64_t> hashes;
    for (auto length = prefixHashStepBytes; length <= body.size() && hashes.size() < maxPrefixHashes; length += prefixHashStepBytes)
        hashes.push_back(XXH64(body.data(), length, 0));
    return hashes;
}

// Names are copied into messages, rows and replies that can contain text only, so other bytes are rejected.
template <typename Identifier>
Identifier readName(const std::string& text, const std::string& what)
{
    const bool isPrintable = std::all_of(text.begin(), text.end(), [](char c) { return c >= ' ' && c <= '~'; });
    if (text.empty() || text.size() > maxNameBytes || !isPrintable)
        throw invalid_request(what + " must have 1 to 256 printable ASCII characters");
    return Identifier(text);
}

duration readTimeout(const Poco::Net::HTTPServerRequest& request, duration defaultTimeout)
{
    const auto text = request.get("Appleramp-Timeout-Ms", "");
    if (text.empty())
        return defaultTimeout;
    unsigned value = 0;
    if (!Poco::NumberParser::tryParseUnsigned(text, value) || value == 0)
        throw invalid_request("Appleramp-Timeout-Ms must be a positive number of milliseconds");
    return std::min<duration>(std::chrono::milliseconds(value), maxTimeout);
}

priority readPriority(const Poco::Net::HTTPServerRequest& request)
{
    const auto text = request.get("Appleramp-Priority", std::string(nameOf(priority::Normal)));
    const auto known = fromName<priority>(text);
    if (!known)
        throw invalid_request("Appleramp-Priority must be batch, normal or urgent");
    return *known;
}

// Sets the service and the path. A plain service is named in the URL, a model in the body.
void readDestination(service_request& request, const std::string& uri)
{
    if (uri.starts_with(servicesPrefix)) {
        const auto rest = uri.substr(servicesPrefix.size());
        const auto slash = rest.find('/');
        request.service = readName<service_id>(rest.substr(0, slash), "the service's name");
        request.path = slash == std::string::npos ? "/" : rest.substr(slash);
        return;
    }
    request.path = uri;
    const auto name = readModelName(request.body);
    if (!name)
        throw invalid_request("the body must be a JSON object with a string 'model'");
    request.service = readName<service_id>(*name, "the model's name");
    request.prefixHashes = hashPrefixes(request.body);
}

void readHeaders(service_request& request, const Poco::Net::HTTPServerRequest& source, duration defaultTimeout)
{
    request.team = readName<team_id>(source.get("Appleramp-Team", ""), "the header Appleramp-Team");
    request.urgency = readPriority(source);
    request.timeout = readTimeout(source, defaultTimeout);
    request.traceparent = source.get("traceparent", "");
    if (source.has("Appleramp-Adapter"))
        request.adapter = readName<adapter_id>(source.get("Appleramp-Adapter"), "the header Appleramp-Adapter");
    if (source.has("Idempotency-Key"))
        request.key = readName<idempotency_key>(source.get("Idempotency-Key"), "the header Idempotency-Key");
    for (const auto name : forwardedHeaders) {
        if (source.has(std::string(name)))
            request.headers.push_back({ std::string(name), source.get(std::string(name)) });
    }
}

} // namespace

std::optional<problem> checkHead(const Poco::Net::HTTPServerRequest& request, std::size_t maxHeaderBytes)
{
    std::size_t bytes = request.getURI().size();
    for (const auto& [name, value] : request)
        bytes += name.size() + value.size();
    if (bytes > maxHeaderBytes)
        return problem { 431, execution::NotStarted, "headers_too_large",
            "path and headers may have " + std::to_string(maxHeaderBytes) + " bytes", std::nullopt };
    try {
        const Poco::URI parsed(request.getURI());
        return std::nullopt;
    } catch (const Poco::SyntaxException&) {
        return badRequest("the path is malformed");
    }
}

body_limits limitsOf(const entry_services& services) { return { services.maxBodyBytes, services.requestReadTimeout }; }

std::variant<std::string, problem> readBody(Poco::Net::HTTPServerRequest& request, body_limits limits)
{
    // Chunked bodies are rejected, as a truncated one can't be distinguished from a complete one.
    if (request.getChunkedTransferEncoding())
        return problem { 411, execution::NotStarted, "length_required", "send the body with its Content-Length",
            std::nullopt };
    const auto contentLength = request.hasContentLength() ? request.getContentLength64() : 0;
    if (contentLength < 0 || static_cast<std::size_t>(contentLength) > limits.maxBytes)
        return problem { 413, execution::NotStarted, "body_too_large",
            "the body may have " + std::to_string(limits.maxBytes) + " bytes", std::nullopt };
    return receiveBody(request.stream(), static_cast<std::size_t>(contentLength), monotonicNow() + limits.readTimeout);
}

std::variant<service_request, problem> readServiceRequest(Poco::Net::HTTPServerRequest& request,
    body_limits limits, duration defaultTimeout)
{
    auto body = readBody(request, limits);
    if (auto* rejected = std::get_if<problem>(&body))
        return *rejected;
    service_request result;
    result.method = request.getMethod();
    result.body = std::move(std::get<std::string>(body));
    try {
        readDestination(result, request.getURI());
        readHeaders(result, request, defaultTimeout);
    } catch (const invalid_request& cause) {
        return badRequest(cause.what());
    }
    result.contentHash = contentHashOf(result);
    return result;
}

} // namespace appleramp
