#include "http/http_parser.h"

#include "http/response_head_classification.h"

#include <boost/beast/http/basic_parser.hpp>

#include <utility>
#include <variant>

namespace appleramp {

namespace http = boost::beast::http;

namespace {

// A server in trouble may send interim responses without end.
constexpr int maxInterimResponses = 16;
// Length of "0 CRLF CRLF". Beast asserts that it sees as many bytes when it looks at the header of a last chunk once more.
constexpr std::size_t minChunkedBodyBytes = 5;

} // namespace

class http_parser::implementation {
public:
    virtual ~implementation() = default;
    virtual std::size_t consume(std::string_view bytes) = 0;
    virtual void finishAtConnectionEnd() = 0;

    bool hasHead = false;
    bool isComplete = false;
    bool isInterim = false;
    std::size_t headBytes = 0;
    parse_failure failure = parse_failure::None;
    response_defect defect = response_defect::None;
    http_request_head request;
    http_response_head response;
    std::string body;

    // The first cause holds.
    void fail(parse_failure kind, response_defect cause)
    {
        failure = kind;
        if (defect == response_defect::None)
            defect = cause;
    }

protected:
    void setFailure(const boost::system::error_code& code)
    {
        if (code == http::error::header_limit)
            fail(parse_failure::HeaderTooLarge, response_defect::TooLarge);
        else if (code == http::error::body_limit)
            fail(parse_failure::BodyTooLarge, response_defect::TooLarge);
        else if (code == http::error::partial_message || code == http::error::end_of_stream)
            fail(parse_failure::Truncated, response_defect::None);
        else
            fail(parse_failure::Malformed, response_defect::Syntax);
    }
};

// Names and signatures of the overridden members are given by Boost.Beast.
// NOLINTBEGIN(readability-identifier-naming)
template <bool IsRequest>
class http_parser::typed_implementation final : public implementation, public http::basic_parser<IsRequest> {
public:
    using base = http::basic_parser<IsRequest>;

    explicit typed_implementation(parser_limits limits)
        : m_maxUnparsedBytes(limits.maxHeaderBytes)
    {
        this->header_limit(limits.maxHeaderBytes);
        this->body_limit(limits.maxBodyBytes);
    }

    std::size_t consume(std::string_view bytes) override
    {
        // Beast takes a line that begins with a blank for the rest of the field before it. What it consumes of a head ends with a line.
        if (!IsRequest && !hasHead && hasFoldedField(bytes, base::got_some())) {
            fail(parse_failure::Malformed, response_defect::FoldedField);
            return 0;
        }
        std::size_t consumed = 0;
        while (consumed < bytes.size() && failure == parse_failure::None && !isComplete) {
            const std::string_view rest = bytes.substr(consumed);
            if (awaitsChunks() && rest.size() < minChunkedBodyBytes)
                break;
            boost::system::error_code code;
            const std::size_t parsed = base::put(boost::asio::const_buffer(rest.data(), rest.size()), code);
            consumed += parsed;
            // Beast stops behind the head, and goes on with all that there is from then on.
            this->eager(base::is_header_done());
            if (code == http::error::need_more)
                break;
            if (code)
                setFailure(code);
            isComplete = base::is_done();
            if (parsed == 0)
                break;
        }
        // Beast applies its limit to the head only, and looks for the end of a chunk header or of the trailers in all of the input.
        if (!isComplete && failure == parse_failure::None && bytes.size() - consumed > m_maxUnparsedBytes)
            setFailure(http::make_error_code(http::error::header_limit));
        return consumed;
    }

    void finishAtConnectionEnd() override
    {
        if (isComplete || failure != parse_failure::None)
            return;
        // Beast asserts that something was received.
        if (!base::got_some())
            return setFailure(http::make_error_code(http::error::end_of_stream));
        boost::system::error_code code;
        base::put_eof(code);
        if (code)
            setFailure(code);
        isComplete = base::is_done();
    }

protected:
    void on_request_impl(http::verb, boost::string_view method, boost::string_view target, int,
        boost::system::error_code&) override
    {
        request.method.assign(method.data(), method.size());
        request.target.assign(target.data(), target.size());
    }

