#include "peer_forwarder.h"

#include <algorithm>
#include <charconv>

namespace pomelohub {

namespace {

    using std::chrono::milliseconds;

    /** How long a node is avoided after its link failed to open or closed. */
    constexpr duration failedLinkAvoidance = milliseconds(400);

} // namespace

std::optional<asio::ip::tcp::endpoint> endpointFromText(std::string_view text)
{
    auto colon = text.rfind(':');
    if (colon == std::string_view::npos)
        return std::nullopt;
    std::error_code error;
    auto address = asio::ip::make_address_v4(std::string(text.substr(0, colon)), error);
    std::uint16_t port = 0;
    auto digits = text.substr(colon + 1);
    auto [end, status] = std::from_chars(digits.data(), digits.data() + digits.size(), port);
    if (error || status != std::errc {} || end != digits.data() + digits.size())
        return std::nullopt;
    return asio::ip::tcp::endpoint(address, port);
}

void forward_call::release()
{
    if (m_isDone)
        return;
    m_isDone = true;
    m_peer->inFlight.fetch_sub(1, std::memory_order_relaxed);
    m_peerCall = nullptr;
    m_link = nullptr;
    m_onGranted = nullptr;
}

void forward_call::cancel()
{
    if (m_isDone)
        return;
    auto call = m_peerCall;
    auto gatewayRequest = m_gatewayRequest;
    release();
    if (call)
        call->cancel();
    if (gatewayRequest)
        m_gateway->cancel(*gatewayRequest);
    m_gatewayRequest = nullptr;
}

bool forward_call::isCommitted() const { return !m_isDone && m_isCommitted; }

/** Asks whether the request takes the slot that was granted, and gives the slot back if not. */
bool forward_call::takeGrant()
{
    if (m_isDone)
        return false;
    auto onGranted = std::move(m_onGranted);
    m_onGranted = nullptr;
    if (onGranted && !onGranted()) {
        cancel();
        return false;
    }
    m_isCommitted = true;
    return true;
}

bool forward_call::isUnresponsive() const
{
    return m_link && (m_link->isUnresponsive() || !m_link->isOpen());
}

peer_forwarder::peer_forwarder(
    asio::io_context& context, node_id self, peer_link_policy policy, event_log& log, hooks hooks)
    : m_context(context)
    , m_self(std::move(self))
    , m_policy(policy)
    , m_log(log)
    , m_hooks(std::move(hooks))
{
}

handle<peer_link> peer_forwarder::linkTo(const std::string& endpoint, const handle<peer_state>& peer)
{
    auto& entry = m_links[endpoint];
    if (peer && std::find(entry.peers.begin(), entry.peers.end(), peer) == entry.peers.end()) {
        // The peer_state of an earlier snapshot is replaced: only the current one is updated.
        entry.peers = { peer };
    }
    // A link that is unresponsive or takes no further calls is kept by the calls that wait on it.
    if (entry.link && entry.link->acceptsCalls() && !entry.link->isUnresponsive())
        return entry.link;
    auto address = endpointFromText(endpoint);
    if (!address)
        return nullptr;
    auto link = peer_link::makeClient(
        m_context, m_policy, { nullptr, nullptr, nullptr, m_hooks.clock, nullptr, m_hooks.throttle });
    auto* rawPointer = link.get();
    link->setHooks({ [this, endpoint, rawPointer](bool isUnresponsive) {
                        auto found = m_links.find(endpoint);
                        if (found == m_links.end() || found->second.link.get() != rawPointer)
                            return;
                        for (const auto& each : found->second.peers)
                            each->isUnresponsive = isUnresponsive;
                        if (isUnresponsive)
                            m_reachability.recordFailure(endpoint, m_hooks.clock().monotonic);
                        else
                            recordResponse(endpoint);
                        m_log.write(event_priority::failure, isUnresponsive ? "link_silent" : "link_alive",
                            {}, { { "peer", endpoint } });
                    },
        [this, endpoint, rawPointer] {
            auto found = m_links.find(endpoint);
            if (found == m_links.end() || found->second.link.get() != rawPointer)
                return;
            auto now = m_hooks.clock().monotonic;
            m_reachability.recordFailure(endpoint, now);
            for (const auto& each : found->second.peers) {
                each->avoidUntil(now + failedLinkAvoidance);
                each->isUnresponsive = false;
            }
            found->second.link = nullptr;
            m_log.write(event_priority::failure, "link_lost", {}, { { "peer", endpoint } });
        },
        nullptr, m_hooks.clock,
        [this, endpoint, rawPointer] {
            auto found = m_links.find(endpoint);
            if (found != m_links.end() && found->second.link.get() == rawPointer)
                m_links.erase(found);
        },
        m_hooks.throttle });
    entry.link = link;
    link->connect(*address);
    return link;
}

void peer_forwarder::recordResponse(const std::string& endpoint)
{
    m_reachability.recordResponse(endpoint);
    auto found = m_links.find(endpoint);
    if (found == m_links.end())
        return;
    // The flag may come from a link that this one has replaced.
    for (const auto& each : found->second.peers)
        each->isUnresponsive = false;
}

handle<forward_call> peer_forwarder::forward(const handle<peer_state>& peer, const forwarded_request& request,
    reply_hook done, std::function<bool()> onGranted)
{
    handle<forward_call> forwardCall(new forward_call);
    forwardCall->m_peer = peer;
    forwardCall->m_onGranted = std::move(onGranted);
    peer->inFlight.fetch_add(1, std::memory_order_relaxed);
    if (m_hooks.gateway && peer->announcement.node == m_self)
        forwardLocally(forwardCall, request, std::move(done));
    else
        forwardRemotely(forwardCall, request, done);
    return forwardCall;
}

void peer_forwarder::forwardLocally(
    const handle<forward_call>& forwardCall, const forwarded_request& request, reply_hook done)
{
    handle<gateway_request> gatewayRequest(new gateway_request);
    gatewayRequest->request = request;
    forwardCall->m_gatewayRequest = gatewayRequest;
    forwardCall->m_gateway = m_hooks.gateway;
    gatewayRequest->onReply = [this, forwardCall, done = std::move(done)](forward_reply reply) {
        // The gateway may reply synchronously, but the caller must have its forward_call first.
        asio::post(m_context, [forwardCall, done, reply = std::move(reply)]() mutable {
            if (forwardCall->m_isDone)
                return;
            forwardCall->m_gatewayRequest = nullptr;
            forwardCall->release();
            done(std::move(reply));
        });
    };
    gatewayRequest->hasPayload = request.parallelOffers <= 1;
    forwardCall->m_isCommitted = gatewayRequest->hasPayload;
    if (!gatewayRequest->hasPayload) {
        gatewayRequest->onGranted = [this, forwardCall, raw = gatewayRequest.get()] {
            asio::post(m_context, [this, forwardCall, held = handle<gateway_request>(raw)] {
                if (forwardCall->takeGrant())
                    m_hooks.gateway->commit(*held);
            });
        };
    }
    m_hooks.gateway->submit(gatewayRequest);
}

void peer_forwarder::forwardRemotely(
    const handle<forward_call>& forwardCall, const forwarded_request& request, const reply_hook& done)
{
    auto fail = [forwardCall, done](request_error reason) {
        if (forwardCall->m_isDone)
            return;
        forwardCall->release();
        forward_reply reply;
        reply.hasReachedBackend = reason.outcome == execution::mayHaveRun;
        reply.response = tl::unexpected(std::move(reason));
        reply.avoidFor = failedLinkAvoidance;
        done(std::move(reply));
    };
    auto link = linkTo(forwardCall->m_peer->announcement.endpoint, forwardCall->m_peer);
    if (!link) {
        asio::post(m_context, [fail] {
            fail({ execution::notRun, refusal_reason::pathFailed, "the node has no valid address", {} });
        });
        return;
    }
    bool isOffer = request.retryRule == retry_rule::once || request.parallelOffers > 1;
    bool isHead = request.message.method == "HEAD";
    forwardCall->m_link = link;
    forwardCall->m_isCommitted = !isOffer;
    auto* rawPointer = forwardCall.get();
    forwardCall->m_peerCall = link->call(encodeForwardedRequest(request), isOffer,
        { [rawPointer] {
             handle<forward_call> held(rawPointer);
             if (rawPointer->m_peerCall && rawPointer->takeGrant())
                 rawPointer->m_peerCall->commit();
         },
            [this, forwardCall, done, isHead](peer_message&& message) {
                if (forwardCall->m_isDone)
                    return;
                recordResponse(forwardCall->m_peer->announcement.endpoint);
                forwardCall->release();
                done(decodeForwardReply(message, isHead,
                    [this] { return makeBody(m_hooks.throttle, byte_holder::backendResponse); }));
            },
            [fail](peer_call_failure failure) {
                bool isPayloadCommitted = failure == peer_call_failure::streamLost;
                fail({ isPayloadCommitted ? execution::mayHaveRun : execution::notRun,
                    refusal_reason::pathFailed,
                    isPayloadCommitted ? "the way to the node was lost" : "the node cannot be reached", {} });
            } });
}

/** A request of this node itself until its reply. */
struct peer_forwarder::pending_request : ref_counted<pending_request> {
    explicit pending_request(asio::io_context& context)
        : timer(context)
    {
    }

