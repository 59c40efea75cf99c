#pragma once

#include "entry/reply_channel.h"

#include <iosfwd>

namespace Poco::Net {
class HTTPServerRequest;
class HTTPServerResponse;
} // namespace Poco::Net

namespace appleramp {

// Writes one reply to the caller's connection, piece by piece.
class reply_writer {
public:
    reply_writer(Poco::Net::HTTPServerRequest& request, Poco::Net::HTTPServerResponse& response);

    // True if the reply is complete with this piece. Throws Poco::Exception if the caller is gone.
    bool write(const reply_piece& piece);
    // True if the caller's connection has been closed.
    bool callerIsGone();

private:
    struct piece_visitor;

    void sendProblem(const problem& answer);
    void sendHead(const reply_head& head);
    void sendData(const std::string& data);
    void sendDocument(const reply_document& document);
    void abort(const problem& answer);

    Poco::Net::HTTPServerRequest& m_request;
    Poco::Net::HTTPServerResponse& m_response;
    std::ostream* m_stream = nullptr;
    bool m_isEventStream = false;
};

// The JSON text of an application/problem+json body.
std::string problemDocument(const problem& answer);

} // namespace appleramp
