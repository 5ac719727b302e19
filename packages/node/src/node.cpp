#include "node.h"

#include <glog/logging.h>

#include <future>
#include <random>

namespace pomelohub {

namespace {

    constexpr std::chrono::milliseconds logTimeout { 2000 };
    constexpr std::chrono::milliseconds hostTickInterval { 1000 };
    /** Time for callers and other nodes to notice that this node leaves, before it stops listening. */
    constexpr std::chrono::milliseconds leaveNoticePeriod { 1000 };

    std::uint64_t randomBelow(std::uint64_t bound)
    {
        thread_local std::mt19937_64 engine { std::random_device {}() };
        return std::uniform_int_distribution<std::uint64_t>(0, bound > 0 ? bound - 1 : 0)(engine);
    }

} // namespace

/** Members are destroyed in reverse order, so that each component is destroyed before its dependencies. */
struct node::parts {
    explicit parts(std::size_t eventThreads)
        : strand(asio::make_strand(io))
        , threadCount(eventThreads)
    {
    }

    asio::io_context io;
    asio::executor_work_guard<asio::io_context::executor_type> work { io.get_executor() };
    gossip_socket::strand strand;
    std::size_t threadCount;
    std::vector<std::thread> ioThreads;
    node_metrics metrics;
    rcu_cell<tls_contexts> contexts;
    std::atomic<bool> isLeaving { false };
    std::unique_ptr<control_state> state;
    handle<peer_client> peers;
    handle<peer_listener> listener;
    handle<gossip_socket> gossip;
    handle<control_plane> control;
    handle<backend_host> host;
    handle<fleet_forwarder> forwarder;
    handle<action_authority> authority;
    handle<rate_client> rates;
    handle<peer_service> service;
    request_chain chain;
    std::unique_ptr<caller_front> front;
    std::unique_ptr<caller_listener> callers;
    std::unique_ptr<admin_listener> admin;
    std::unique_ptr<asio::steady_timer> hostTimer;
    event_counter idleChanges;
};

node::node(node_settings settings, clock_hook clock)
    : m_settings(std::move(settings))
    , m_clock(std::move(clock))
    , m_parts(std::make_unique<parts>(m_settings.eventThreads))
{
}

node::~node() = default;

void node::recordDecision(decision made)
{
    LOG(INFO) << toLogLine(made);
    if (m_parts->control)
        m_parts->control->withState(
            [made = std::move(made)](control_state& state, const present&) { state.addDecision(made); });
}

tl::expected<void, std::string> node::reloadCertificates()
{
    auto contexts = loadTlsContexts(m_settings.tls);
    if (!contexts)
        return tl::unexpected(contexts.error());
    m_parts->contexts.publish(*contexts);
    return {};
}

tl::expected<void, std::string> node::open()
{
    if (auto loaded = reloadCertificates(); !loaded)
        return loaded;
    auto secrets = readSecrets(m_settings.datagramSecretsFile);
    if (!secrets)
        return tl::unexpected(secrets.error());
    auto& parts = *m_parts;
    parts.listener = new peer_listener(parts.io, parts.contexts, session_limits {}, m_clock);
    // Bind the TCP port for peer streams first: success shows that no earlier incarnation of this node runs.
    if (auto bound = parts.listener->listen(m_settings.peersEndpoint); !bound)
        return bound;
    buildControl(*secrets);
    if (auto bound = parts.gossip->open(m_settings.peersEndpoint); !bound)
        return bound;
    buildHost();
    buildFront();
    if (auto bound = parts.callers->listen(); !bound)
        return bound;
    return parts.admin->listen(m_settings.adminEndpoint);
}

void node::buildControl(const std::vector<std::string>& secrets)
{
    auto& parts = *m_parts;
    auto life = static_cast<incarnation_number>(m_clock().wall.time_since_epoch().count());
    control_hooks hooks { randomBelow, [this](decision made) { recordDecision(std::move(made)); },
        [&parts](const std::string& outcome) { parts.metrics.countRecord(outcome); } };
    parts.state = std::make_unique<control_state>(
        m_settings, node_incarnation { m_settings.node, life }, std::move(hooks));
    parts.peers = new peer_client(parts.io, parts.contexts, session_limits {}, m_clock);
    parts.gossip = new gossip_socket(parts.strand, datagram_sealer(secrets), parts.metrics);
    parts.control = new control_plane({ parts.io, m_settings, *parts.state, parts.peers, parts.gossip,
        makeHttpLogAccess(m_settings.logAddress, logTimeout), m_clock, randomBelow, parts.strand });
}

void node::buildHost()
{
    auto& parts = *m_parts;
    admission_hooks admissionHooks {
        [&parts, this] { return parts.state->table().isInService(m_settings.dataCentre); },
        [&parts] { return parts.isLeaving.load(); },
    };
    host_settings settings;
    settings.queueLength = m_settings.queueLength;
    auto onDecision = [this](decision made) { recordDecision(std::move(made)); };
    parts.host = new backend_host(parts.io, m_settings.backendThreads, settings,
        { admissionHooks, m_clock, onDecision, [&parts](const std::vector<announced_backend>& backends) {
             parts.control->withState(
                 [backends](control_state& state, const present&) { state.setBackends(backends); });
         } });
    load_balancing_policy loadBalancing { randomBelow,
        [&parts](const data_centre_id& dataCentre) { return parts.state->slowStart().weightOf(dataCentre); },
        nullptr };
    auto onCrash = [&parts](request_fingerprint fingerprint, const backend_server_id& backend,
                       instant startedAt, const std::string& subject) {
        parts.control->withState(
            [fingerprint, backend, startedAt, subject](control_state& state, const present& now) {
                state.recordBackendCrash(fingerprint, backend, startedAt, subject, now);
            });
    };
    auto onCleared = [&parts](request_fingerprint fingerprint) {
        parts.control->withState([fingerprint](control_state& state, const present& now) {
            state.recordBackendResponse(fingerprint, now);
        });
    };
    forwarder_dependencies forwarding { *parts.state, parts.host, parts.peers, m_clock, onDecision,
        loadBalancing, m_settings.dataCentre, [&parts] { parts.metrics.countRetry(); }, onCrash, onCleared };
    parts.forwarder = new fleet_forwarder(std::move(forwarding), retry_policy {});
    parts.authority = new action_authority(parts.control, parts.forwarder, m_clock, onDecision);
    parts.service = new peer_service(parts.host, parts.authority, parts.control, parts.metrics);
}

void node::buildFront()
{
    auto& parts = *m_parts;
    auto onDecision = [this](decision made) { recordDecision(std::move(made)); };
    parts.rates = new rate_client(parts.control, m_clock);
    parts.chain = makeEntryChain({ parts.state->table(), parts.state->leases(), parts.state->quarantine(),
        [&parts](instant now) { return parts.state->readiness(now); },
        [&parts](const handle<organisation_leases>& leases, bool wait) {
            return parts.rates->refill(leases, wait);
        },
        m_clock, { m_settings.defaultTimeout, m_settings.maxTimeout } });
    parts.front = std::make_unique<caller_front>(
        caller_front_dependencies { parts.chain, *parts.state, parts.forwarder, parts.authority, parts.peers,
            parts.metrics, m_clock, randomBelow, onDecision, m_settings.maxBodyBytes });
    stream_limits limits;
    limits.maxHeadBytes = m_settings.maxHeaderBytes;
    parts.callers = std::make_unique<caller_listener>(parts.io,
        caller_listener_settings {
            m_settings.callersEndpoint, m_settings.requestThreads, m_settings.maxConnections, limits },
        m_clock, [&parts](const std::string& listener) { parts.metrics.countBadInput(listener); });
    parts.front->attach(*parts.callers);
    parts.admin = std::make_unique<admin_listener>(admin_dependencies {
        parts.control, parts.host, parts.metrics, m_clock, [this] { return readings(); } });
}

gauge_readings node::readings() const
{
    gauge_readings readings;
    readings.callerConnections = static_cast<double>(m_parts->callers->connectionCount());
    readings.peerSessions = static_cast<double>(m_parts->listener->sessionCount());
    return readings;
}

void node::start()
{
    auto& parts = *m_parts;
    for (std::size_t i = 0; i < parts.threadCount; ++i)
        parts.ioThreads.emplace_back([&parts] { parts.io.run(); });
    parts.control->start();
    parts.listener->start([service = parts.service](const handle<exchange>& incoming,
                              const node_id& peer) { service->submit(incoming, peer); },
        [&parts](const std::string& why) {
            parts.metrics.countBadInput("peers");
            LOG(WARNING) << "peer handshake failed reason=\"" << why << '"';
        });
    parts.callers->start();
    parts.admin->start();
    parts.hostTimer = std::make_unique<asio::steady_timer>(parts.io);
    scheduleHostTick();
    LOG(INFO) << "started node=" << m_settings.node.text() << " callers=" << m_settings.callersEndpoint;
}

void node::scheduleHostTick()
{
    auto& parts = *m_parts;
    parts.hostTimer->expires_after(hostTickInterval);
    parts.hostTimer->async_wait([this, &parts](const asio::error_code& error) {
        if (error)
            return;
        parts.host->tick();
        parts.idleChanges.increment();
        scheduleHostTick();
    });
}

bool node::waitUntilIdle(instant deadline)
{
    auto& parts = *m_parts;
    for (;;) {
        auto seen = parts.idleChanges.value();
        if (parts.callers->busyCount() == 0 && parts.host->busyCount() == 0)
            return true;
        if (!parts.idleChanges.waitUntilChanged(seen, deadline))
            return false;
    }
}

void node::shutDown()
{
    auto& parts = *m_parts;
    auto deadline = m_clock().monotonic + m_settings.drainTimeout;
    LOG(INFO) << "shutting down node=" << m_settings.node.text();
    parts.isLeaving = true;
    parts.callers->drain();
    std::promise<void> leaveDone;
    parts.control->leave([&leaveDone] { leaveDone.set_value(); });
    leaveDone.get_future().wait();
    // Wait until callers and other nodes have noticed; requests that arrive until then are still served.
    sleepUntil(m_clock().monotonic + leaveNoticePeriod);
    if (!waitUntilIdle(deadline))
        LOG(WARNING) << "drain timeout expired with requests still in flight";
    parts.callers->shutDown();
    parts.listener->shutDown();
    parts.peers->shutDown();
    parts.host->join();
    parts.admin->stop();
    parts.control->stop();
    parts.work.reset();
    parts.io.stop();
    for (auto& thread : parts.ioThreads)
        thread.join();
    LOG(INFO) << "stopped node=" << m_settings.node.text();
}

} // namespace pomelohub
