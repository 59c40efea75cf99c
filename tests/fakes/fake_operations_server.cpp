#include "fakes/fake_operations_server.h"

#include <Poco/Net/HTTPRequestHandler.h>
#include <Poco/Net/HTTPRequestHandlerFactory.h>
#include <Poco/Net/HTTPServer.h>
#include <Poco/Net/HTTPServerRequest.h>
#include <Poco/Net/HTTPServerRequestImpl.h>
#include <Poco/Net/HTTPServerResponse.h>
#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/SocketAddress.h>
#include <Poco/StreamCopier.h>

#include <mutex>

namespace appleramp {

namespace {

using request_function = std::function<fake_answer(const fake_request&)>;

class handler : public Poco::Net::HTTPRequestHandler {
public:
    explicit handler(const request_function& answer)
        : m_answer(answer)
    {
    }

    void handleRequest(Poco::Net::HTTPServerRequest& request, Poco::Net::HTTPServerResponse& response) override
    {
        fake_request received { request.getMethod(), request.getURI(), {} };
        Poco::StreamCopier::copyToString(request.stream(), received.body);
        const fake_answer answer = m_answer(received);
        if (answer.lost) {
            dynamic_cast<Poco::Net::HTTPServerRequestImpl&>(request).socket().shutdown();
            return;
        }
        response.setStatus(static_cast<Poco::Net::HTTPResponse::HTTPStatus>(answer.status));
        response.sendBuffer(answer.body.data(), answer.body.size());
    }

private:
    const request_function& m_answer;
};

class handler_factory : public Poco::Net::HTTPRequestHandlerFactory {
public:
    explicit handler_factory(request_function answer)
        : m_answer(std::move(answer))
    {
    }

    Poco::Net::HTTPRequestHandler* createRequestHandler(const Poco::Net::HTTPServerRequest& /*request*/) override
    {
        return new handler(m_answer);
    }

private:
    request_function m_answer;
};

} // namespace

class fake_operations_server::implementation {
public:
    explicit implementation(answer_function answer)
        : m_socket(Poco::Net::SocketAddress("127.0.0.1", 0))
        , m_server(new handler_factory([this, answer = std::move(answer)](const fake_request& request) {
            const std::lock_guard lock(m_mutex);
            m_requests.push_back(request);
            return answer(request);
        }),
              m_socket, new Poco::Net::HTTPServerParams)
    {
        m_server.start();
    }

    ~implementation() { m_server.stopAll(true); }

    std::string address() const { return m_socket.address().toString(); }

    std::vector<fake_request> requests() const
    {
        const std::lock_guard lock(m_mutex);
        return m_requests;
    }

private:
    mutable std::mutex m_mutex;
    std::vector<fake_request> m_requests;
    Poco::Net::ServerSocket m_socket;
    Poco::Net::HTTPServer m_server;
};

fake_operations_server::fake_operations_server(answer_function answer)
    : m_implementation(std::make_unique<implementation>(std::move(answer)))
{
}

fake_operations_server::~fake_operations_server() = default;

std::string fake_operations_server::address() const { return m_implementation->address(); }

std::vector<fake_request> fake_operations_server::requests() const { return m_implementation->requests(); }

} // namespace appleramp
