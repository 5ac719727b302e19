#include "request_entry.h"

#include <algorithm>

namespace pomelohub {

namespace {

    using std::chrono::milliseconds;

    constexpr int firstServerError = 500;
    /** Assumed for callers that do not say how long they wait. */
    constexpr duration defaultTimeLimit = std::chrono::seconds(30);
    constexpr int notRunStatus = 503;

    /** The status that promises no more than the outcome: only refusals of requests that have not run and
     * never will are told as such. */
    int statusFor(const verdict& refusal)
    {
        auto status = httpStatus(refusal.reason);
        if (refusal.outcome == execution::mayHaveRun)
            return refusal.reason == refusal_reason::deadlineExceeded ? 504 : 502;
        return status >= firstServerError ? notRunStatus : status;
    }

} // namespace

/** One request of a caller until its answer. */
class exchange : public counted<exchange> {
public:
    exchange(request_entry& entry, handle<http_responder> responder)
        : m_entry(entry)
        , m_responder(std::move(responder))
        , m_timer(entry.m_context)
        , m_search(entry.m_policy.search, entry.m_dataCentre)
    {
    }

    void begin(http_message&& message)
    {
        m_context.message = std::move(message);
        m_responder->cancelled = [self = handle<exchange>(this)] { self->abandon(); };
        auto now = m_entry.m_hooks.clock();
        auto caller = m_entry.m_dialect.readCallerRequest(m_context.message);
        if (!caller) {
            refuse(caller.error(), "request");
            return;
        }
        m_context.caller = std::move(*caller);
        if (m_entry.m_hooks.answersBy() - now.monotonic < m_entry.m_policy.leastTimeToStop) {
            refuse(withRetryAfter(
                       { execution::notRun, refusal_reason::nodeLeaving, "this node is about to end", {} }),
                "stop");
            return;
        }
        m_context.snapshot = m_entry.m_hooks.snapshot();
        std::string_view filter;
        if (auto passed = m_entry.m_chain.run(m_context, now, filter); !passed) {
            refuse(passed.error(), filter);
            return;
        }
        startTimer(now.monotonic);
        m_service = m_context.rule->nextService();
        takeAllowance(now.monotonic);
    }

private:
    struct attempt {
        handle<peer_state> peer;
        handle<forward_ticket> ticket;
        instant startedAt {};
    };

    instant now() const { return m_entry.m_hooks.clock().monotonic; }
    const request_id& id() const { return m_context.caller.id; }
    bool isIdempotent() const { return m_context.rule->repeats == repeat_rule::idempotent; }

    void startTimer(instant present)
    {
        auto received = m_responder->receivedAt();
        auto limit = m_context.caller.timeLimit.value_or(defaultTimeLimit);
        m_deadline = received + limit - std::min<duration>(m_entry.m_policy.answerMargin, limit / 10);
        if (m_context.rule->timeout > duration::zero())
            m_deadline = std::min(m_deadline, received + m_context.rule->timeout);
        watch(present);
    }

    void watch(instant present)
    {
        m_deadline = std::min(m_deadline, m_entry.m_hooks.answersBy());
        m_timer.expires_at(std::min(m_deadline, present + m_entry.m_policy.watchInterval));
        m_timer.async_wait([self = handle<exchange>(this)](std::error_code error) {
            if (error || self->m_isDone)
                return;
            auto present = self->now();
            if (present >= self->m_deadline) {
                self->expire();
                return;
            }
            self->lookAfterAttempts(present);
            if (!self->m_isDone)
                self->watch(present);
        });
    }

    void expire()
    {
        bool mayHaveRun = m_mayHaveRun
            || std::any_of(m_attempts.begin(), m_attempts.end(),
                [](const attempt& each) { return each.ticket->isCommitted(); });
        if (m_fallback) {
            answer(std::move(*m_fallback));
            return;
        }
        refuse({ mayHaveRun ? execution::mayHaveRun : execution::notRun, refusal_reason::deadlineExceeded,
                   "no answer within the time limit", {} },
            "deadline");
    }

