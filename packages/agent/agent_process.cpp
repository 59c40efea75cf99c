#include "agent/agent_process.h"

#include "agent/agent_operations_handler.h"
#include "agent/engine_client.h"
#include "decisions/agent/agent_reducer.h"
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

constexpr int operationsThreads = 4;
// Added to the largest body to bound a link message: the envelope's fields besides the body.
constexpr std::size_t maxEnvelopeBytes = 64 * 1024;
constexpr std::size_t platformThreads = 1;

agent_identity identityOf(const process_settings& settings, incarnation life)
{
    agent_identity identity;
    identity.instance = settings.process.instance;
    identity.zone = settings.process.zone;
    identity.life = life;
    identity.endpoint = settings.endpoint.description;
    identity.limits.warmSlots = settings.endpoint.capacity;
    identity.limits.coldSlots = settings.endpoint.coldSlots;
    return identity;
}

} // namespace

class agent_process::implementation {
public:
    implementation(const process_settings& settings, incarnation life, const std::string& recordPath)
        : m_settings(settings)
        , m_identity(identityOf(settings, life))
        , m_journal(settings.observe.journalEntries)
        , m_spans(settings.observe.spansUrl,
              { settings.process.instance, settings.process.zone, m_identity.life, wallClockAtZero() })
        , m_platformOptions(platformOptions(settings.platform))
        , m_loop(
              agent_reducer(m_identity), [this](agent_effect&& effect) { carryOut(std::move(effect)); },
              openRecorder(recordPath, encodeTraceHeader(m_identity)))
        , m_platform(platformWorkerFor(m_loop, m_platformOptions, platformThreads, m_identity.life))
        , m_engine(settings.endpoint.url, [this](agent_event_body event) { m_loop.post(std::move(event)); })
        , m_links(linkCallbacksFor(m_loop), settings.limits.maxBodyBytes + maxEnvelopeBytes)
        , m_linkPort(m_links.listen(settings.listen.links.host, settings.listen.links.port))
        , m_operations(settings.listen.operations.host, settings.listen.operations.port, operationsThreads,
              settings.limits.requestReadTimeout,
              [this] { return new agent_operations_handler(m_journal, m_metrics); })
    {
    }

    std::uint16_t linkPort() const { return m_linkPort; }
    std::uint16_t operationsPort() const { return m_operations.port(); }

    void run()
    {
        announceAs(instance_state::Live);
        m_loop.run();
        m_operations.stop();
        m_platform.stop();
        m_engine.stop();
        m_links.stop();
        withdraw(m_platformOptions, m_identity.instance);
    }

    void requestStop()
    {
        announceAs(instance_state::Leaving);
        m_loop.post(stop_requested {});
    }

private:
    struct effect_visitor;

    void announceAs(instance_state state)
    {
        listed_instance self;
        self.instance = m_identity.instance;
        self.role = process_role::Agent;
        self.zone = m_identity.zone;
        self.linkAddress = socket_address { m_settings.listen.links.host, m_linkPort }.str();
        self.state = state;
        announce(m_platformOptions, self);
    }

    void carryOut(agent_effect&& effect);

    process_settings m_settings;
    agent_identity m_identity;
    decision_journal m_journal;
    metrics_registry m_metrics;
    span_exporter m_spans;
    platform_client_options m_platformOptions;
    reducer_loop<agent_reducer, agent_event, agent_effect> m_loop;
    platform_worker m_platform;
    engine_client m_engine;
    link_transport m_links;
    std::uint16_t m_linkPort;
    http_listener m_operations;
};

struct agent_process::implementation::effect_visitor {
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
    void operator()(call_engine&& effect) const { self.m_engine.start(std::move(effect)); }
    void operator()(cancel_engine_call&& effect) const { self.m_engine.cancel(effect.call); }
    void operator()(probe_engine&& /*effect*/) const { self.m_engine.probe(); }
};

void agent_process::implementation::carryOut(agent_effect&& effect)
{
    std::visit(effect_visitor { *this }, std::move(effect));
}

agent_process::agent_process(const process_settings& settings, incarnation life, const std::string& recordPath)
    : m_implementation(std::make_unique<implementation>(settings, life, recordPath))
{
}

agent_process::~agent_process() = default;
std::uint16_t agent_process::linkPort() const { return m_implementation->linkPort(); }
std::uint16_t agent_process::operationsPort() const { return m_implementation->operationsPort(); }
void agent_process::run() { m_implementation->run(); }
void agent_process::requestStop() { m_implementation->requestStop(); }

} // namespace appleramp
