#include "ingress_router.h"

#include <algorithm>

namespace pomelohub {

namespace {

    using std::chrono::milliseconds;

    constexpr int firstServerError = 500;
    /** Timeout of requests whose caller does not set one. */
    constexpr duration defaultTimeout = std::chrono::seconds(30);
    constexpr int notRunStatus = 503;

    /** The HTTP status of a refusal. It must not promise more than the outcome: a request that may have run
     * gets 502 or 504, and only one that has not run gets 503 or a client error. */
    int statusFor(const request_error& refusal)
    {
        auto status = httpStatus(refusal.reason);
        if (refusal.outcome == execution::mayHaveRun)
            return refusal.reason == refusal_reason::deadlineExceeded ? 504 : 502;
        return status >= firstServerError ? notRunStatus : status;
    }

} // namespace

/** A request of a caller until its response. */
class ingress_request : public ref_counted<ingress_request> {
public:
    ingress_request(ingress_router& router, handle<http_responder> responder)
        : m_router(router)
        , m_responder(std::move(responder))
        , m_timer(router.m_context)
        , m_selector(router.m_policy.selector, router.m_dataCentre)
    {
    }

    void begin(http_message&& message)
    {
        m_context.message = std::move(message);
        m_responder->onCancelled = [self = handle<ingress_request>(this)] { self->handleCallerDisconnect(); };
        auto now = m_router.m_hooks.clock();
        auto caller = m_router.m_codec.readCallerRequest(m_context.message);
        if (!caller) {
            refuse(caller.error(), "request");
            return;
        }
        m_context.caller = std::move(*caller);
        if (m_router.m_hooks.drainDeadline() - now.monotonic < m_router.m_policy.minTimeUntilStop) {
            refuse(withRetryAfter(
                       { execution::notRun, refusal_reason::nodeLeaving, "this node is about to end", {} }),
                "stop");
            return;
        }
        m_context.snapshot = m_router.m_hooks.snapshot();
        std::string_view refusedBy;
        auto passed = m_router.m_filters.run(m_context, now, refusedBy);
        m_service = m_context.service;
        if (!passed) {
            refuse(passed.error(), refusedBy);
            return;
        }
        const auto& queueing = m_router.m_policy.queueing;
        m_toleratesQueueing = queueing.toleratesQueueing(*m_context.rule);
        if (m_toleratesQueueing && queueing.parallelOffers > 1)
            m_race.emplace(m_router.m_policy.race, m_router.m_dataCentre);
        startTimer(now.monotonic);
        m_isAdmitted = true;
        acquireToken(now.monotonic);
    }

private:
    struct attempt {
        handle<peer_state> peer;
        handle<forward_call> call;
        instant startedAt {}; ///< When it was sent, or its offer was granted.
        bool isOffer = false; ///< One of several offers, none of which has been taken yet.
    };

    instant now() const { return m_router.m_hooks.clock().monotonic; }
    const request_id& id() const { return m_context.caller.id; }
    bool isIdempotent() const { return m_context.rule->retryRule == retry_rule::idempotent; }

    void startTimer(instant present)
    {
        auto received = m_responder->receivedAt();
        auto limit = m_context.caller.timeout.value_or(defaultTimeout);
        m_deadline = received + limit - std::min<duration>(m_router.m_policy.responseMargin, limit / 10);
        if (m_context.rule->timeout > duration::zero())
            m_deadline = std::min(m_deadline, received + m_context.rule->timeout);
        scheduleCheck(present);
    }

    void scheduleCheck(instant present)
    {
        m_deadline = std::min(m_deadline, m_router.m_hooks.drainDeadline());
        auto next = std::min(m_deadline, present + m_router.m_policy.attemptCheckInterval);
        m_timer.startAt(next, [self = handle<ingress_request>(this)] {
            auto present = self->now();
            if (present >= self->m_deadline) {
                self->handleDeadline();
                return;
            }
            self->checkAttempts(present);
            if (!self->m_isDone)
                self->scheduleCheck(present);
        });
    }

    void handleDeadline()
    {
        bool mayHaveRun = m_mayHaveRun
            || std::any_of(m_attempts.begin(), m_attempts.end(),
                [](const attempt& each) { return each.call->isCommitted(); });
        if (m_fallbackResponse) {
            respond(std::move(*m_fallbackResponse));
            return;
        }
        refuse({ mayHaveRun ? execution::mayHaveRun : execution::notRun, refusal_reason::deadlineExceeded,
                   "no answer within the time limit", {} },
            "deadline");
    }