    // Offers on a silent way are taken back, and requests that may run twice get a second chance.
    void lookAfterAttempts(instant present)
    {
        std::vector<handle<forward_ticket>> withdrawn;
        bool needsHedge = false;
        for (const auto& each : m_attempts) {
            if (each.ticket->isSilent() && !each.ticket->isCommitted())
                withdrawn.push_back(each.ticket);
            auto patience = std::max(scaled(m_context.rule->objective, m_entry.m_policy.hedgeObjectiveShare),
                scaled(each.peer->estimatedAnswer(present), m_entry.m_policy.hedgeLatencyFactor));
            needsHedge = needsHedge || each.ticket->isSilent() || present - each.startedAt > patience;
        }
        for (const auto& ticket : withdrawn) {
            ticket->cancel();
            --m_reached;
            std::erase_if(m_attempts, [&](const attempt& each) { return each.ticket == ticket; });
        }
        if (m_attempts.empty() && !m_isAsking) {
            sendNext(present);
            return;
        }
        if (needsHedge && isIdempotent() && m_attempts.size() == 1 && mayReachAnother() && !m_isAsking) {
            withRepeat([self = handle<exchange>(this)](bool isGranted) {
                if (isGranted)
                    self->hedge(self->now());
            });
        }
    }

    void hedge(instant present)
    {
        if (m_attempts.size() != 1)
            return;
        auto snapshot = m_entry.m_hooks.snapshot();
        auto peer = m_search.second(searchView(*snapshot, present), m_entry.m_hooks.random, present);
        if (!peer)
            return;
        m_entry.m_log.write(event_weight::failure, "hedged", id(),
            { { "first", m_attempts.front().peer->announcement.node.text() },
                { "second", peer->announcement.node.text() },
                { "waited", present - m_attempts.front().startedAt } });
        m_entry.m_metrics.noteHedge();
        send({ peer, m_entry.m_policy.hedgePatience }, present);
    }

    void takeAllowance(instant present)
    {
        const auto& limits = m_context.organisation;
        if (!limits || limits->tokensPerSecond <= 0) {
            firstSend(present);
            return;
        }
        switch (m_entry.m_wallet.take(*limits, present)) {
        case wallet_answer::taken:
            firstSend(present);
            return;
        case wallet_answer::denied:
            refuseRate("the owner of the allowance had no token a moment ago",
                m_entry.m_wallet.retryAfter(limits->id, present));
            return;
        case wallet_answer::ask:
            break;
        }
        m_isAsking = true;
        m_entry.m_hooks.askAllowance(limits, m_entry.m_wallet.wanted(*limits, present),
            m_entry.m_policy.allowanceTimeout,
            [self = handle<exchange>(this), present](std::optional<allowance_grant> grant) {
                self->m_isAsking = false;
                self->takeGrant(grant, present);
            });
    }

    void takeGrant(const std::optional<allowance_grant>& grant, instant askedAt)
    {
        const auto& limits = *m_context.organisation;
        auto present = now();
        auto& wallet = m_entry.m_wallet;
        if (grant && grant->tokens > 0) {
            auto rest = *grant;
            // The first token is for this request, unless its caller has left.
            if (!m_isDone)
                --rest.tokens;
            if (rest.tokens > 0)
                wallet.add(limits.id, rest, askedAt, present);
            if (!m_isDone)
                firstSend(present);
            return;
        }
        if (m_isDone)
            return;
        if (grant) {
            wallet.add(limits.id, *grant, askedAt, present);
            refuseRate("the owner of the allowance has no token", grant->retryAfter);
            return;
        }
        if (wallet.takeShare(limits, nodeCount(), present))
            firstSend(present);
        else
            refuseRate("the owner of the allowance is out of reach, and this node's even share is used up",
                m_entry.m_policy.shortestRetryAfter);
    }

    void refuseRate(std::string detail, duration retryAfter)
    {
        refuse({ execution::notRun, refusal_reason::rateExceeded, std::move(detail),
                   std::chrono::ceil<milliseconds>(retryAfter) },
            "allowance");
    }

