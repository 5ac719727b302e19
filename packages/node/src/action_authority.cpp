#include "action_authority.h"

#include "hashing.h"
#include "parse_number.h"

namespace pomelohub {

namespace {

    constexpr std::size_t pumpAhead = 256 * 1024;
    constexpr std::size_t pumpChunk = 16 * 1024;

    std::string valueOf(const exchange& asked, std::string_view name)
    {
        return headerValue(asked.request().headers, name).value_or("");
    }

    action_key keyOf(const exchange& asked)
    {
        return { organisation_id(valueOf(asked, organisationHeader)),
            service_id(valueOf(asked, serviceHeader)), valueOf(asked, actionHeader) };
    }

    /** Digest of what must be equal in a repeat. */
    digest digestOf(const exchange& asked, const std::string& body)
    {
        const auto& head = asked.request();
        return sha256(head.method + '\n' + head.path + '\n' + valueOf(asked, "content-length") + '\n' + body);
    }

    /** Whether the body can be read first and then again for the backend server. */
    bool isShort(const exchange& asked)
    {
        auto length = parseNumber<std::size_t>(valueOf(asked, "content-length"));
        return length && *length <= body_pipe::rewindLimit;
    }

} // namespace

/** Passes the answer of a running action on while keeping a copy for the ledger. */
struct action_authority::running_action : ref_counted<running_action> {
    handle<control_plane> control;
    handle<exchange> asked;
    handle<exchange> inner;
    action_key key;
    stored_response answer;
    std::atomic<std::size_t> ahead { 0 };

    void start()
    {
        inner->setResponseHook([self = handle<running_action>(this)] { self->takeHead(); });
    }

    void takeHead()
    {
        auto response = *inner->response();
        if (!response)
            return fail(response.error());
        answer.status = response->status;
        answer.headers = response->headers;
        asked->respond(std::move(*response));
        auto pump = [self = handle<running_action>(this)] { self->pump(); };
        asked->responseBody().setConsumedHook([self = handle<running_action>(this)](std::size_t bytes) {
            bool wasFull = self->ahead.fetch_sub(bytes) >= pumpAhead;
            if (wasFull)
                self->control->withState([self](control_state&, const present&) { self->pump(); });
        });
        inner->responseBody().setReadableHook([self = handle<running_action>(this), pump] {
            self->control->withState([pump](control_state&, const present&) { pump(); });
        });
    }

    /** Runs on the control strand only. */
    void pump()
    {
        std::array<char, pumpChunk> buffer;
        while (inner && ahead < pumpAhead) {
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
            ahead += bytes.size();
            asked->responseBody().offer(bytes);
        }
    }

    void finish()
    {
        release();
        // The answer is kept before its end is passed on, so that a repeat after it finds it.
        control->withState([self = handle<running_action>(this)](control_state& state, const present& now) {
            state.actions().finish(self->key, std::move(self->answer), now);
            self->asked->responseBody().finish();
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
                self->asked->refuse(why);
            });
    }

    void release()
    {
        asked->responseBody().setConsumedHook(nullptr);
        inner->responseBody().setReadableHook(nullptr);
        inner = nullptr;
    }
};

action_authority::action_authority(
    handle<control_plane> control, handle<fleet_forwarder> forwarder, clock_hook clock, decision_hook decided)
    : m_control(std::move(control))
    , m_forwarder(std::move(forwarder))
    , m_clock(std::move(clock))
    , m_decided(std::move(decided))
{
}

void action_authority::note(const exchange& asked, std::string outcome, std::string reason) const
{
    m_decided(
        { m_clock().wall, valueOf(asked, requestIdHeader), "action", std::move(outcome), std::move(reason) });
}

void action_authority::submit(const handle<exchange>& asked)
{
    if (!isShort(*asked))
        return begin(asked, "");
    collectBody(asked->requestBodyHandle(), body_pipe::rewindLimit,
        [self = handle<action_authority>(this), asked](const result<std::string>& body) {
            if (!body) {
                asked->refuse({ execution::notRun, refusal_reason::cancelled, "the body ended early", {} });
                return;
            }
            asked->requestBody().rewind();
            self->begin(asked, *body);
        });
}

void action_authority::begin(const handle<exchange>& asked, const std::string& body)
{
    auto key = keyOf(*asked);
    auto request = digestOf(*asked, body);
    m_control->withState([self = handle<action_authority>(this), asked, key, request](
                             control_state& state, const present& now) {
        state.actions().begin(key, request, now, [self, asked, key](result<idempotency_decision> decision) {
            self->decided(asked, key, std::move(decision));
        });
    });
}

void action_authority::decided(
    const handle<exchange>& asked, const action_key& key, result<idempotency_decision> decision)
{
    if (!decision) {
        note(*asked, "refused", std::string(toText(decision.error().reason)));
        asked->requestBody().closeReader();
        asked->refuse(decision.error());
    } else if (auto* kept = std::get_if<replay_response>(&*decision)) {
        note(*asked, "replayed", "key " + key.key);
        asked->requestBody().closeReader();
        replay(asked, kept->response);
    } else {
        note(*asked, "run", "key " + key.key);
        run(asked, key);
    }
}

void action_authority::replay(const handle<exchange>& asked, const stored_response& answer)
{
    response_head head { answer.status, answer.headers };
    head.headers.emplace_back(std::string(replayedHeader), "true");
    asked->responseBody().offer(answer.body);
    asked->responseBody().finish();
    asked->respond(std::move(head));
}

void action_authority::run(const handle<exchange>& asked, const action_key& key)
{
    auto head = asked->request();
    removeHeader(head.headers, actionHeader);
    head.headers.emplace_back("idempotency-key", key.key);
    handle<running_action> action(new running_action);
    action->control = m_control;
    action->asked = asked;
    action->inner = exchange::withOwnAnswer(std::move(head), *asked);
    action->key = key;
    // A caller that gives up does not stop the action: its repeat shall find the answer.
    auto inner = action->inner;
    m_forwarder->forward(inner, { key.service, false, valueOf(*asked, requestIdHeader) });
    action->start();
}

} // namespace pomelohub