    /** Cancels offers whose link is unresponsive and sends them to another backend server, and hedges an
     * idempotent request that takes too long or whose link is unresponsive. */
    void checkAttempts(instant present)
    {
        std::vector<handle<forward_call>> cancelledCalls;
        bool needsHedge = false;
        for (const auto& each : m_attempts) {
            if (each.call->isUnresponsive() && !each.call->isCommitted())
                cancelledCalls.push_back(each.call);
            if (each.isOffer)
                continue;
            auto hedgeDelay = std::max(
                scaled(m_context.rule->targetLatency, m_router.m_policy.hedgeTargetLatencyFraction),
                scaled(each.peer->estimatedResponseTime(present), m_router.m_policy.hedgeLatencyFactor));
            needsHedge = needsHedge || each.call->isUnresponsive() || present - each.startedAt > hedgeDelay;
        }
        for (const auto& call : cancelledCalls)
            withdraw(call);
        if ((m_attempts.empty() || isAwaitingGrant()) && !m_isWaitingForTokens) {
            sendNextAttempt(present);
            return;
        }
        if (needsHedge && isIdempotent() && m_attempts.size() == 1 && mayAttemptAnother()
            && !m_isWaitingForTokens) {
            acquireRetryPermit([self = handle<ingress_request>(this)](bool isGranted) {
                if (isGranted)
                    self->hedge(self->now());
            });
        }
    }

    /** Cancels an attempt that is not committed. */
    void withdraw(const handle<forward_call>& call)
    {
        auto found = std::find_if(
            m_attempts.begin(), m_attempts.end(), [&](const attempt& each) { return each.call == call; });
        if (found->isOffer)
            m_race->recordLoss(found->peer->announcement.node);
        else
            --m_possibleRunCount;
        m_attempts.erase(found);
        call->cancel();
    }

    void hedge(instant present)
    {
        if (m_attempts.size() != 1 || m_router.m_quarantine.isQuarantined(m_context.fingerprint, present))
            return;
        auto snapshot = m_router.m_hooks.snapshot();
        auto selection = m_selector.selectHedge(selectionInput(*snapshot, present),
            m_router.m_policy.maxHedgeQueueTime, m_router.m_hooks.random, present);
        if (!selection)
            return;
        m_router.m_log.write(event_priority::failure, "hedged", id(),
            { { "first", m_attempts.front().peer->announcement.node.text() },
                { "second", selection->peer->announcement.node.text() },
                { "waited", present - m_attempts.front().startedAt } });
        m_router.m_metrics.recordHedge();
        send(*selection, present);
    }

    void acquireToken(instant present)
    {
        const auto& limits = m_context.organisation;
        if (!limits || limits->tokensPerSecond <= 0) {
            sendFirstAttempt(present);
            return;
        }
        switch (m_router.m_quotaClient.tryAcquire(*limits, present)) {
        case quota_decision::taken:
            sendFirstAttempt(present);
            return;
        case quota_decision::denied:
            refuseRateExceeded("the owner of the allowance had no token a moment ago",
                m_router.m_quotaClient.retryAfter(limits->id, present));
            return;
        case quota_decision::requestTokens:
            break;
        }
        m_isWaitingForTokens = true;
        m_router.m_hooks.requestTokens(limits, m_router.m_quotaClient.tokensToRequest(*limits, present),
            m_router.m_policy.quotaTimeout,
            [self = handle<ingress_request>(this), present](std::optional<quota_grant> grant) {
                self->m_isWaitingForTokens = false;
                self->handleGrant(grant, present);
            });
    }

    void handleGrant(const std::optional<quota_grant>& grant, instant askedAt)
    {
        const auto& limits = *m_context.organisation;
        auto present = now();
        auto& quotaClient = m_router.m_quotaClient;
        if (grant && grant->tokens > 0) {
            auto remaining = *grant;
            // The first token is for this request, unless it has ended meanwhile.
            if (!m_isDone)
                --remaining.tokens;
            if (remaining.tokens > 0)
                quotaClient.addGrant(limits.id, remaining, askedAt, present);
            if (!m_isDone)
                sendFirstAttempt(present);
            return;
        }
        if (m_isDone)
            return;
        if (grant) {
            quotaClient.addGrant(limits.id, *grant, askedAt, present);
            refuseRateExceeded("the owner of the allowance has no token", grant->retryAfter);
            return;
        }
        if (quotaClient.tryAcquireFromShare(limits, nodeCount(), present))
            sendFirstAttempt(present);
        else
            refuseRateExceeded(
                "the owner of the allowance is out of reach, and this node's even share is used up",
                m_router.m_policy.minRetryAfter);
    }