    void firstSend(instant present)
    {
        // Calls of backend servers do not raise what the users allow.
        if (!isNested())
            m_entry.m_retries.noteRequest(m_service);
        else
            chargeCallOfRepeat();
        sendNext(present);
    }

    /** Without a key where there are keys: sent by a backend server, whose caller waits for it. */
    bool isNested() const
    {
        return !m_context.organisation && m_context.snapshot->routes->hasOrganisations();
    }
    std::size_t nodeCount() const { return m_context.snapshot->nodes.size(); }

    /** Calls of a repeated run count as repeats. Which run sent a call is not known, so the share of repeats
     * among the runs decides. The call goes on in any case. */
    void chargeCallOfRepeat()
    {
        constexpr std::uint64_t steps = 1024;
        auto share = m_entry.m_hooks.repeatShare();
        if (static_cast<double>(m_entry.m_hooks.random(steps)) >= share * steps)
            return;
        m_isRepeat = true;
        if (m_entry.m_retries.tryTake(m_service))
            return;
        m_entry.m_hooks.askAllowance(reserveOf(m_entry.m_policy.retries, m_service), 1,
            m_entry.m_policy.allowanceTimeout, [](const std::optional<allowance_grant>&) {});
    }

    /** Whether a failure of the next attempt could be made good by another one. */
    bool mayBeTrial() const { return isIdempotent() && m_reached == 0; }
    bool mayReachAnother() const { return m_reached < m_context.rule->maxAttempts; }

    search_view searchView(const fleet_snapshot& snapshot, instant present) const
    {
        auto found = snapshot.services.find(m_service);
        std::span<const handle<peer_state>> candidates;
        if (found != snapshot.services.end())
            candidates = found->second;
        return { candidates, snapshot.evacuated, mayBeTrial() ? repeat_rule::idempotent : repeat_rule::once,
            m_context.rule->objective, m_deadline - present };
    }

    void sendNext(instant present)
    {
        // Peers change while a request waits, so the present view is read.
        auto snapshot = m_entry.m_hooks.snapshot();
        if (auto step = m_search.next(searchView(*snapshot, present), m_entry.m_hooks.random, present))
            send(*step, present);
        else
            endWithBest("choice");
    }

    verdict withRetryAfter(verdict refusal) const
    {
        refusal.retryAfter = std::max<milliseconds>(
            refusal.retryAfter, std::chrono::ceil<milliseconds>(m_entry.m_policy.shortestRetryAfter));
        return refusal;
    }

    void send(const search_step& step, instant present)
    {
        const auto& peer = step.peer;
        forwarded_request request;
        request.id = id();
        request.service = m_service;
        request.callerService = m_entry.m_ownService;
        if (m_context.organisation)
            request.organisation = m_context.organisation->id;
        request.rank = rank();
        request.repeats = m_context.rule->repeats;
        request.isNested = isNested();
        request.isRepeat = m_isRepeat || m_search.hasReached();
        request.suspects = step.suspects;
        request.timeLeft = m_deadline - present;
        request.patience = step.patience;
        request.fingerprint = m_context.fingerprint;
        request.message = m_context.message;
        ++m_reached;
        ++m_sent;
        m_entry.m_log.write(event_weight::routine, "sent", id(),
            { { "peer", peer->announcement.node.text() }, { "service", m_service.text() },
                { "configuration", m_context.snapshot->routes->version }, { "attempt", m_sent },
                { "estimate", peer->estimatedAnswer(present) }, { "patience", step.patience },
                { "suspects", toText(step.suspects) } });
        auto ticket = m_entry.m_forwarder.forward(
            peer, request, [self = handle<exchange>(this), peer](forward_reply reply) {
                self->takeReply(peer, std::move(reply));
            });
        m_attempts.push_back({ peer, ticket, present });
    }

    std::uint32_t rank() const
    {
        const auto& organisation = m_context.organisation;
        return organisation && organisation->rank ? *organisation->rank : m_context.rule->rank;
    }

