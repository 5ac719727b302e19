#include "proxy_node.h"

#include "hashing.h"

#include <algorithm>
#include <random>

namespace pomelohub {

namespace {

    using std::chrono::milliseconds;
    using tcp = asio::ip::tcp;

    /** It takes two failed readiness probes, at one per second, until callers are directed to other nodes.
     * New requests from callers and from other nodes are served until then. */
    constexpr duration gatewayDrainDelay = milliseconds(1500);
    constexpr duration minShutdownDuration = milliseconds(2300);
    /** End of the grace period that is kept free for sending the last responses and exiting. */
    constexpr duration exitMargin = milliseconds(500);
    /** Responses are due this long before the exit margin starts, so that they can be sent and read. */
    constexpr duration lastResponseMargin = milliseconds(250);
    constexpr duration idleCheckInterval = milliseconds(50);
    /** Number of nodes that may become the owner of a quota, in order of preference. After a network
     * partition, a side with a tenth of the fleet contains one of them in 97 of 100 cases; in small fleets it
     * always does.
     */
    constexpr std::size_t maxOwnerCandidates = 32;
    constexpr duration runningInterval = milliseconds(500); ///< As quota_allocator::recordRunning() asks for.
    constexpr duration reloadInterval = std::chrono::seconds(2);

    choice_random_hook makeRandom()
    {
        return [generator = std::mt19937_64(std::random_device {}())](
                   std::uint64_t below) mutable { return generator() % below; };
    }

    quota_grant parseGrant(const peer_message& message)
    {
        return { static_cast<std::uint32_t>(message.number("tokens")), message.time("retry-after") };
    }

} // namespace

/** A thread that serves requests, with its execution context. */
struct proxy_node::worker {
    explicit worker(proxy_node& node)
        : guard(asio::make_work_guard(context))
        , throttle(context, node.m_memory, {}, node.m_clock)
        , forwarder(context, node.m_settings.node, {}, node.m_log, { node.m_clock, nullptr, &throttle })
    {
    }

    static worker*& current()
    {
        thread_local worker* currentWorker = nullptr;
        return currentWorker;
    }