    void refuseRateExceeded(std::string detail, duration retryAfter)
    {
        refuse({ execution::notRun, refusal_reason::rateExceeded, std::move(detail),
                   std::chrono::ceil<milliseconds>(retryAfter) },
            "allowance");
    }

    void sendFirstAttempt(instant present)
    {
        // The retry budget is a share of the requests of users, so nested calls do not add to it.
        if (!isNested())
            m_router.m_retryBudget.recordRequest(m_service);
        else
            chargeNestedRetry();
        sendNextAttempt(present);
    }

    /** Whether the request was sent by a backend server that is itself serving one: it has no API key
     * although callers need one. */
    bool isNested() const { return !m_context.organisation && m_context.snapshot->routes->organisations(); }
    std::size_t nodeCount() const { return m_context.snapshot->nodes.size(); }

    /** Charges a nested call to the retry budget if it belongs to a retry. Which running request sent the
     * call is not known, so it is charged with a probability equal to the fraction of retries among the
     * running requests. The call goes on in any case. */
    void chargeNestedRetry()
    {
        constexpr std::uint64_t resolution = 1024;
        auto share = m_router.m_hooks.retryShare();
        if (static_cast<double>(m_router.m_hooks.random(resolution)) >= share * resolution)
            return;
        m_isPartOfRetry = true;
        if (m_router.m_retryBudget.tryAcquire(m_service))
            return;
        m_router.m_hooks.requestTokens(retryReserveOf(m_router.m_policy.retryLimits, m_service), 1,
            m_router.m_policy.quotaTimeout, [](const std::optional<quota_grant>&) {});
    }

    /** Whether a failure of the next attempt can be retried elsewhere. */
    bool isNextAttemptRetriable() const
    {
        return isIdempotent() && m_possibleRunCount == 0 && m_context.rule->maxAttempts > 1;
    }
    bool mayAttemptAnother() const { return m_possibleRunCount < m_context.rule->maxAttempts; }

    selection_input selectionInput(const fleet_snapshot& snapshot, instant present) const
    {
        auto found = snapshot.services.find(m_service);
        std::span<const handle<peer_state>> candidates;
        if (found != snapshot.services.end())
            candidates = found->second;
        return { candidates, snapshot.evacuated,
            isNextAttemptRetriable() ? retry_rule::idempotent : retry_rule::once,
            m_context.rule->targetLatency, m_deadline - present };
    }

    void sendNextAttempt(instant present)
    {
        if (m_router.m_quarantine.isQuarantined(m_context.fingerprint, present)) {
            m_lastRefusal = quarantineRefusal(m_context.fingerprint);
            finishWithBestResult("quarantine");
            return;
        }
        // The set of peers may have changed since the request arrived, so the current snapshot is used.
        auto snapshot = m_router.m_hooks.snapshot();
        if (m_race) {
            sendOffers(*snapshot, present);
            if (!m_attempts.empty())
                return;
            if (m_race->wasRefused()) {
                finishWithBestResult("race");
                return;
            }
            // No server is likely sound: the selection knows when to send a request to one at risk.
            m_race.reset();
        }
        if (auto selection
            = m_selector.select(selectionInput(*snapshot, present), m_router.m_hooks.random, present))
            send(*selection, present);
        else
            finishWithBestResult("choice");
    }

    /** Whether the request waits in several queues, none of which has granted a slot yet. */
    bool isAwaitingGrant() const { return m_race && !m_race->isCommitted(); }

    /** Offers the request to further servers as far as its race allows. */
    void sendOffers(const fleet_snapshot& snapshot, instant present)
    {
        offer_input input { selectionInput(snapshot, present), present - m_responder->receivedAt(),
            m_context.message.body.size() };
        while (auto selection = m_race->next(input, m_router.m_hooks.random, present))
            send(*selection, present);
    }