    void takeReply(const handle<peer_state>& peer, forward_reply reply)
    {
        if (m_isDone)
            return;
        auto present = now();
        std::erase_if(m_attempts, [&](const attempt& each) { return each.peer == peer; });
        if (reply.report.slots > 0)
            peer->note(reply.report, present);
        bool isSuspicion = !reply.answer && reply.answer.error().reason == refusal_reason::backendServerFailed
            && !reply.reachedBackend;
        if (isSuspicion)
            peer->noteSuspect(present + reply.avoidFor, present);
        else if (reply.avoidFor > duration::zero())
            peer->avoidUntil(present + reply.avoidFor);
        if (reply.reachedBackend)
            m_search.noteReached(peer->announcement.node);
        bool wasNotRun = !reply.answer && reply.answer.error().outcome == execution::notRun;
        if (wasNotRun)
            --m_reached;
        if (reply.answer)
            takeAnswer(std::move(*reply.answer));
        else
            takeRefusal(peer, reply.answer.error(), reply.reachedBackend, present);
    }

    void takeAnswer(http_message&& message)
    {
        bool isFailure = message.status >= firstServerError;
        if (!isFailure || !isIdempotent()) {
            answer(std::move(message));
            return;
        }
        m_fallback = std::move(message);
        repeatAfterArrival("answered_with_failure");
    }

    /** Calls \p go with whether another backend server may get the request although one had it, unless the
     * request has ended by then. */
    void withRepeat(std::function<void(bool)> go)
    {
        if (m_entry.m_retries.tryTake(m_service)) {
            go(true);
            return;
        }
        m_isAsking = true;
        m_entry.m_hooks.askAllowance(reserveOf(m_entry.m_policy.retries, m_service), 1,
            m_entry.m_policy.allowanceTimeout,
            [self = handle<exchange>(this), go = std::move(go)](const std::optional<allowance_grant>& grant) {
                self->m_isAsking = false;
                if (!self->m_isDone)
                    go(grant && grant->tokens > 0);
            });
    }

    /** A backend server had the request and failed it: tries another one, or ends the request. */
    void repeatAfterArrival(std::string_view cause)
    {
        if (!m_attempts.empty())
            return; // A second attempt is under way already.
        if (!mayReachAnother()) {
            endWithBest("attempt");
            return;
        }
        withRepeat([self = handle<exchange>(this), cause = std::string(cause)](bool isGranted) {
            if (!self->m_attempts.empty())
                return;
            if (!isGranted) {
                self->endWithBest("attempt");
                return;
            }
            self->m_entry.m_log.write(event_weight::failure, "retried", self->id(), { { "cause", cause } });
            self->m_entry.m_metrics.noteRetry();
            self->sendNext(self->now());
        });
    }

    /** Ends the request with the best that its attempts brought. \param by what found that no more can be
     * done. */
    void endWithBest(std::string_view by)
    {
        if (m_fallback) {
            answer(std::move(*m_fallback));
            return;
        }
        auto refusal = m_lastRefusal.value_or(verdict { execution::notRun, refusal_reason::noBackendServer,
            "no backend server of " + m_service.text() + " is known", {} });
        if (m_mayHaveRun)
            refusal.outcome = execution::mayHaveRun;
        refuse(withRetryAfter(refusal), by);
    }

    void takeRefusal(const handle<peer_state>& peer, const verdict& refusal, bool reached, instant present)
    {
        m_entry.m_log.write(event_weight::failure, "attempt_failed", id(),
            { { "peer", peer->announcement.node.text() }, { "reason", toText(refusal.reason) },
                { "outcome", toText(refusal.outcome) }, { "detail", refusal.detail },
                { "reached", reached } });
        m_entry.m_metrics.noteAttemptFailure(refusal.reason);
        bool mayHaveRun = refusal.outcome == execution::mayHaveRun;
        m_mayHaveRun = m_mayHaveRun || mayHaveRun;
        m_lastRefusal = refusal;
        if (mayHaveRun && !isIdempotent()) {
            endWithBest("attempt");
            return;
        }
        if (reached) {
            repeatAfterArrival(toText(refusal.reason));
            return;
        }
        bool isWait = refusal.reason == refusal_reason::backendServerBusy;
        m_search.noteRefused(peer, isWait ? refusal.retryAfter : duration::zero());
        if (m_attempts.empty() && !m_isAsking)
            sendNext(present);
    }