    asio::io_context context;
    asio::executor_work_guard<asio::io_context::executor_type> guard;
    receive_throttle throttle;
    peer_forwarder forwarder;
    std::unique_ptr<ingress_router> router;
    std::thread thread;
};

proxy_node::proxy_node(proxy_settings settings, proxy_dependencies dependencies, clock_hook clock)
    : m_settings(std::move(settings))
    , m_dependencies(std::move(dependencies))
    , m_clock(std::move(clock))
    , m_log(m_settings.node, {}, m_clock)
    , m_quarantine({})
    , m_memory(memory_limits::forProcess(m_settings.memoryBytes))
    , m_controller({ [this](const std::string& document) { return decodeConfiguration(document); },
          [this] { onSnapshotPublished(); },
          [this](const std::string& reason) {
              m_log.write(event_priority::always, "configuration_refused", {}, { { "reason", reason } });
          } })
    , m_quotaAllocator({}, m_settings.isFirstFleetStart, m_clock().monotonic)
    , m_signals(m_control, SIGTERM, SIGINT, SIGHUP)
    , m_stopTimer(m_control)
    , m_reloadTimer(m_control)
{
}

proxy_node::~proxy_node()
{
    for (const auto& each : m_workers) {
        each->context.stop();
        if (each->thread.joinable())
            each->thread.join();
    }
}

http_server_limits proxy_node::callerLimits() const
{
    http_server_limits limits;
    limits.maxConnections = std::min(
        m_settings.maxConnections, memory_limits::forProcess(m_settings.memoryBytes).maxConnections);
    auto snapshot = m_controller.snapshot();
    if (!snapshot || !snapshot->routes)
        return limits;
    const auto& configured = snapshot->routes->limits;
    limits.reader = { configured.maxHeaderBytes, configured.maxBodyBytes };
    limits.headerTimeout = configured.headerTimeout;
    limits.idleTimeout = configured.idleTimeout;
    return limits;
}

tl::expected<handle<routing_table>, std::string> proxy_node::decodeConfiguration(const std::string& document)
{
    auto startedAt = m_clock().monotonic;
    auto table = m_dependencies.decodeConfiguration(document);
    auto took = m_clock().monotonic - startedAt;
    m_metrics.recordDecoding(document.size(), took);
    m_log.write(event_priority::always, "configuration_decoded", {},
        { { "version", table ? (*table)->version : 0 },
            { "bytes", static_cast<std::uint64_t>(document.size()) }, { "took", took } });
    return table;
}

control_loop::hooks proxy_node::controlHooks()
{
    return { m_clock, makeRandom(),
        [this](const std::string& endpoint, peer_message message, duration timeout,
            std::function<void(std::optional<peer_message>)> done) {
            auto& first = *m_workers.front();
            asio::post(first.context,
                [this, &first, endpoint, message = std::move(message), timeout,
                    done = std::move(done)]() mutable {
                    first.forwarder.sendRequest(endpoint, std::move(message), timeout,
                        [this, done = std::move(done)](std::optional<peer_message> response) {
                            asio::post(m_control, [done, response = std::move(response)]() mutable {
                                done(std::move(response));
                            });
                        });
                });
        } };
}

std::optional<std::string> proxy_node::run(const std::function<std::optional<proxy_settings>()>& reload)
{
    auto backend = endpointFromText(m_settings.backendEndpoint);
    // The gateway runs on the thread of the first worker, whose forwarder calls it without a peer link.
    auto firstWorker = std::make_unique<worker>(*this);
    auto& context = firstWorker->context;
    gateway_policy gatewayPolicy;
    gatewayPolicy.coldServers = m_settings.coldServers;
    m_gateway = std::make_unique<backend_gateway>(context, *backend, m_settings.service,
        m_settings.dataCentre, m_dependencies.headerCodec, gatewayPolicy, m_log,
        backend_gateway::hooks { m_clock, [this] { return m_controller.snapshot(); },
            [this](request_fingerprint fingerprint, instant now) {
                return m_quarantine.isQuarantined(fingerprint, now);
            },
            [this](const std::vector<interrupted_request>& interrupted) {
                asio::post(m_control, [this, interrupted] { m_controlLoop->recordCrash(interrupted); });
            },
            [this](request_fingerprint fingerprint) {
                if (m_quarantine.noteResponse(fingerprint, m_clock().monotonic))
                    asio::post(
                        m_control, [this, fingerprint] { m_controlLoop->recordResponse(fingerprint); });
            },
            &firstWorker->throttle, [this](bool isCold) { m_metrics.setBackendCold(isCold); } });
    firstWorker->forwarder.setGateway(m_gateway.get());
    m_workers.push_back(std::move(firstWorker));
    while (m_workers.size() < m_settings.threadCount)
        m_workers.push_back(std::make_unique<worker>(*this));
    ingress_policy ingressPolicy;
    ingressPolicy.retryLimits = m_settings.retries;
    ingressPolicy.queueing = m_settings.queueing;
    ingressPolicy.race.parallelOffers = m_settings.queueing.parallelOffers;
    for (const auto& each : m_workers) {
        auto* requester = each.get();
        each->router
            = std::make_unique<ingress_router>(each->context, m_settings.service, m_settings.dataCentre,
                m_dependencies.headerCodec, m_quarantine, each->forwarder, ingressPolicy, m_log, m_metrics,
                ingress_router::hooks { m_clock, [this] { return m_controller.snapshot(); }, makeRandom(),
                    [this] { return m_responseDeadline.load(); }, [this] { return m_gateway->retryShare(); },
                    [this] {
                        asio::dispatch(m_workers.front()->context, [this] { m_gateway->recordFailedCall(); });
                    },
                    [this, requester](const handle<const organisation_limits>& limits,
                        std::uint32_t requestedTokens, duration timeout,
                        std::function<void(std::optional<quota_grant>)> done) {
                        requestQuota(*requester, limits, requestedTokens, timeout, std::move(done));
                    } });
    }
    if (auto error = listenAll())
        return error;
    instance_announcement self { m_settings.node,
        static_cast<incarnation_number>(m_clock().wall.time_since_epoch().count()), 0,
        m_settings.announcedPeersEndpoint, m_settings.dataCentre, m_settings.service, false };
    m_controlLoop = std::make_unique<control_loop>(m_control, self, m_settings.seeds, m_controller,
        m_quarantine, m_dependencies.makeStore(m_control, m_settings, m_log), control_policy {}, m_log,
        m_metrics, controlHooks());
    m_log.write(event_priority::always, "started", {},
        { { "service", m_settings.service.text() }, { "data_centre", m_settings.dataCentre.text() },
            { "threads", m_settings.threadCount }, { "first_start", m_settings.isFirstFleetStart } });
    for (const auto& each : m_workers) {
        each->thread = std::thread([raw = each.get()] {
            worker::current() = raw;
            raw->context.run();
        });
    }
    m_runningTimer = std::make_unique<one_shot_timer>(m_workers.front()->context);
    asio::post(m_workers.front()->context, [this] { recordRunningPeriodically(); });
    m_controlLoop->start();
    waitForSignals(reload);
    reloadPeriodically(reload);
    m_control.run();
    m_log.write(event_priority::always, "stopped", {}, {});
    m_log.flush();
    return std::nullopt;
}

std::optional<std::string> proxy_node::listenAll()
{
    auto& first = m_workers.front()->context;
    m_callerServer = std::make_unique<http_server>(first,
        http_server::hooks { [](http_message&& message, handle<http_responder> responder) {
                                worker::current()->router->serve(std::move(message), std::move(responder));
                            },
            [this] { return callerLimits(); }, m_clock,
            [this] { return &m_workers[m_nextWorker++ % m_workers.size()]->context; },
            [] { return &worker::current()->throttle; },
            [this](http_message&& partialRequest) { recordRequestGivenUp(std::move(partialRequest)); },
            [this](std::size_t unsentBytes) {
                m_log.write(event_priority::failure, "response_not_taken", {},
                    { { "unsent", static_cast<std::uint64_t>(unsentBytes) },
                        { "held", static_cast<std::uint64_t>(m_memory.heldBytes()) } });
            },
            [this](duration stalled, std::size_t bodyBytes) {
                m_metrics.recordStalledConnection();
                m_log.write(event_priority::failure, "connection_given_up", {},
                    { { "stalled", stalled }, { "received", static_cast<std::uint64_t>(bodyBytes) },
                        { "held", static_cast<std::uint64_t>(m_memory.heldBytes()) } });
            } });
    auto defaultLimits = [] { return http_server_limits {}; };
    m_notificationServer = std::make_unique<http_server>(m_control,
        http_server::hooks { [this](http_message&& message, const handle<http_responder>& responder) {
                                handleBackendNotification(message, responder);
                            },
            defaultLimits, m_clock, nullptr });
    m_readinessServer = std::make_unique<http_server>(m_control,
        http_server::hooks { [this](http_message&& message, const handle<http_responder>& responder) {
                                if (m_dependencies.isReadinessProbe(message))
                                    handleReadinessProbe(responder);
                                else
                                    responder->respond(makeResponse(404, ""));
                            },
            defaultLimits, m_clock, nullptr });
    m_metricsServer = std::make_unique<http_server>(m_control,
        http_server::hooks { [this](http_message&&, const handle<http_responder>& responder) {
                                m_metrics.setDroppedLogLines(m_log.droppedCount());
                                m_metrics.setHeldBytes(m_memory);
                                responder->respond(
                                    makeResponse(200, m_metrics.text(), "text/plain; version=0.0.4"));
                            },
            defaultLimits, m_clock, nullptr });
    struct listener {
        http_server* server;
        const std::string& address;
    };
    for (const auto& each : { listener { m_callerServer.get(), m_settings.callersEndpoint },
             listener { m_notificationServer.get(), m_settings.backendNotificationsEndpoint },
             listener { m_readinessServer.get(), m_settings.readinessEndpoint },
             listener { m_metricsServer.get(), m_settings.metricsEndpoint } }) {
        auto address = endpointFromText(each.address);
        if (!address)
            continue; // Only the metrics endpoint may be omitted.
        if (auto error = each.server->listen(*address))
            return error;
    }
    m_peerAcceptor = std::make_unique<connection_acceptor>(first,
        connection_acceptor::hooks {
            [this](tcp::socket socket) {
                auto link = peer_link::makeServer(std::move(socket), {},
                    { nullptr, nullptr,
                        [this](const handle<peer_request>& request) { handlePeerRequest(request); }, m_clock,
                        nullptr, &m_workers.front()->throttle });
                link->start();
            },
            [this](std::error_code error) {
                m_log.write(
                    event_priority::failure, "peer_not_accepted", {}, { { "error", error.message() } });
            },
            nullptr });
    return m_peerAcceptor->listen(*endpointFromText(m_settings.peersEndpoint));
}

void proxy_node::handlePeerRequest(const handle<peer_request>& request)
{
    auto type = request->message.value("type");
    if (type == "forward") {
        handleForwardedRequest(request);
    } else if (type == "allowance") {
        handleQuotaRequest(request);
    } else if (type == "gossip") {
        asio::post(m_control, [this, request] {
            auto response = m_controlLoop->handleGossip(request->message);
            asio::post(m_workers.front()->context,
                [request, response] { request->reply(response.value_or(peer_message {})); });
        });
    } else {
        m_log.write(event_priority::failure, "peer_request_unknown", {}, { { "type", type } });
        request->reply({});
    }
}

void proxy_node::handleForwardedRequest(const handle<peer_request>& request)
{
    auto fields = decodeForwardedFields(request->message);
    if (!fields) {
        m_log.write(event_priority::failure, "peer_request_unreadable", {}, {});
        request->reply(encodeForwardReply({}, false));
        return;
    }
    handle<gateway_request> local(new gateway_request);
    local->request = std::move(*fields);
    local->hasPayload = !request->isOffer;
    auto decodeMessage = [this, local, raw = request.get()] {
        auto message = decodeRequestPayload(raw->takePayload(),
            [this] { return m_workers.front()->throttle.makeBody(byte_holder::peerMessage); });
        if (message)
            local->request.message = std::move(*message);
        return message.has_value();
    };
    if (local->hasPayload && !decodeMessage()) {
        request->reply(encodeForwardReply({}, false));
        return;
    }
    local->onReply = [request, raw = local.get()](const forward_reply& reply) {
        request->reply(encodeForwardReply(reply, raw->request.message.method == "HEAD"));
    };
    request->onCancelled = [this, local] { m_gateway->cancel(*local); };
    if (request->isOffer) {
        local->onGranted = [request] { request->grant(); };
        request->onPayloadComplete = [this, local, decodeMessage] {
            if (decodeMessage())
                m_gateway->commit(*local);
            else
                m_gateway->cancel(*local);
        };
    }
    m_gateway->submit(local);
}

void proxy_node::recordRequestGivenUp(http_message&& partialRequest)
{
    auto caller = m_dependencies.headerCodec.readCallerRequest(partialRequest);
    m_log.write(event_priority::failure, "request_given_up", caller ? caller->id : request_id(),
        { { "received", static_cast<std::uint64_t>(partialRequest.body.size()) },
            { "held", static_cast<std::uint64_t>(m_memory.heldBytes()) } });
    m_metrics.recordRefusal(refusal_reason::memoryExhausted, httpStatus(refusal_reason::memoryExhausted));
}

handle<const organisation_limits> proxy_node::findLimits(const organisation_id& id) const
{
    if (auto service = serviceOfRetryReserve(id))
        return retryReserveOf(m_settings.retries, *service);
    auto snapshot = m_controller.snapshot();
    const auto* organisations = snapshot && snapshot->routes ? snapshot->routes->organisations() : nullptr;
    return organisations ? organisations->named(id) : nullptr;
}

/** As what this node grants the tokens of \p item; nothing if it can reach a preferred owner. */
std::optional<quota_role> proxy_node::quotaRoleFor(
    const worker& observer, const fleet_snapshot& snapshot, const organisation_id& item, instant now) const
{
    auto role = quota_role::owner;
    for (const auto& owner : ownersOf(snapshot, item.text(), maxOwnerCandidates)) {
        if (owner.id == m_settings.node)
            return role;
        if (!observer.forwarder.nodeReachability().isUnreachable(owner.endpoint, now))
            return std::nullopt;
        role = quota_role::standIn;
    }
    return std::nullopt;
}

void proxy_node::recordRunningPeriodically()
{
    m_quotaAllocator.recordRunning(m_clock().monotonic);
    m_runningTimer->startAfter(runningInterval, [this] { recordRunningPeriodically(); });
}

double proxy_node::reachableShare(const fleet_snapshot& snapshot, instant now) const
{
    auto nodes = static_cast<double>(std::max<std::size_t>(snapshot.nodes.size(), 1));
    auto unreachable
        = static_cast<double>(m_workers.front()->forwarder.nodeReachability().unreachableCount(now));
    return std::max(1 / nodes, 1 - unreachable / nodes);
}

void proxy_node::handleQuotaRequest(const handle<peer_request>& request)
{
    auto limits = findLimits(organisation_id(std::string(request->message.value("organisation"))));
    if (!limits) {
        request->reply({}); // The sender has a newer configuration; it falls back to its even share.
        return;
    }
    auto requestedTokens = static_cast<std::uint32_t>(request->message.number("wanted"));
    auto now = m_clock().monotonic;
    auto snapshot = m_controller.snapshot();
    auto role = quotaRoleFor(*m_workers.front(), *snapshot, limits->id, now);
    if (!role) {
        request->reply({}); // This node can reach a preferred owner; the sender falls back to its even share.
        return;
    }
    auto grant = m_quotaAllocator.grant(*limits, requestedTokens, reachableShare(*snapshot, now), now, *role);
    request->reply(
        { { { "tokens", std::to_string(grant.tokens) }, { "retry-after", timeFieldText(grant.retryAfter) } },
            "" });
}

void proxy_node::requestQuota(worker& requester, const handle<const organisation_limits>& limits,
    std::uint32_t requestedTokens, duration timeout, std::function<void(std::optional<quota_grant>)> done)
{
    auto snapshot = m_controller.snapshot();
    auto now = m_clock().monotonic;
    auto owners = ownersOf(*snapshot, limits->id.text(), maxOwnerCandidates);
    bool isPreferred = !owners.empty() && owners.front().id == m_settings.node;
    std::erase_if(owners, [&](const fleet_node& each) {
        return each.id != m_settings.node
            && requester.forwarder.nodeReachability().isUnreachable(each.endpoint, now);
    });
    if (owners.empty()) {
        done(std::nullopt);
        return;
    }
    const auto& owner = owners.front();
    if (owner.id == m_settings.node && &requester == m_workers.front().get()) {
        auto role = isPreferred ? quota_role::owner : quota_role::standIn;
        done(m_quotaAllocator.grant(*limits, requestedTokens, reachableShare(*snapshot, now), now, role));
        return;
    }
    peer_message request { { { "type", "allowance" }, { "organisation", limits->id.text() },
                               { "wanted", std::to_string(requestedTokens) } },
        "" };
    requester.forwarder.sendRequest(owner.endpoint, std::move(request), timeout,
        [done = std::move(done)](const std::optional<peer_message>& response) {
            if (response && !response->value("tokens").empty())
                done(parseGrant(*response));
            else
                done(std::nullopt);
        });
}

void proxy_node::handleBackendNotification(
    const http_message& message, const handle<http_responder>& responder)
{
    auto notification = m_dependencies.readBackendNotification(message);
    if (!notification) {
        m_log.write(
            event_priority::failure, "backend_call_unreadable", {}, { { "reason", notification.error() } });
        responder->respond(makeResponse(400, ""));
        return;
    }
    // The response confirms the notification, so it is sent only after the gateway has processed it.
    asio::post(m_workers.front()->context, [this, notification = std::move(*notification), responder] {
        if (const auto* heartbeat = std::get_if<backend_heartbeat>(&notification)) {
            if (heartbeat->service == m_settings.service)
                m_gateway->handleHeartbeat(*heartbeat);
            else
                m_log.write(event_priority::failure, "heartbeat_of_other_service", {},
                    { { "backend", heartbeat->id.text() }, { "service", heartbeat->service.text() } });
        } else {
            const auto& deregistration = std::get<backend_deregistration>(notification);
            if (!m_gateway->handleDeregistration(deregistration.id, deregistration.startedAt))
                m_log.write(event_priority::failure, "farewell_of_other_start", {},
                    { { "backend", deregistration.id.text() } });
        }
        asio::post(m_control, [responder] { responder->respond(makeResponse(200, "{}")); });
    });
}

void proxy_node::handleReadinessProbe(const handle<http_responder>& responder)
{
    bool isReady = !m_isStopping && m_controller.version() > 0;
    responder->respond(makeResponse(isReady ? 200 : 503, ""));
}

void proxy_node::onSnapshotPublished()
{
    m_metrics.setConfigurationVersion(m_controller.version());
    auto snapshot = m_controller.snapshot();
    m_metrics.setKnownNodes(snapshot->nodes.size());
    m_log.write(event_priority::always, "view_changed", {},
        { { "version", m_controller.version() }, { "era", m_controller.operators().position.era },
            { "position", m_controller.operators().position.offset }, { "nodes", snapshot->nodes.size() },
            { "evacuated", snapshot->evacuated.size() } });
    std::set<std::string> endpoints;
    for (const auto& each : snapshot->nodes)
        endpoints.insert(each.endpoint);
    for (const auto& each : m_workers)
        asio::post(
            each->context, [raw = each.get(), endpoints] { raw->forwarder.closeLinksExcept(endpoints); });
    if (!m_workers.empty())
        asio::post(m_workers.front()->context, [this] { m_gateway->onSnapshotChanged(); });
}

void proxy_node::waitForSignals(std::function<std::optional<proxy_settings>()> reload)
{
    m_signals.async_wait([this, reload = std::move(reload)](std::error_code error, int signal) {
        if (error)
            return;
        if (signal == SIGHUP) {
            m_log.write(event_priority::always, "reloading", {}, { { "cause", "signal" } });
            m_reloadTimer.cancel();
            reloadPeriodically(reload);
            waitForSignals(reload);
            return;
        }
        stop();
    });
}

void proxy_node::reloadPeriodically(std::function<std::optional<proxy_settings>()> reload)
{
    if (auto settings = reload())
        m_controlLoop->setSeeds(settings->seeds);
    m_reloadTimer.startAfter(
        reloadInterval, [this, reload = std::move(reload)] { reloadPeriodically(reload); });
}

void proxy_node::stop()
{
    m_log.write(event_priority::always, "stopping", {},
        { { "requests", m_callerServer->pendingCount() }, { "grace", m_settings.gracePeriod } });
    m_isStopping = true;
    m_stopStartedAt = m_clock().monotonic;
    m_responseDeadline = m_stopStartedAt + m_settings.gracePeriod - exitMargin - lastResponseMargin;
    m_callerServer->startDraining();
    m_controlLoop->leave([] {});
    stopWhenIdle();
}

void proxy_node::stopWhenIdle()
{
    auto elapsed = m_clock().monotonic - m_stopStartedAt;
    if (!m_isGatewayDraining && elapsed >= gatewayDrainDelay) {
        m_isGatewayDraining = true;
        asio::post(m_workers.front()->context, [this] { m_gateway->startDraining(); });
    }
    bool isIdle = m_callerServer->pendingCount() == 0 && m_callerServer->deliveringCount() == 0
        && m_gateway->activeCount() == 0;
    bool hasGraceExpired = elapsed >= m_settings.gracePeriod - exitMargin;
    if ((isIdle && elapsed >= minShutdownDuration) || hasGraceExpired) {
        for (const auto& each : m_workers)
            each->context.stop();
        m_control.stop();
        return;
    }
    m_stopTimer.startAfter(idleCheckInterval, [this] { stopWhenIdle(); });
}

} // namespace pomelohub
