#include "admin_listener.h"

#include "http_server_options.h"
#include "parse_number.h"

#include <future>

namespace pomelohub {

using nlohmann::json;
using std::chrono::milliseconds;

namespace {

    constexpr std::size_t maxAdminBodyBytes = 64 * 1024;
    constexpr milliseconds maxWaitTime { 30'000 };
    constexpr std::size_t adminThreads = 8;

    void sendJson(httplib::Response& response, const json& body, int status = 200)
    {
        response.status = status;
        response.set_content(body.dump() + "\n", "application/json");
    }

    void sendError(httplib::Response& response, int status, const std::string& why)
    {
        sendJson(response, { { "error", why } }, status);
    }

    std::optional<std::uint64_t> numericParameter(const httplib::Request& request, const std::string& name)
    {
        return parseNumber<std::uint64_t>(request.get_param_value(name));
    }

    duration requestedWaitTime(const httplib::Request& request)
    {
        milliseconds requested(static_cast<std::int64_t>(numericParameter(request, "wait_ms").value_or(0)));
        return std::min(requested, maxWaitTime);
    }

    json toJson(const stored_resource& stored, std::uint64_t inForce)
    {
        return { { "kind", toText(stored.name.kind) }, { "name", stored.name.name },
            { "version", stored.version }, { "record", stored.recordId },
            { "in_force", stored.version <= inForce },
            { "content", stored.content ? toJson(*stored.content) : json() } };
    }

    json toJson(const member_record& member)
    {
        auto backends = json::array();
        for (const auto& backend : member.backends)
            backends.push_back({ { "id", backend.id.text() }, { "service", backend.service.text() },
                { "slots", backend.slots }, { "condition", toText(backend.condition) } });
        return { { "node", member.life.node.text() }, { "life", member.life.incarnation },
            { "data_centre", member.dataCentre.text() }, { "endpoint", member.endpoint },
            { "status", toText(member.status) }, { "confirmed", member.confirmedOffset },
            { "backend_servers", backends } };
    }

    json toJson(const decision& made)
    {
        return { { "at_ms", made.at.time_since_epoch().count() }, { "subject", made.subject },
            { "stage", made.stage }, { "outcome", made.outcome }, { "reason", made.reason } };
    }

    json describeSlots(const control_state& state)
    {
        json holders = json::object();
        std::size_t waiting = 0;
        for (slot_index slot = 0; slot < slotCount; ++slot) {
            const auto& known = state.slotControl().table().at(slot);
            auto name = known.holder ? known.holder->node.text() : std::string("none");
            holders[name] = holders.value(name, 0) + 1;
            waiting += known.claimant ? 1 : 0;
        }
        return { { "held", holders }, { "waiting_for_former_holder", waiting } };
    }

    json describeState(const control_state& state, const present& now)
    {
        auto members = json::array();
        for (const auto* member : state.members().all())
            members.push_back(toJson(*member));
        static constexpr std::array readinessTexts { "starting", "ready", "isolated" };
        auto readiness = static_cast<std::size_t>(state.readiness(now.monotonic));
        return { { "node", state.self().node.text() }, { "life", state.self().incarnation },
            { "readiness", readinessTexts.at(readiness) },
            { "configuration_offset", state.nextOffset(log_stream::configuration) },
            { "in_force_offset", state.inForceOffset() }, { "quarantined", state.quarantine().count() },
            { "fleet_offset", state.nextOffset(log_stream::fleet) },
            { "log_evidence_age_ms", state.logStaleness(now.monotonic).count() },
            { "slots", describeSlots(state) }, { "members", members } };
    }

    json describeBackends(const control_state& state, const present& now)
    {
        auto backends = json::array();
        auto fleet = state.fleet().load();
        if (!fleet)
            return backends;
        for (const auto& [service, view] : fleet->services) {
            for (const auto& entry : view->backends)
                backends.push_back(
                    { { "id", entry.id.text() }, { "service", service.text() }, { "node", entry.node.text() },
                        { "data_centre", entry.dataCentre.text() }, { "condition", toText(entry.condition) },
                        { "slots", entry.slots }, { "weight", entry.stats->weight.load() },
                        { "ejected", entry.stats->ejectedUntil.load() > now.monotonic },
                        { "answers", entry.stats->responses.load() },
                        { "failures", entry.stats->failures.load() },
                        { "in_flight", entry.stats->inFlight.load() } });
        }
        return backends;
    }

} // namespace

admin_listener::admin_listener(admin_dependencies dependencies)
    : m_dependencies(std::move(dependencies))
{
    m_server.new_task_queue = [] { return new httplib::ThreadPool(adminThreads); };
    useExclusivePort(m_server);
    m_server.set_payload_max_length(maxAdminBodyBytes);
    m_server.set_tcp_nodelay(true);
    m_server.set_read_timeout(std::chrono::seconds(5));
    addRoutes();
}

admin_listener::~admin_listener() { stop(); }

template <typename F> auto admin_listener::readState(F&& read)
{
    std::promise<decltype(read(std::declval<control_state&>(), present()))> answer;
    m_dependencies.control->withState(
        [&](control_state& state, const present& now) { answer.set_value(read(state, now)); });
    return answer.get_future().get();
}

void admin_listener::addRoutes()
{
    using httplib::Request;
    using httplib::Response;
    m_server.Get("/metrics", [this](const Request&, Response& response) { sendMetrics(response); });
    m_server.Get("/v1/status", [this](const Request&, Response& response) { sendStatus(response); });
    m_server.Get("/v1/backends", [this](const Request&, Response& response) { sendBackends(response); });
    m_server.Get("/v1/resources/([a-z-]+)(/[^/]+)?",
        [this](const Request& request, Response& response) { sendResources(request, response); });
    m_server.Get("/v1/records/([0-9]{1,18})",
        [this](const Request& request, Response& response) { sendRecord(request, response); });
    m_server.Get("/v1/changes",
        [this](const Request& request, Response& response) { waitForChange(request, response); });
    m_server.Get("/v1/explain/([^/]+)",
        [this](const Request& request, Response& response) { sendExplanation(request, response); });
    m_server.Put("/v1/backends/([^/]+)",
        [this](const Request& request, Response& response) { handleAnnouncement(request, response); });
    m_server.Delete("/v1/backends/([^/]+)", [this](const Request& request, Response& response) {
        m_dependencies.host->withdraw(backend_server_id(request.matches[1]));
        sendJson(response, { { "withdrawn", request.matches[1].str() } });
    });
    m_server.set_error_handler([this](const Request&, Response& response) {
        if (response.status == 400 || response.status == 413)
            m_dependencies.metrics.countBadInput("admin");
    });
}

tl::expected<void, std::string> admin_listener::listen(const std::string& endpoint)
{
    auto parts = splitEndpoint(endpoint);
    if (!parts || !m_server.bind_to_port(parts->first, parts->second))
        return tl::unexpected("cannot listen on " + endpoint);
    return {};
}

void admin_listener::start()
{
    m_thread = std::thread([this] { m_server.listen_after_bind(); });
}

void admin_listener::stop()
{
    if (!m_thread.joinable())
        return;
    m_server.stop();
    m_thread.join();
}

void admin_listener::sendMetrics(httplib::Response& response)
{
    auto readings = m_dependencies.readings();
    readState([&](control_state& state, const present&) {
        readings.members = static_cast<double>(state.members().liveCount());
        readings.configurationOffset = static_cast<double>(state.nextOffset(log_stream::configuration));
        readings.inForceOffset = static_cast<double>(state.inForceOffset());
        readings.rateBuckets = static_cast<double>(state.rates().bucketCount());
        readings.keyedActions = static_cast<double>(state.actions().size());
        for (slot_index slot = 0; slot < slotCount; ++slot)
            readings.slotsHeld += state.slotControl().table().at(slot).holder == state.self() ? 1 : 0;
        return true;
    });
    response.set_content(m_dependencies.metrics.expose(readings), "text/plain; version=0.0.4");
}

void admin_listener::sendStatus(httplib::Response& response)
{
    sendJson(response,
        readState([](control_state& state, const present& now) { return describeState(state, now); }));
}

void admin_listener::sendBackends(httplib::Response& response)
{
    sendJson(response,
        readState([](control_state& state, const present& now) { return describeBackends(state, now); }));
}

void admin_listener::sendResources(const httplib::Request& request, httplib::Response& response)
{
    auto kind = resourceKindFromText(request.matches[1].str());
    if (!kind)
        return sendError(response, 404, "no such kind of resource");
    auto name = request.matches[2].str();
    auto inForce = readState([](control_state& state, const present&) { return state.inForceOffset(); });
    const auto& table = m_dependencies.control->state().table();
    if (!name.empty()) {
        auto stored = table.find({ *kind, name.substr(1) });
        if (!stored)
            return sendJson(
                response, { { "kind", toText(*kind) }, { "name", name.substr(1) }, { "version", 0 } }, 404);
        return sendJson(response, toJson(*stored, inForce), stored->content ? 200 : 404);
    }
    auto found = json::array();
    table.forEach([&](const stored_resource& stored) {
        if (stored.name.kind == *kind && stored.content)
            found.push_back(toJson(stored, inForce));
    });
    sendJson(response, found);
}

void admin_listener::sendRecord(const httplib::Request& request, httplib::Response& response)
{
    auto offset = std::stoull(request.matches[1].str());
    auto deadline = m_dependencies.clock().monotonic + requestedWaitTime(request);
    for (;;) {
        auto seen = m_dependencies.control->changes().value();
        auto known = readState([&](control_state& state, const present&) {
            auto outcome = state.outcomeAt(offset);
            return json { { "offset", offset }, { "outcome", outcome ? json(toText(*outcome)) : json() },
                { "applied", state.nextOffset(log_stream::configuration) > offset },
                { "in_force", state.inForceOffset() > offset } };
        });
        bool isDone = known["in_force"].get<bool>();
        if (isDone || !m_dependencies.control->changes().waitUntilChanged(seen, deadline))
            return sendJson(response, known);
    }
}

void admin_listener::waitForChange(const httplib::Request& request, httplib::Response& response)
{
    auto after = numericParameter(request, "after");
    if (!after)
        return sendError(response, 400, "the parameter \"after\" must be an offset");
    auto deadline = m_dependencies.clock().monotonic + requestedWaitTime(request);
    for (;;) {
        auto seen = m_dependencies.control->changes().value();
        auto inForce = readState([](control_state& state, const present&) { return state.inForceOffset(); });
        if (inForce > *after || !m_dependencies.control->changes().waitUntilChanged(seen, deadline))
            return sendJson(response, { { "in_force_offset", inForce } });
    }
}

void admin_listener::sendExplanation(const httplib::Request& request, httplib::Response& response)
{
    auto subject = request.matches[1].str();
    sendJson(response, readState([&](control_state& state, const present&) {
        auto decisions = json::array();
        for (const auto& made : state.decisionHistory().findBySubject(subject))
            decisions.push_back(toJson(made));
        return json { { "node", state.self().node.text() }, { "subject", subject },
            { "decisions", decisions } };
    }));
}

void admin_listener::handleAnnouncement(const httplib::Request& request, httplib::Response& response)
{
    auto document = checked_document::parse(request.body);
    checked_object object(document, document.root(), "");
    backend_announcement announcement;
    announcement.backend.id = backend_server_id(request.matches[1].str());
    announcement.backend.service = service_id(object.text("service"));
    announcement.backend.slots = static_cast<std::uint32_t>(object.integer("slots", { 1, 1000 }));
    announcement.address = object.text("address");
    auto condition = backendConditionFromText(object.text("condition"));
    if (!condition)
        object.fail("condition", "must be cold, warm or draining");
    if (!splitEndpoint(announcement.address))
        object.fail("address", "must be an address and a port");
    object.rejectUnknownFields();
    if (!document.isValid()) {
        m_dependencies.metrics.countBadInput("admin");
        return sendError(response, 400, toText(document.errors().front()));
    }
    announcement.backend.condition = *condition;
    m_dependencies.host->announce(announcement);
    sendJson(response, { { "announced", announcement.backend.id.text() } });
}

} // namespace pomelohub
