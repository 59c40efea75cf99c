#include "entry/entry_process.h"

#include "decisions/entry/entry_reducer.h"
#include "entry/caller_handler.h"
#include "entry/operations_handler.h"
#include "memory/body_budget.h"
#include "memory/machine_size.h"
#include "memory/process_limits.h"
#include "model/enum_names.h"
#include "observe/decision_journal.h"
#include "observe/event_log.h"
#include "observe/metrics_registry.h"
#include "observe/span_exporter.h"
#include "observe/span_metrics.h"
#include "replay/trace_header.h"
#include "runtime/http_listener.h"
#include "runtime/platform_access.h"
#include "runtime/process_wiring.h"
#include "runtime/reducer_loop.h"

namespace appleramp {

namespace {

constexpr metric_descriptor requestsMetric { "appleramp_requests_total", metric_kind::Counter,
    "Requests of callers by outcome" };
constexpr int operationsThreads = 8;
constexpr duration defaultTimeout = std::chrono::seconds(60);
// Added to the largest body to bound a link message: the envelope's fields besides the body.
constexpr std::size_t maxEnvelopeBytes = 64 * 1024;
constexpr std::size_t platformThreads = 2;

entry_identity identityOf(const process_settings& settings, incarnation life)
{
    entry_identity identity;
    identity.instance = settings.process.instance;
    identity.zone = settings.process.zone;
    identity.life = life;
    identity.maxRequests = settings.limits.maxRequestsInFlight;
    return identity;
}

} // namespace

class entry_process::implementation {
public:
    implementation(const process_settings& settings, incarnation life, const std::string& recordPath)
        : m_settings(settings)
        , m_identity(identityOf(settings, life))
        , m_journal(settings.observe.journalEntries)
        , m_spans(settings.observe.spansUrl,
              { settings.process.instance, settings.process.zone, m_identity.life, wallClockAtZero() })
        , m_platformOptions(platformOptions(settings.platform))
        , m_bodies(limitsFor(configuredMachineSize(settings.limits.memoryMegabytes, 0)).bodyBytes)
        , m_loop(
              entry_reducer(m_identity), [this](entry_effect&& effect) { carryOut(std::move(effect)); },
              openRecorder(recordPath, encodeTraceHeader(m_identity)))
        , m_services { [this](entry_event_body body) { m_loop.post(std::move(body)); }, m_replies, m_journal, m_metrics,
            settings.limits.maxBodyBytes, settings.limits.maxHeaderBytes, settings.limits.requestReadTimeout,
            defaultTimeout, m_bodies }
        , m_platform(platformWorkerFor(m_loop, m_platformOptions, platformThreads, m_identity.life))
        , m_links(linkCallbacksFor(m_loop), settings.limits.maxBodyBytes + maxEnvelopeBytes)
        , m_linkPort(m_links.listen(settings.listen.links.host, settings.listen.links.port))
        , m_callers(settings.listen.callers.host, settings.listen.callers.port,
              static_cast<int>(settings.entry.maxCallers), settings.limits.requestReadTimeout, [this] { return new caller_handler(m_services); })
        , m_operations(settings.listen.operations.host, settings.listen.operations.port, operationsThreads,
              settings.limits.requestReadTimeout, [this] { return new operations_handler(m_services); })
    {
    }

    entry_ports ports() const { return { m_callers.port(), m_operations.port(), m_linkPort }; }

    void run()
    {
        announceAs(instance_state::Live);
        m_loop.run();
        m_replies.refuseAll(entry_reducer::stoppingProblem());
        m_callers.stop();
        m_operations.stop();
        m_platform.stop();
        m_links.stop();
        withdraw(m_platformOptions, m_identity.instance);
    }

    void requestStop()
    {
        m_services.isStopping = true;
        announceAs(instance_state::Leaving);
        m_loop.post(stop_requested {});
    }

private:
    struct effect_visitor;

    void announceAs(instance_state state)
    {
        const auto& listen = m_settings.listen;
        listed_instance self;
        self.instance = m_identity.instance;
        self.role = process_role::Entry;
        self.zone = m_identity.zone;
        self.linkAddress = socket_address { listen.links.host, m_linkPort }.str();
        self.callerAddress = socket_address { listen.callers.host, m_callers.port() }.str();
        self.state = state;
        announce(m_platformOptions, self);
    }

    void carryOut(entry_effect&& effect);

    process_settings m_settings;
    entry_identity m_identity;
    decision_journal m_journal;
    metrics_registry m_metrics;
    span_exporter m_spans;
    reply_channels m_replies;
    platform_client_options m_platformOptions;
    body_budget m_bodies;
    reducer_loop<entry_reducer, entry_event, entry_effect> m_loop;
    entry_services m_services;
    platform_worker m_platform;
    link_transport m_links;
    std::uint16_t m_linkPort;
    http_listener m_callers;
    http_listener m_operations;
};

struct entry_process::implementation::effect_visitor {
    implementation& self;

    void operator()(send_message&& effect) const { self.m_links.send(effect); }
    void operator()(open_link&& effect) const { self.m_links.open(effect); }
    void operator()(close_link&& effect) const { self.m_links.close(effect.link); }
    void operator()(call_platform&& effect) const { self.m_platform.post(effect.operation, std::move(effect.call)); }
    void operator()(list_instances&& /*effect*/) const { self.m_platform.postListInstances(); }
    void operator()(record_decision&& effect) const
    {
        logDecision(effect.entry);
        self.m_journal.record(std::move(effect.entry));
    }
    void operator()(stop_process&& /*effect*/) const { self.m_loop.stop(); }
    void operator()(finish_span&& effect) const
    {
        logSpan(effect);
        observeSpan(self.m_metrics, effect);
        showExport(self.m_metrics, self.m_spans.counts());
        self.m_spans.add(std::move(effect));
    }
    void operator()(reply_problem&& effect) const
    {
        self.m_metrics.add(requestsMetric, { { "outcome", nameOf(effect.answer.outcome) } });
        deliver(std::move(effect));
    }
    void operator()(reply_end&& effect) const
    {
        self.m_metrics.add(requestsMetric, { { "outcome", "answered" } });
        deliver(effect);
    }
    void operator()(reply_head&& effect) const { deliver(std::move(effect)); }
    void operator()(reply_data&& effect) const { deliver(std::move(effect)); }
    void operator()(reply_aborted&& effect) const { deliver(std::move(effect)); }
    void operator()(reply_document&& effect) const { deliver(std::move(effect)); }

private:
    template <typename Piece>
    void deliver(Piece piece) const
    {
        const auto number = piece.number;
        self.m_replies.deliver(number, std::move(piece));
    }
};

void entry_process::implementation::carryOut(entry_effect&& effect)
{
    std::visit(effect_visitor { *this }, std::move(effect));
}

entry_process::entry_process(const process_settings& settings, incarnation life, const std::string& recordPath)
    : m_implementation(std::make_unique<implementation>(settings, life, recordPath))
{
}

entry_process::~entry_process() = default;
entry_ports entry_process::ports() const { return m_implementation->ports(); }
void entry_process::run() { m_implementation->run(); }
void entry_process::requestStop() { m_implementation->requestStop(); }

} // namespace appleramp