    /** Decides whether the request takes the slot that \p peer has granted. The other offers end then. */
    bool handleGrant(const handle<peer_state>& peer)
    {
        if (m_isDone || !m_race)
            return false;
        auto present = now();
        const auto& node = peer->announcement.node;
        bool isTaken = m_race->tryCommit(node);
        std::vector<handle<forward_call>> losers;
        for (auto& each : m_attempts) {
            if (!each.isOffer)
                continue;
            if (each.peer == peer && isTaken) {
                each.isOffer = false;
                each.startedAt = present;
            } else if (each.peer == peer || isTaken) {
                losers.push_back(each.call);
            }
        }
        std::erase_if(m_attempts, [](const attempt& each) { return each.isOffer; });
        for (const auto& each : losers)
            each->cancel();
        if (!isTaken)
            return false;
        ++m_possibleRunCount;
        m_selector.recordTried(node);
        m_router.m_log.write(event_priority::routine, "offer_taken", id(),
            { { "peer", node.text() }, { "waited", present - m_responder->receivedAt() },
                { "offers", m_attemptCount }, { "cancelled", static_cast<std::uint64_t>(losers.size()) } });
        return true;
    }

    request_error withRetryAfter(request_error refusal) const
    {
        refusal.retryAfter = std::max<milliseconds>(
            refusal.retryAfter, std::chrono::ceil<milliseconds>(m_router.m_policy.minRetryAfter));
        return refusal;
    }

    void send(const backend_selection& selection, instant present)
    {
        const auto& peer = selection.peer;
        forwarded_request request;
        request.id = id();
        request.service = m_service;
        request.callerService = m_router.m_ownService;
        if (m_context.organisation)
            request.organisation = m_context.organisation->id;
        request.rank = rank();
        request.retryRule = m_context.rule->retryRule;
        request.isNested = isNested();
        request.isRetry = m_isPartOfRetry || m_selector.hasReachedBackend();
        request.trialRule = selection.trialRule;
        request.maxFailureRisk = selection.maxFailureRisk;
        request.timeLeft = m_deadline - present;
        request.maxQueueTime = selection.maxQueueTime;
        request.fingerprint = m_context.fingerprint;
        request.toleratesQueueing = m_toleratesQueueing;
        bool isOffer = isAwaitingGrant();
        if (isOffer)
            request.parallelOffers = m_router.m_policy.race.parallelOffers;
        request.kind = requestKindOf(m_service, *m_context.rule);
        request.message = m_context.message;
        m_possibleRunCount += isOffer ? 0 : 1;
        ++m_attemptCount;
        m_router.m_log.write(event_priority::routine, "sent", id(),
            { { "peer", peer->announcement.node.text() }, { "service", m_service.text() },
                { "configuration", m_context.snapshot->routes->version }, { "attempt", m_attemptCount },
                { "estimate", peer->estimatedResponseTime(present) }, { "patience", selection.maxQueueTime },
                { "risk_percent", percentOf(peer->failureRisk(present)) },
                { "max_risk_percent", percentOf(selection.maxFailureRisk) } });
        auto call = m_router.m_forwarder.forward(
            peer, request,
            [self = handle<ingress_request>(this), peer](
                forward_reply reply) { self->handleReply(peer, std::move(reply)); },
            isOffer ? [self = handle<ingress_request>(this), peer] { return self->handleGrant(peer); }
                    : std::function<bool()>());
        m_attempts.push_back({ peer, call, present, isOffer });
    }

    std::uint32_t rank() const
    {
        const auto& organisation = m_context.organisation;
        return organisation && organisation->rank ? *organisation->rank : m_context.rule->rank;
    }

    void handleReply(const handle<peer_state>& peer, forward_reply reply)
    {
        if (m_isDone)
            return;
        auto present = now();
        bool wasOffer = std::any_of(m_attempts.begin(), m_attempts.end(),
            [&](const attempt& each) { return each.peer == peer && each.isOffer; });
        std::erase_if(m_attempts, [&](const attempt& each) { return each.peer == peer; });
        if (wasOffer)
            m_race->recordRefusal(peer->announcement.node);
        else if (m_race && m_attempts.empty())
            m_race->reopen();
        if (reply.report.slots > 0)
            peer->applyReport(reply.report, present);
        bool isRefusedForRisk = !reply.response
            && reply.response.error().reason == refusal_reason::backendServerFailed
            && !reply.hasReachedBackend;
        if (isRefusedForRisk)
            peer->deferTrial(
                present + std::max(reply.avoidFor, suspectTrialDelay(nodeCount(), m_router.m_hooks.random)));
        else if (reply.avoidFor > duration::zero())
            peer->avoidUntil(present + reply.avoidFor);
        if (reply.hasReachedBackend)
            m_selector.recordReached(peer->announcement.node);
        bool wasNotRun = !reply.response && reply.response.error().outcome == execution::notRun;
        if (wasNotRun && !wasOffer)
            --m_possibleRunCount;
        if (reply.response)
            handleResponse(std::move(*reply.response));
        else
            handleRefusal(peer, reply.response.error(), reply.hasReachedBackend, present);
    }