    void on_response_impl(int code, boost::string_view reason, int version, boost::system::error_code&) override
    {
        response.status = static_cast<unsigned>(code);
        response.version = version;
        response.reason.assign(reason.data(), reason.size());
    }

    void on_field_impl(http::field, boost::string_view name, boost::string_view value, boost::system::error_code&) override
    {
        // Trailers are dropped: as headers they could change the request's framing, key or id after these were read.
        if (hasHead)
            return;
        const std::string_view fieldName(name.data(), name.size());
        const std::string_view fieldValue(value.data(), value.size());
        headBytes += sizeof(header_field) + fieldName.size() + fieldValue.size();
        (IsRequest ? request.headers : response.headers).add(fieldName, fieldValue);
    }

    void on_header_impl(boost::system::error_code& code) override
    {
        request.keepAlive = base::keep_alive();
        response.keepAlive = base::keep_alive();
        response.bodyEndsAtClose = base::need_eof();
        const response_head_classification head = IsRequest ? final_head {} : classifyResponseHead(response);
        hasHead = std::holds_alternative<final_head>(head);
        isInterim = std::holds_alternative<interim_head>(head);
        if (const auto* const invalid = std::get_if<invalid_head>(&head)) {
            defect = invalid->defect;
            code = http::make_error_code(http::error::bad_value);
        }
    }

    void on_body_init_impl(const boost::optional<std::uint64_t>&, boost::system::error_code&) override { }

    std::size_t on_body_impl(boost::string_view bytes, boost::system::error_code&) override
    {
        body.append(bytes.data(), bytes.size());
        return bytes.size();
    }

    void on_chunk_header_impl(std::uint64_t, boost::string_view, boost::system::error_code&) override { m_hasChunk = true; }

    std::size_t on_chunk_body_impl(std::uint64_t, boost::string_view bytes, boost::system::error_code&) override
    {
        body.append(bytes.data(), bytes.size());
        return bytes.size();
    }

    void on_finish_impl(boost::system::error_code&) override { }

private:
    bool awaitsChunks() const { return base::is_header_done() && base::chunked() && !m_hasChunk; }

    std::size_t m_maxUnparsedBytes;
    bool m_hasChunk = false;
};
// NOLINTEND(readability-identifier-naming)

http_parser::http_parser(message_kind kind, parser_limits limits)
    : m_limits(limits)
{
    if (kind == message_kind::Request)
        m_implementation = std::make_unique<typed_implementation<true>>(limits);
    else
        m_implementation = std::make_unique<typed_implementation<false>>(limits);
}

http_parser::~http_parser() = default;

std::size_t http_parser::consume(std::string_view bytes)
{
    std::size_t consumed = 0;
    while (true) {
        const std::size_t size = m_implementation->consume(bytes.substr(consumed));
        consumed += size;
        if (!m_implementation->hasHead)
            m_interimBytes += size;
        if (!m_implementation->isInterim || failure() != parse_failure::None)
            return consumed;
        skipInterimResponse();
        if (failure() != parse_failure::None)
            return consumed;
    }
}

void http_parser::skipInterimResponse()
{
    if (++m_interimResponses > maxInterimResponses || m_interimBytes > m_limits.maxHeaderBytes)
        m_implementation->fail(parse_failure::Malformed, response_defect::InterimResponses);
    else
        m_implementation = std::make_unique<typed_implementation<false>>(m_limits);
}

void http_parser::finishAtConnectionEnd() { m_implementation->finishAtConnectionEnd(); }

bool http_parser::hasHead() const { return m_implementation->hasHead; }

bool http_parser::isComplete() const { return m_implementation->isComplete; }

parse_failure http_parser::failure() const { return m_implementation->failure; }

response_defect http_parser::defect() const { return m_implementation->defect; }

http_request_head http_parser::takeRequestHead() { return std::move(m_implementation->request); }

http_response_head http_parser::takeResponseHead() { return std::move(m_implementation->response); }

std::size_t http_parser::heldBytes() const { return m_implementation->headBytes + m_implementation->body.size(); }

std::string http_parser::takeBody() { return std::exchange(m_implementation->body, {}); }

} // namespace appleramp
