#include "control_plane.h"

#include <future>

namespace pomelohub {

using std::chrono::milliseconds;

namespace {

    constexpr milliseconds tickInterval { 100 };
    constexpr milliseconds longPollTimeout { 5000 };
    constexpr milliseconds initialRetryDelay { 200 };
    constexpr milliseconds maxRetryDelay { 3000 };
    constexpr std::size_t pageLimit = 1000;
    constexpr std::size_t maxResponseBytes = 256 * 1024 * 1024;
    constexpr duration requestTimeout = milliseconds(1000);
    constexpr duration bootstrapStateTimeout = std::chrono::seconds(20);

    /** Reference-counted timer, which outlives the function that starts it. */
    struct ref_counted_timer : ref_counted<ref_counted_timer> {
        explicit ref_counted_timer(asio::io_context& io)
            : timer(asio::make_strand(io))
        {
        }
        void cancel()
        {
            asio::post(
                timer.get_executor(), [self = handle<ref_counted_timer>(this)] { self->timer.cancel(); });
        }
        asio::steady_timer timer;
    };

} // namespace

control_plane::control_plane(control_plane_dependencies dependencies)
    : m_dependencies(std::move(dependencies))
    , m_tickTimer(m_dependencies.strand)
{
}

control_plane::~control_plane() { stop(); }

void control_plane::withState(std::function<void(control_state&, const present&)> callback)
{
    asio::post(m_dependencies.strand, [self = handle<control_plane>(this), callback = std::move(callback)] {
        callback(self->m_dependencies.state, self->m_dependencies.clock());
        self->signalChanges();
    });
}

void control_plane::signalChanges()
{
    const auto& state = m_dependencies.state;
    std::pair offsets(state.nextOffset(log_stream::configuration), state.inForceOffset());
    if (offsets == m_lastOffsets)
        return;
    m_lastOffsets = offsets;
    m_changes.increment();
}

void control_plane::start()
{
    withState([self = handle<control_plane>(this)](control_state& state, const present& now) {
        state.join(self->m_dependencies.settings.seeds, now);
        self->m_dependencies.gossip->start([self](const gossip_message& message) {
            auto& dependencies = self->m_dependencies;
            for (const auto& response : dependencies.state.handleGossip(message, dependencies.clock()))
                dependencies.gossip->send(response);
            self->signalChanges();
        });
        self->scheduleTick();
    });
    for (auto stream : { log_stream::fleet, log_stream::configuration })
        m_pollThreads.emplace_back([this, stream] { pollLog(stream); });
}

void control_plane::stop()
{
    {
        std::lock_guard lock(m_stopMutex);
        if (m_stopping.exchange(true))
            return;
        m_stopCondition.notify_all();
    }
    for (auto& thread : m_pollThreads)
        thread.join();
    m_appender.join();
}

void control_plane::pollLog(log_stream stream)
{
    std::uint32_t failures = 0;
    while (!m_stopping) {
        failures = readOnce(stream) ? 0 : failures + 1;
        if (failures > 0 && !waitBeforeRetry(failures))
            return;
    }
}

bool control_plane::waitBeforeRetry(std::uint32_t failures)
{
    auto ceiling = std::min(maxRetryDelay, initialRetryDelay * (1 << std::min(failures, 5U)));
    // Full jitter, so that nodes that lost the log at the same time do not retry at the same time.
    milliseconds wait(m_dependencies.random(static_cast<std::uint64_t>(ceiling.count())));
    std::unique_lock lock(m_stopMutex);
    return !m_stopCondition.wait_for(lock, wait, [this] { return m_stopping.load(); });
}

template <typename F> auto control_plane::callWithState(F&& read)
{
    std::promise<decltype(read(m_dependencies.state, present()))> response;
    withState([&](control_state& state, const present& now) { response.set_value(read(state, now)); });
    return response.get_future().get();
}

bool control_plane::readOnce(log_stream stream)
{
    auto from = callWithState([&](control_state& state, const present&) { return state.nextOffset(stream); });
    auto requestedAt = m_dependencies.clock().monotonic;
    // The first read determines where the stream ends, so it must not long poll for new records.
    auto wait = m_hasRead.at(static_cast<std::size_t>(stream)) ? longPollTimeout : milliseconds(0);
    auto page = m_dependencies.log.read({ toText(stream), from, pageLimit, wait });
    if (!page) {
        startWithoutLog(stream);
        return false;
    }
    m_hasRead.at(static_cast<std::size_t>(stream)) = true;
    handleLogPage(stream, *page, requestedAt);
    return true;
}

void control_plane::startWithoutLog(log_stream stream)
{
    bool isStarting = callWithState([](control_state& state, const present& now) {
        return state.readiness(now.monotonic) == node_readiness::starting;
    });
    if (isStarting && stream == log_stream::configuration)
        fetchBootstrapState();
}

void control_plane::handleLogPage(log_stream stream, const log_page& page, instant requestedAt)
{
    bool hasGap = callWithState(
        [&](control_state& state, const present&) { return state.needsBootstrapState(stream, page); });
    // The log has expired records that this node has not read. Fetch the full state from a peer; if that
    // fails, continue with the records that remain in the log.
    if (hasGap && fetchBootstrapState())
        return;
    callWithState([&](control_state& state, const present& now) {
        state.applyPage(stream, page, requestedAt, now);
        return true;
    });
}

bool control_plane::fetchBootstrapState()
{
    auto peer = callWithState([](control_state& state, const present&) { return state.randomPeer(); });
    if (!peer)
        return false;
    std::promise<result<std::string>> response;
    sendRequest(*peer, std::string(control_path::bootstrapState), "", bootstrapStateTimeout,
        [&](result<std::string> received) { response.set_value(std::move(received)); });
    auto received = response.get_future().get();
    auto decoded = received ? decodeBootstrapState(*received) : std::nullopt;
    if (!decoded)
        return false;
    callWithState([&](control_state& state, const present& now) {
        state.applyBootstrapState(*decoded, now);
        return true;
    });
    return true;
}

void control_plane::sendRequest(const peer_address& peer, const std::string& path, const std::string& body,
    duration timeout, std::function<void(result<std::string>)> done)
{
    handle<exchange> outgoing(new exchange({ "POST", path, {} }, m_dependencies.clock().monotonic + timeout));
    outgoing->requestBody().writeUnbounded(body);
    outgoing->requestBody().finish();
    // Ends the request if the peer does not respond within the timeout.
    auto timer = handle<ref_counted_timer>(new ref_counted_timer(m_dependencies.io));
    timer->timer.expires_after(timeout);
    timer->timer.async_wait([outgoing](const asio::error_code& stopped) {
        if (stopped)
            return;
        outgoing->cancel();
        outgoing->refuse({ execution::mayHaveRun, refusal_reason::deadlineExceeded, "no answer", {} });
    });
    collectResponse(
        outgoing, maxResponseBytes, [timer, done = std::move(done)](result<std::string> received) {
            timer->cancel();
            done(std::move(received));
        });
    m_dependencies.peers->send(peer, outgoing);
}

void control_plane::scheduleTick()
{
    m_tickTimer.expires_after(tickInterval);
    m_tickTimer.async_wait([self = handle<control_plane>(this)](const asio::error_code& error) {
        if (error || self->m_stopping)
            return;
        self->executeOutputs(self->m_dependencies.state.tick(self->m_dependencies.clock()));
        self->signalChanges();
        self->scheduleTick();
    });
}

void control_plane::executeOutputs(control_outputs out)
{
    for (const auto& datagram : out.datagrams)
        m_dependencies.gossip->send(datagram);
    // Appends that are skipped or fail are requested again by a later tick.
    if (!out.appends.empty() && m_appendsInFlight == 0)
        append(std::move(out.appends), [] {});
    for (const auto& request : out.ejections)
        requestPermit(request);
    if (out.membersFrom)
        fetchMembersFrom(*out.membersFrom);
    if (!out.catchUpFrom)
        return;
    catchUp(*out.catchUpFrom, log_stream::configuration);
    catchUp(*out.catchUpFrom, log_stream::fleet);
}

void control_plane::append(std::vector<append_request> requests, std::function<void()> done)
{
    ++m_appendsInFlight;
    asio::post(m_appender,
        [self = handle<control_plane>(this), requests = std::move(requests), done = std::move(done)] {
            self->runAppends(requests, done);
        });
}

void control_plane::runAppends(const std::vector<append_request>& requests, const std::function<void()>& done)
{
    for (const auto& request : requests) {
        auto offset = m_dependencies.log.append(toText(request.stream), request.data);
        if (!offset)
            break;
    }
    --m_appendsInFlight;
    done();
}

void control_plane::sendToHolder(slot_index slot, const holder_request& holderRequest)
{
    const auto& state = m_dependencies.state;
    auto holder = state.holderOf(slot);
    if (holder == state.self().node) {
        withState(holderRequest.handleLocally);
        return;
    }
    auto endpoint = holder ? state.endpointOf(*holder) : std::nullopt;
    if (endpoint)
        sendRequest({ *holder, *endpoint }, std::string(holderRequest.path), holderRequest.body,
            holderRequest.timeout, holderRequest.done);
    else
        holderRequest.done(notRun(refusal_reason::authorityUnavailable, "no node holds the slot"));
}

void control_plane::requestPermit(const ejection_request& request)
{
    auto requestedAt = m_dependencies.clock().monotonic;
    holder_request holderRequest { control_path::ejection, encode(request), requestTimeout, {}, {} };
    holderRequest.handleLocally = [request, requestedAt](control_state& state, const present& now) {
        if (auto permit = state.permit(request, now.monotonic))
            state.applyPermit(*permit, requestedAt, now);
    };
    holderRequest.done
        = [self = handle<control_plane>(this), requestedAt](const result<std::string>& received) {
              auto permit = received ? decodeEjectionPermit(*received) : std::nullopt;
              if (!permit)
                  return;
              self->withState([permit = *permit, requestedAt](control_state& state, const present& now) {
                  state.applyPermit(permit, requestedAt, now);
              });
          };
    sendToHolder(slotOf(ejectionHashOf(request.service)), holderRequest);
}

void control_plane::fetchMembersFrom(const peer_address& peer)
{
    sendRequest(peer, std::string(control_path::members), "", requestTimeout,
        [self = handle<control_plane>(this)](const result<std::string>& received) {
            auto members = received ? decodeMembers(*received) : std::nullopt;
            if (!members)
                return;
            self->withState([members = *members](control_state& state, const present& now) {
                state.mergeMembers(members, now);
            });
        });
}

void control_plane::catchUp(const peer_address& peer, log_stream stream)
{
    auto from = m_dependencies.state.nextOffset(stream);
    auto path = std::string(control_path::records) + toText(stream) + "/" + std::to_string(from);
    sendRequest(peer, path, "", requestTimeout,
        [self = handle<control_plane>(this), stream](const result<std::string>& received) {
            auto page = received ? decodeLogPage(*received) : std::nullopt;
            if (!page)
                return;
            self->withState([stream, page = *page](control_state& state, const present& now) {
                bool isGapless = page.first <= state.nextOffset(stream);
                if (isGapless)
                    state.applyRelayedPage(stream, page, now);
            });
        });
}

void control_plane::leave(std::function<void()> done)
{
    withState([self = handle<control_plane>(this), done = std::move(done)](
                  control_state& state, const present& now) {
        auto out = state.leave(now);
        for (const auto& datagram : out.datagrams)
            self->m_dependencies.gossip->send(datagram);
        self->append(std::move(out.appends), done);
    });
}

} // namespace pomelohub
