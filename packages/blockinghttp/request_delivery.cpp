#include "blockinghttp/request_delivery.h"

#include <Poco/Net/HTTPClientSession.h>
#include <Poco/Net/HTTPRequest.h>

#include <ostream>

namespace appleramp {

request_delivery writeRequest(Poco::Net::HTTPClientSession& session, Poco::Net::HTTPRequest& head, std::string_view body)
{
    std::ostream& stream = session.sendRequest(head);
    stream.write(body.data(), static_cast<std::streamsize>(body.size()));
    stream.flush();
    return stream.good() && session.networkException() == nullptr ? request_delivery::Whole : request_delivery::Broken;
}

} // namespace appleramp
