// An engine that stops in the middle of its health report must not count as healthy by what had arrived.
#include "agent/engine_client.h"
#include "fakes/raw_answer_server.h"

#include <criterion/criterion.h>

#include <future>
#include <variant>

using namespace appleramp;

namespace {

bool isReportedHealthy(raw_answer_server& engine)
{
    std::promise<bool> healthy;
    engine_client client("http://" + engine.address(), [&healthy](agent_event_body event) {
        healthy.set_value(std::get<engine_probed>(event).healthy);
    });
    client.probe();
    return healthy.get_future().get();
}

} // namespace

Test(engine_client, a_health_report_that_is_cut_is_none)
{
    const std::string report = R"({"healthy":true,"boot_id":"b","running":0,"capacity":4})";
    const std::string answer = "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 0" + std::to_string(report.size()) + "\r\n\r\n" + report;
    raw_answer_server engine;
    for (const auto closedBy : { raw_answer_server::closing::Orderly, raw_answer_server::closing::Reset }) {
        for (std::size_t cut = 0; cut < answer.size(); ++cut) {
            engine.answerWith(answer.substr(0, cut), closedBy);
            cr_expect(!isReportedHealthy(engine), "healthy when cut at %zu", cut);
        }
    }
    engine.answerWith(answer, raw_answer_server::closing::Orderly);
    cr_assert(isReportedHealthy(engine));
}
