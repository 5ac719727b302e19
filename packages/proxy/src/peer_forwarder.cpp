#include "peer_forwarder.h"

#include <charconv>

namespace pomelohub {

namespace {

    using std::chrono::milliseconds;

    /** After a link could not be opened or ended, its node is not chosen for this long. */
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

void forward_ticket::release()
{
    if (m_isDone)
        return;
    m_isDone = true;
    m_peer->inFlight.fetch_sub(1, std::memory_order_relaxed);
    m_call = nullptr;
    m_link = nullptr;
}

void forward_ticket::cancel()
{
    if (m_isDone)
        return;
    auto call = m_call;
    auto local = m_local;
    release();
    if (call)
        call->cancel();
    if (local)
        m_gateway->cancel(*local);
    m_local = nullptr;
}

bool forward_ticket::isCommitted() const
{
    if (m_call)
        return m_isPlain || m_call->isPayloadSent();
    return m_local != nullptr;
}

bool forward_ticket::isSilent() const { return m_link && (m_link->isSilent() || !m_link->isOpen()); }

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
        // Only the newest view of the node decides from now on.
        entry.peers = { peer };
    }
    // A link that shows no life is left to what waits on it; new requests try a new one.
    if (entry.link && entry.link->isOpen() && !entry.link->isSilent())
        return entry.link;
    auto address = endpointFromText(endpoint);
    if (!address)
        return nullptr;
    auto link = peer_link::makeAsking(m_context, m_policy, { nullptr, nullptr, nullptr, m_hooks.clock });
    auto* raw = link.get();
    link->setHooks({ [this, endpoint, raw](bool isSilent) {
                        auto found = m_links.find(endpoint);
                        if (found == m_links.end() || found->second.link.get() != raw)
                            return;
                        for (const auto& each : found->second.peers)
                            each->isSilent = isSilent;
                        if (isSilent)
                            m_reached.noteFailure(endpoint, m_hooks.clock().monotonic);
                        else
                            m_reached.noteAnswer(endpoint);
                        m_log.write(event_weight::failure, isSilent ? "link_silent" : "link_alive", {},
                            { { "peer", endpoint } });
                    },
        [this, endpoint, raw] {
            auto found = m_links.find(endpoint);
            if (found == m_links.end() || found->second.link.get() != raw)
                return;
            auto now = m_hooks.clock().monotonic;
            m_reached.noteFailure(endpoint, now);
            for (const auto& each : found->second.peers) {
                each->avoidUntil(now + failedLinkAvoidance);
                each->isSilent = false;
            }
            found->second.link = nullptr;
            m_log.write(event_weight::failure, "link_lost", {}, { { "peer", endpoint } });
        },
        nullptr, m_hooks.clock });
    entry.link = link;
    link->connect(*address);
    return link;
}

handle<forward_ticket> peer_forwarder::forward(
    const handle<peer_state>& peer, const forwarded_request& request, reply_hook done)
{
    handle<forward_ticket> ticket(new forward_ticket);
    ticket->m_peer = peer;
    peer->inFlight.fetch_add(1, std::memory_order_relaxed);
    if (m_hooks.gateway && peer->announcement.node == m_self)
        forwardLocally(ticket, request, std::move(done));
    else
        forwardRemotely(ticket, request, done);
    return ticket;
}

void peer_forwarder::forwardLocally(
    const handle<forward_ticket>& ticket, const forwarded_request& request, reply_hook done)
{
    handle<gateway_request> local(new gateway_request);
    local->request = request;
    ticket->m_local = local;
    ticket->m_gateway = m_hooks.gateway;
    local->reply = [this, ticket, done = std::move(done)](forward_reply reply) {
        // The gateway may reply at once, and the caller needs its ticket first.
        asio::post(m_context, [ticket, done, reply = std::move(reply)]() mutable {
            if (ticket->m_isDone)
                return;
            ticket->m_local = nullptr;
            ticket->release();
            done(std::move(reply));
        });
    };
    m_hooks.gateway->submit(local);
}

void peer_forwarder::forwardRemotely(
    const handle<forward_ticket>& ticket, const forwarded_request& request, const reply_hook& done)
{
    auto fail = [ticket, done](verdict reason) {
        if (ticket->m_isDone)
            return;
        ticket->release();
        forward_reply reply;
        reply.reachedBackend = reason.outcome == execution::mayHaveRun;
        reply.answer = tl::unexpected(std::move(reason));
        reply.avoidFor = failedLinkAvoidance;
        done(std::move(reply));
    };
    auto link = linkTo(ticket->m_peer->announcement.endpoint, ticket->m_peer);
    if (!link) {
        asio::post(m_context, [fail] {
            fail({ execution::notRun, refusal_reason::pathFailed, "the node has no valid address", {} });
        });
        return;
    }
    bool isOffer = request.repeats == repeat_rule::once;
    bool isHead = request.message.method == "HEAD";
    ticket->m_link = link;
    ticket->m_isPlain = !isOffer;
    auto* raw = ticket.get();
    ticket->m_call = link->call(encodeForwardedRequest(request), isOffer,
        { [raw] {
             if (raw->m_call)
                 raw->m_call->commit();
         },
            [this, ticket, done, isHead](peer_message&& message) {
                if (ticket->m_isDone)
                    return;
                m_reached.noteAnswer(ticket->m_peer->announcement.endpoint);
                ticket->release();
                done(decodeForwardReply(message, isHead));
            },
            [fail](peer_failure failure) {
                bool mayRun = failure == peer_failure::lost;
                fail({ mayRun ? execution::mayHaveRun : execution::notRun, refusal_reason::pathFailed,
                    mayRun ? "the way to the node was lost" : "the node cannot be reached", {} });
            } });
}

void peer_forwarder::ask(
    const std::string& endpoint, peer_message message, duration timeout, message_hook done)
{
    auto link = linkTo(endpoint, nullptr);
    if (!link) {
        asio::post(m_context, [done] { done(std::nullopt); });
        return;
    }
    struct question : counted<question> {
        explicit question(asio::io_context& context)
            : timer(context)
        {
        }
        asio::steady_timer timer;
        handle<peer_call> call;
        message_hook done;

        void finish(std::optional<peer_message> answer)
        {
            handle<question> self(this);
            timer.cancel();
            call = nullptr;
            auto hook = std::move(done);
            done = nullptr;
            if (hook)
                hook(std::move(answer));
        }
    };
    handle<question> asked(new question(m_context));
    asked->done = std::move(done);
    asked->timer.expires_after(timeout);
    asked->timer.async_wait([this, asked, endpoint](std::error_code error) {
        if (error || !asked->done)
            return;
        m_reached.noteFailure(endpoint, m_hooks.clock().monotonic);
        if (auto call = asked->call)
            call->cancel();
        asked->finish(std::nullopt);
    });
    asked->call = link->call(std::move(message), false,
        { nullptr,
            [this, asked, endpoint](peer_message&& answer) {
                m_reached.noteAnswer(endpoint);
                asked->finish(std::move(answer));
            },
            [asked](peer_failure) { asked->finish(std::nullopt); } });
}

void peer_forwarder::retain(const std::set<std::string>& endpoints)
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
