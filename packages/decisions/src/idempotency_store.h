/** \file
 * Defines idempotency_store, with which the authority for a slot runs each non-idempotent request with an
 * idempotency key at most once and replays the stored response to retries.
 */
#pragma once

#include "request_error.h"
#include "slot_table.h"

#include <optional>
#include <unordered_map>
#include <variant>
#include <vector>

namespace pomelohub {

/** Identifies an action. The organisation is part of the key so that one organisation never receives the
 * stored response of another. */
struct action_key {
    organisation_id organisation;
    service_id service;
    std::string key; ///< The caller's Idempotency-Key.
    auto operator<=>(const action_key&) const = default;
};

/** Hash that determines the slot of \p key. */
std::uint64_t hashOf(const action_key& key);

/** Timestamp embedded in a version 7 UUID (RFC 9562); std::nullopt if \p key is not a version 7 UUID. */
std::optional<wall_time> issueTimeOf(std::string_view key);

/** A complete response, stored for replay to retries. */
struct stored_response {
    int status = 0;
    std::vector<std::pair<std::string, std::string>> headers;
    std::string body;
};

struct idempotency_policy {
    /** How long after its issue a key is accepted and its response is kept. */
    std::chrono::milliseconds retention = std::chrono::minutes(10);
    /** Maximum difference between any two wall clocks, those of callers included. */
    std::chrono::milliseconds clockSkew = std::chrono::seconds(5);
    std::size_t maxEntries = 200'000;
    std::size_t maxResponseBytes = 16'000'000; ///< Total size of all stored bodies.
    std::size_t maxBodyBytes = 64'000; ///< Size of one stored body.
};

/** Forward the request to a backend server, then report the result with finish(), forget() or
 * markUnknown(). */
struct run_action { };
/** The same request is already running; wait for its result. */
struct await_action { };
/** The request has already run; return its stored response. */
struct replay_response {
    stored_response response;
};

using idempotency_decision = std::variant<run_action, await_action, replay_response>;

/** Stores the actions of the slots that this node holds. Precondition of begin(): the caller has verified
 * that this node is the authority for the slot at the time passed as \c now. Thread safety: one thread at a
 * time. */
class idempotency_store {
public:
    explicit idempotency_store(idempotency_policy policy);

    /** Decides how to handle a request with \p key. \param request digest of the parts of the request that
     * must be the same in a retry. \return an error if the key is invalid, expired or was used for another
     * request, if the store is full, or if no response can be replayed. */
    result<idempotency_decision> begin(const action_key& key, const digest& request, wall_time now);

    /** Records that the action completed with \p response. A body that exceeds the size limits is not stored;
     * retries are then refused. */
    void finish(const action_key& key, stored_response response);

    /** Removes a running action of which no byte reached a backend server, so that its key may run again. */
    void forget(const action_key& key);

    /** Records that the outcome of a running action is unknown. Its key never runs again. */
    void markUnknown(const action_key& key);

    /** Records that this node is the authority for \p slot from \p since on, and drops the entries of the
     * slot. Actions that started earlier are unknown here, so keys issued before \p since plus the clock skew
     * are refused. \param since wall_time::min() for a slot that no node held before. */
    void startSlot(slot_index slot, wall_time since);

    /** Removes actions whose keys have expired by \p now, except running ones. */
    void trim(wall_time now);

    std::size_t size() const { return m_actions.size(); }
    std::size_t responseBytes() const { return m_responseBytes; }

private:
    enum class phase {
        running,
        completed,
        responseDropped,
        unknown,
    };
    struct action {
        slot_index slot = 0;
        digest request {};
        wall_time issued;
        phase state = phase::running;
        stored_response response;
    };

    result<idempotency_decision> beginNewAction(
        const std::string& name, const action_key& key, const digest& request, wall_time now);
    static result<idempotency_decision> handleRetry(const action& storedAction, const digest& request);
    void subtractResponseBytes(const action& storedAction);

    idempotency_policy m_policy;
    wall_time m_latestTime {};
    std::size_t m_responseBytes = 0;
    std::unordered_map<std::string, action> m_actions;
    std::vector<wall_time> m_slotStarts;
};

} // namespace pomelohub