    one_shot_timer timer;
    handle<peer_call> call;
    std::string endpoint;
    std::string type;
    duration timeout {};
    std::size_t receivedBytes = 0; ///< At the last check.
    message_hook done;

    void finish(std::optional<peer_message> response)
    {
        handle<pending_request> self(this);
        timer.cancel();
        call = nullptr;
        auto hook = std::move(done);
        done = nullptr;
        if (hook)
            hook(std::move(response));
    }
};

void peer_forwarder::scheduleTimeout(const handle<pending_request>& pending)
{
    pending->timer.startAfter(pending->timeout, [this, pending] {
        auto receivedBytes = pending->call ? pending->call->receivedBytes() : 0;
        if (receivedBytes > std::exchange(pending->receivedBytes, receivedBytes)) {
            scheduleTimeout(pending);
            return;
        }
        m_reachability.recordFailure(pending->endpoint, m_hooks.clock().monotonic);
        m_log.write(event_priority::failure, "peer_request_timeout", {},
            { { "peer", pending->endpoint }, { "type", pending->type }, { "after", pending->timeout },
                { "received", static_cast<std::uint64_t>(receivedBytes) } });
        if (auto call = pending->call)
            call->cancel();
        pending->finish(std::nullopt);
    });
}

void peer_forwarder::sendRequest(
    const std::string& endpoint, peer_message message, duration timeout, message_hook done)
{
    auto link = linkTo(endpoint, nullptr);
    if (!link) {
        asio::post(m_context, [done] { done(std::nullopt); });
        return;
    }
    handle<pending_request> pending(new pending_request(m_context));
    pending->endpoint = endpoint;
    pending->type = message.value("type");
    pending->timeout = timeout;
    pending->done = std::move(done);
    scheduleTimeout(pending);
    pending->call = link->call(std::move(message), false,
        { nullptr,
            [this, pending](peer_message&& response) {
                recordResponse(pending->endpoint);
                pending->finish(std::move(response));
            },
            [pending](peer_call_failure) { pending->finish(std::nullopt); } });
}

std::size_t peer_forwarder::linkCount() const
{
    return static_cast<std::size_t>(std::count_if(
        m_links.begin(), m_links.end(), [](const auto& entry) { return entry.second.link != nullptr; }));
}

void peer_forwarder::closeLinksExcept(const std::set<std::string>& endpoints)
{
    for (auto entry = m_links.begin(); entry != m_links.end();) {
        bool isUnused = !entry->second.link || entry->second.link->streamCount() == 0;
        if (endpoints.contains(entry->first) || !isUnused) {
            ++entry;
            continue;
        }
        auto link = entry->second.link;
        entry = m_links.erase(entry);
        if (link)
            link->close();
    }
}

} // namespace pomelohub