    void answer(http_message&& message)
    {
        auto present = now();
        auto took = present - m_responder->receivedAt();
        m_entry.m_log.write(
            message.status >= firstServerError ? event_weight::failure : event_weight::routine, "answered",
            id(),
            { { "status", message.status }, { "took", took }, { "attempts", m_sent },
                { "route", m_context.rule->name } });
        m_entry.m_metrics.noteAnswer(message.status, took);
        end();
        m_responder->respond(std::move(message));
    }

    void refuse(verdict refusal, std::string_view filter)
    {
        auto status = statusFor(refusal);
        auto took = now() - m_responder->receivedAt();
        m_entry.m_log.write(event_weight::failure, "refused", id(),
            { { "status", status }, { "by", filter }, { "reason", toText(refusal.reason) },
                { "outcome", toText(refusal.outcome) }, { "detail", refusal.detail }, { "took", took },
                { "attempts", m_sent }, { "waiting_on", waitingOn() }, { "service", m_service.text() },
                { "organisation", m_context.organisation ? m_context.organisation->id.text() : "" },
                { "configuration",
                    m_context.snapshot && m_context.snapshot->routes ? m_context.snapshot->routes->version
                                                                     : 0 },
                { "retry_after", refusal.retryAfter } });
        m_entry.m_metrics.noteRefusal(refusal.reason, status);
        end();
        m_responder->respond(m_entry.m_dialect.makeRefusal(refusal, status));
    }

    /** Nodes that have the request and have not replied. */
    std::string waitingOn() const
    {
        std::string names;
        for (const auto& each : m_attempts)
            names += (names.empty() ? "" : ",") + each.peer->announcement.node.text();
        return names;
    }

    void abandon()
    {
        if (m_isDone)
            return;
        m_entry.m_log.write(event_weight::failure, "caller_left", id(),
            { { "after", now() - m_responder->receivedAt() }, { "attempts", m_sent } });
        m_entry.m_metrics.noteCallerLeft();
        end();
    }

    void end()
    {
        m_isDone = true;
        m_timer.cancel();
        auto attempts = std::move(m_attempts);
        m_attempts.clear();
        for (const auto& each : attempts)
            each.ticket->cancel();
    }

    request_entry& m_entry;
    handle<http_responder> m_responder;
    asio::steady_timer m_timer;
    entry_context m_context;
    backend_search m_search;
    service_id m_service;
    instant m_deadline {};
    std::vector<attempt> m_attempts;
    std::optional<http_message> m_fallback; ///< A failure that is passed on if no attempt does better.
    std::optional<verdict> m_lastRefusal;
    std::uint32_t m_reached = 0; ///< Backend servers that ran or may run the request.
    std::uint32_t m_sent = 0;
    bool m_isRepeat = false; ///< A call of a run that was a repeat itself.
    bool m_isAsking = false;
    bool m_mayHaveRun = false;
    bool m_isDone = false;
};

request_entry::request_entry(asio::io_context& context, service_id ownService, data_centre_id dataCentre,
    const dialect& dialect, const crash_quarantine& quarantine, peer_forwarder& forwarder,
    entry_policy policy, event_log& log, proxy_metrics& metrics, hooks hooks)
    : m_context(context)
    , m_ownService(std::move(ownService))
    , m_dataCentre(std::move(dataCentre))
    , m_dialect(dialect)
    , m_forwarder(forwarder)
    , m_policy(policy)
    , m_log(log)
    , m_metrics(metrics)
    , m_hooks(std::move(hooks))
    , m_chain(makeEntryChain(quarantine))
    , m_wallet({})
    , m_retries(policy.retries)
{
}

void request_entry::serve(http_message&& message, handle<http_responder> responder)
{
    handle<exchange> served(new exchange(*this, std::move(responder)));
    served->begin(std::move(message));
}

} // namespace pomelohub