    void handleResponse(http_message&& message)
    {
        bool isFailure = message.status >= firstServerError;
        if (!isFailure || !isIdempotent()) {
            respond(std::move(message));
            return;
        }
        m_fallbackResponse = std::move(message);
        retryAfterFailure("answered_with_failure");
    }

    /** Takes a permit for a retry or hedge, from this node's part of the budget or else from the shared
     * reserve. Calls \p done with whether it was granted, unless the request has ended by then. */
    void acquireRetryPermit(std::function<void(bool)> done)
    {
        if (m_router.m_retryBudget.tryAcquire(m_service)) {
            done(true);
            return;
        }
        m_isWaitingForTokens = true;
        m_router.m_hooks.requestTokens(retryReserveOf(m_router.m_policy.retryLimits, m_service), 1,
            m_router.m_policy.quotaTimeout,
            [self = handle<ingress_request>(this), done = std::move(done)](
                const std::optional<quota_grant>& grant) {
                self->m_isWaitingForTokens = false;
                if (!self->m_isDone)
                    done(grant && grant->tokens > 0);
            });
    }

    /** Retries a request that a backend server received and failed, or ends it with the best result so far.
     */
    void retryAfterFailure(std::string_view cause)
    {
        if (!m_attempts.empty())
            return; // Another attempt is still in flight.
        if (!mayAttemptAnother()) {
            finishWithBestResult("attempt");
            return;
        }
        acquireRetryPermit(
            [self = handle<ingress_request>(this), cause = std::string(cause)](bool isGranted) {
                if (!self->m_attempts.empty())
                    return;
                if (!isGranted) {
                    self->finishWithBestResult("attempt");
                    return;
                }
                self->m_router.m_log.write(
                    event_priority::failure, "retried", self->id(), { { "cause", cause } });
                self->m_router.m_metrics.recordRetry();
                self->sendNextAttempt(self->now());
            });
    }

    /** Ends the request with the best result of its attempts. \param by the step that found no further
     * attempt possible, for the log. */
    void finishWithBestResult(std::string_view by)
    {
        if (m_fallbackResponse) {
            respond(std::move(*m_fallbackResponse));
            return;
        }
        auto refusal = m_lastRefusal.value_or(request_error { execution::notRun,
            refusal_reason::noBackendServer, "no backend server of " + m_service.text() + " is known", {} });
        if (m_mayHaveRun)
            refusal.outcome = execution::mayHaveRun;
        refuse(withRetryAfter(refusal), by);
    }

    void handleRefusal(
        const handle<peer_state>& peer, const request_error& refusal, bool reached, instant present)
    {
        m_router.m_log.write(event_priority::failure, "attempt_failed", id(),
            { { "peer", peer->announcement.node.text() }, { "reason", toText(refusal.reason) },
                { "outcome", toText(refusal.outcome) }, { "detail", refusal.detail },
                { "reached", reached } });
        m_router.m_metrics.recordAttemptFailure(refusal.reason);
        bool mayHaveRun = refusal.outcome == execution::mayHaveRun;
        m_mayHaveRun = m_mayHaveRun || mayHaveRun;
        m_lastRefusal = refusal;
        if (mayHaveRun && !isIdempotent()) {
            finishWithBestResult("attempt");
            return;
        }
        if (reached) {
            retryAfterFailure(toText(refusal.reason));
            return;
        }
        if (refusal.reason == refusal_reason::requestQuarantined) {
            if (m_attempts.empty())
                finishWithBestResult("quarantine");
            return;
        }
        bool isBusy = refusal.reason == refusal_reason::backendServerBusy;
        m_selector.recordRefusal(peer, isBusy ? refusal.retryAfter : duration::zero());
        if ((m_attempts.empty() || isAwaitingGrant()) && !m_isWaitingForTokens)
            sendNextAttempt(present);
    }

