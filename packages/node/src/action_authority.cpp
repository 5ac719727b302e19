#include "action_authority.h"

#include "hashing.h"
#include "parse_number.h"

namespace pomelohub {

namespace {

    constexpr std::size_t maxUnconsumedBytes = 256 * 1024;
    constexpr std::size_t copyChunkBytes = 16 * 1024;

    std::string valueOf(const exchange& outer, std::string_view name)
    {
        return headerValue(outer.request().headers, name).value_or("");
    }

    action_key keyOf(const exchange& outer)
    {
        return { organisation_id(valueOf(outer, organisationHeader)),
            service_id(valueOf(outer, serviceHeader)), valueOf(outer, actionHeader) };
    }

    /** Digest of the parts of a request that must be equal in a retry with the same key. */
    digest digestOf(const exchange& outer, const std::string& body)
    {
        const auto& head = outer.request();
        return sha256(head.method + '\n' + head.path + '\n' + valueOf(outer, "content-length") + '\n' + body);
    }

    /** Whether the body fits the buffer from which it can be read again for the backend server. */
    bool isRewindable(const exchange& outer)
    {
        auto length = parseNumber<std::size_t>(valueOf(outer, "content-length"));
        return length && *length <= body_pipe::rewindLimit;
    }

} // namespace

/** Streams the response of a running action to its caller and copies it for storage. */
struct action_authority::running_action : ref_counted<running_action> {
    handle<control_plane> control;
    handle<exchange> outer;
    handle<exchange> inner;
    action_key key;
    stored_response answer;
    std::atomic<std::size_t> unconsumedBytes { 0 };

    void start()
    {
        inner->setResponseHook([self = handle<running_action>(this)] { self->handleHead(); });
    }

    void handleHead()
    {
        auto response = *inner->response();
        if (!response)
            return fail(response.error());
        answer.status = response->status;
        answer.headers = response->headers;
        outer->respond(std::move(*response));
        auto copyBody = [self = handle<running_action>(this)] { self->copyBody(); };
        outer->responseBody().setConsumedHook([self = handle<running_action>(this)](std::size_t bytes) {
            bool wasFull = self->unconsumedBytes.fetch_sub(bytes) >= maxUnconsumedBytes;
            if (wasFull)
                self->control->withState([self](control_state&, const present&) { self->copyBody(); });
        });
        inner->responseBody().setReadableHook([self = handle<running_action>(this), copyBody] {
            self->control->withState([copyBody](control_state&, const present&) { copyBody(); });
        });
    }

    /** Copies the available part of the body. Runs on the control strand only. */
    void copyBody()
    {
        std::array<char, copyChunkBytes> buffer;
        while (inner && unconsumedBytes < maxUnconsumedBytes) {
            auto part = inner->responseBody().poll(buffer.data(), buffer.size());
            if (part.state == pipe_state::failed)
                return fail(inner->responseBody().failure());
            if (part.state == pipe_state::ended)
                return finish();
            if (part.bytes == 0)
                return;
            std::string_view bytes(buffer.data(), part.bytes);
            if (answer.body.size() <= idempotency_policy {}.maxBodyBytes)
                answer.body.append(bytes);
            unconsumedBytes += bytes.size();
            outer->responseBody().writeUnbounded(bytes);
        }
    }

    void finish()
    {
        release();
        // Store the response before the caller sees its end, so that a later retry finds it.
        control->withState([self = handle<running_action>(this)](control_state& state, const present& now) {
            state.actions().finish(self->key, std::move(self->answer), now);
            self->outer->responseBody().finish();
        });
    }

    void fail(const request_error& why)
    {
        release();
        control->withState(
            [self = handle<running_action>(this), why](control_state& state, const present& now) {
                if (why.outcome == execution::notRun)
                    state.actions().forget(self->key, now);
                else
                    state.actions().markUnknown(self->key, now);
                self->outer->refuse(why);
            });
    }

    void release()
    {
        outer->responseBody().setConsumedHook(nullptr);
        inner->responseBody().setReadableHook(nullptr);
        inner = nullptr;
    }
};

action_authority::action_authority(handle<control_plane> control, handle<fleet_forwarder> forwarder,
    clock_hook clock, decision_hook onDecision)
    : m_control(std::move(control))
    , m_forwarder(std::move(forwarder))
    , m_clock(std::move(clock))
    , m_onDecision(std::move(onDecision))
{
}

void action_authority::recordDecision(const exchange& outer, std::string outcome, std::string reason) const
{
    m_onDecision(
        { m_clock().wall, valueOf(outer, requestIdHeader), "action", std::move(outcome), std::move(reason) });
}

void action_authority::submit(const handle<exchange>& outer)
{
    if (!isRewindable(*outer))
        return begin(outer, "");
    collectBody(outer->requestBodyHandle(), body_pipe::rewindLimit,
        [self = handle<action_authority>(this), outer](const result<std::string>& body) {
            if (!body) {
                outer->refuse({ execution::notRun, refusal_reason::cancelled, "the body ended early", {} });
                return;
            }
            outer->requestBody().rewind();
            self->begin(outer, *body);
        });
}

void action_authority::begin(const handle<exchange>& outer, const std::string& body)
{
    auto key = keyOf(*outer);
    auto request = digestOf(*outer, body);
    m_control->withState([self = handle<action_authority>(this), outer, key, request](
                             control_state& state, const present& now) {
        state.actions().begin(key, request, now, [self, outer, key](result<idempotency_decision> decision) {
            self->handleDecision(outer, key, std::move(decision));
        });
    });
}

void action_authority::handleDecision(
    const handle<exchange>& outer, const action_key& key, result<idempotency_decision> decision)
{
    if (!decision) {
        recordDecision(*outer, "refused", std::string(toText(decision.error().reason)));
        outer->requestBody().closeReader();
        outer->refuse(decision.error());
    } else if (auto* stored = std::get_if<replay_response>(&*decision)) {
        recordDecision(*outer, "replayed", "key " + key.key);
        outer->requestBody().closeReader();
        replay(outer, stored->response);
    } else {
        recordDecision(*outer, "run", "key " + key.key);
        run(outer, key);
    }
}

void action_authority::replay(const handle<exchange>& outer, const stored_response& answer)
{
    response_head head { answer.status, answer.headers };
    head.headers.emplace_back(std::string(replayedHeader), "true");
    outer->responseBody().writeUnbounded(answer.body);
    outer->responseBody().finish();
    outer->respond(std::move(head));
}

void action_authority::run(const handle<exchange>& outer, const action_key& key)
{
    auto head = outer->request();
    removeHeader(head.headers, actionHeader);
    head.headers.emplace_back("idempotency-key", key.key);
    handle<running_action> action(new running_action);
    action->control = m_control;
    action->outer = outer;
    action->inner = exchange::withOwnResponse(std::move(head), *outer);
    action->key = key;
    // A caller that cancels does not stop the action, so that its retry finds the response.
    auto inner = action->inner;
    m_forwarder->forward(inner, { key.service, false, valueOf(*outer, requestIdHeader) });
    action->start();
}

} // namespace pomelohub
