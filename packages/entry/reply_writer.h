#pragma once

#include "entry/reply_channel.h"

#include <iosfwd>

namespace Poco::Net {
class HTTPServerRequest;
class HTTPServerResponse;
} // namespace Poco::Net

namespace appleramp {

// Writes the pieces of one reply to the caller's HTTP connection.
class reply_writer {
public:
    reply_writer(Poco::Net::HTTPServerRequest& request, Poco::Net::HTTPServerResponse& response);

    // Returns true if this piece completes the reply. Throws Poco::Exception if the caller has disconnected.
    bool write(const reply_piece& piece);
    // Returns true if the caller has closed the connection.
    bool isCallerDisconnected();

private:
    struct piece_visitor;

    void sendProblem(const problem& answer);
    void sendHead(const reply_head& head);
    void sendData(const std::string& data);
    void sendDocument(const reply_document& document);
    void abortReply(const problem& answer);

    Poco::Net::HTTPServerRequest& m_request;
    Poco::Net::HTTPServerResponse& m_response;
    std::ostream* m_stream = nullptr;
    bool m_isEventStream = false;
};

// Formats the body of an application/problem+json response.
std::string problemDocument(const problem& answer);

} // namespace appleramp