    void respond(http_message&& message)
    {
        auto present = now();
        auto elapsed = present - m_responder->receivedAt();
        m_router.m_log.write(
            message.status >= firstServerError ? event_priority::failure : event_priority::routine,
            "answered", id(),
            { { "status", message.status }, { "took", elapsed }, { "attempts", m_attemptCount },
                { "route", m_context.rule->name } });
        m_router.m_metrics.recordResponse(message.status, elapsed);
        if (message.status >= firstServerError)
            reportFailure();
        finish();
        m_responder->respond(std::move(message));
    }

    void refuse(request_error refusal, std::string_view refusedBy)
    {
        auto status = statusFor(refusal);
        auto elapsed = now() - m_responder->receivedAt();
        m_router.m_log.write(event_priority::failure, "refused", id(),
            { { "status", status }, { "by", refusedBy }, { "reason", toText(refusal.reason) },
                { "outcome", toText(refusal.outcome) }, { "detail", refusal.detail }, { "took", elapsed },
                { "attempts", m_attemptCount }, { "waiting_on", pendingNodes() },
                { "service", m_service.text() },
                { "organisation", m_context.organisation ? m_context.organisation->id.text() : "" },
                { "configuration",
                    m_context.snapshot && m_context.snapshot->routes ? m_context.snapshot->routes->version
                                                                     : 0 },
                { "retry_after", refusal.retryAfter } });
        m_router.m_metrics.recordRefusal(refusal.reason, status);
        reportFailure();
        finish();
        m_responder->respond(m_router.m_codec.makeRefusal(refusal, status));
    }

    /** Reports a nested call that has failed, before the backend server that made it learns of it. */
    void reportFailure()
    {
        if (m_isAdmitted && isNested())
            m_router.m_hooks.onNestedCallFailed();
    }

    /** Names of the nodes that have been sent the request and have not replied. */
    std::string pendingNodes() const
    {
        std::string names;
        for (const auto& each : m_attempts)
            names += (names.empty() ? "" : ",") + each.peer->announcement.node.text();
        return names;
    }

    void handleCallerDisconnect()
    {
        if (m_isDone)
            return;
        m_router.m_log.write(event_priority::failure, "caller_left", id(),
            { { "after", now() - m_responder->receivedAt() }, { "attempts", m_attemptCount } });
        m_router.m_metrics.recordCallerDisconnect();
        finish();
    }

    void finish()
    {
        m_isDone = true;
        m_timer.cancel();
        auto attempts = std::move(m_attempts);
        m_attempts.clear();
        for (const auto& each : attempts)
            each.call->cancel();
    }

    ingress_router& m_router;
    handle<http_responder> m_responder;
    one_shot_timer m_timer;
    ingress_context m_context;
    backend_selector m_selector;
    std::optional<offer_race> m_race; ///< Set while the request is placed by offers in several queues.
    service_id m_service;
    instant m_deadline {};
    std::vector<attempt> m_attempts;
    /** Error response to pass on if no other attempt succeeds. */
    std::optional<http_message> m_fallbackResponse;
    std::optional<request_error> m_lastRefusal;
    std::uint32_t m_possibleRunCount = 0; ///< Attempts whose backend server ran or may run the request.
    std::uint32_t m_attemptCount = 0;
    bool m_toleratesQueueing = false;
    bool m_isPartOfRetry = false; ///< A nested call that is counted as part of a retry.
    bool m_isWaitingForTokens = false; ///< A request for tokens is pending.
    bool m_mayHaveRun = false;
    bool m_isAdmitted = false; ///< It has passed the filters.
    bool m_isDone = false;
};

ingress_router::ingress_router(asio::io_context& context, service_id ownService, data_centre_id dataCentre,
    const header_codec& codec, const crash_quarantine& quarantine, peer_forwarder& forwarder,
    ingress_policy policy, event_log& log, proxy_metrics& metrics, hooks hooks)
    : m_context(context)
    , m_ownService(std::move(ownService))
    , m_dataCentre(std::move(dataCentre))
    , m_codec(codec)
    , m_quarantine(quarantine)
    , m_forwarder(forwarder)
    , m_policy(policy)
    , m_log(log)
    , m_metrics(metrics)
    , m_hooks(std::move(hooks))
    , m_filters(makeIngressFilterChain(quarantine))
    , m_quotaClient({})
    , m_retryBudget(policy.retryLimits)
{
}

void ingress_router::serve(http_message&& message, handle<http_responder> responder)
{
    handle<ingress_request> started(new ingress_request(*this, std::move(responder)));
    started->begin(std::move(message));
}

} // namespace pomelohub
