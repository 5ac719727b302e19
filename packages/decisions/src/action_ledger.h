/** \file
 * Defines action_ledger, the memory by which the authority for a slot runs each keyed non-idempotent request
 * at most once and answers its repeats.
 */
#pragma once

#include "slot_table.h"
#include "verdict.h"

#include <optional>
#include <unordered_map>
#include <variant>
#include <vector>

namespace pomelohub {

/** What tells one action from another. The organisation is part of it: no other one gets the answer. */
struct action_key {
    organisation_id organisation;
    service_id service;
    std::string key; ///< The caller's Idempotency-Key.
    auto operator<=>(const action_key&) const = default;
};

/** Hash that places \p key in a slot. */
std::uint64_t hashOf(const action_key& key);

/** The time within a version 7 UUID (RFC 9562), or nothing when \p key is not one. */
std::optional<wall_time> issueTimeOf(std::string_view key);

/** A whole answer, kept for repeats. */
struct stored_answer {
    int status = 0;
    std::vector<std::pair<std::string, std::string>> headers;
    std::string body;
};

struct ledger_policy {
    /** How long after its issue a key may be used and its answer is kept. */
    std::chrono::milliseconds retention = std::chrono::minutes(10);
    /** Largest difference between any two wall clocks of the fleet and its callers. */
    std::chrono::milliseconds clockSkew = std::chrono::seconds(5);
    std::size_t maxEntries = 200'000;
    std::size_t maxAnswerBytes = 16'000'000; ///< For all kept bodies together.
    std::size_t maxBodyBytes = 64'000; ///< For one kept body.
};

/** The request goes on to a backend server; its end must be reported. */
struct run_action { };
/** The same request is running; its caller waits for it. */
struct await_action { };
/** The request has run, and this is its answer. */
struct replay_answer {
    stored_answer answer;
};

using ledger_decision = std::variant<run_action, await_action, replay_answer>;

/** Owns the actions of the slots that this node holds. Precondition of begin(): the caller checked at the
 * same present time that this node may use the slot. Thread safety: one thread at a time. */
class action_ledger {
public:
    explicit action_ledger(ledger_policy policy);

    /** Decides on a request with \p key. \param request digest of what must be equal in a repeat. */
    result<ledger_decision> begin(const action_key& key, const digest& request, wall_time now);

    /** The action ended with \p answer. */
    void finish(const action_key& key, stored_answer answer);

    /** No backend server got any of the action: its key may run again. */
    void forget(const action_key& key);

    /** The action ended and nobody knows how. Its key never runs again. */
    void markUnknown(const action_key& key);

    /** From \p since on this node is the authority for \p slot and knows nothing of earlier actions.
     * wall_time::min() stands for a slot that nobody held before. */
    void startSlot(slot_index slot, wall_time since);

    /** Drops actions whose keys may no longer be used at \p now. */
    void trim(wall_time now);

    std::size_t size() const { return m_actions.size(); }
    std::size_t answerBytes() const { return m_answerBytes; }

private:
    enum class phase {
        running,
        answered,
        answerDropped,
        unknown,
    };
    struct action {
        slot_index slot = 0;
        digest request {};
        wall_time issued;
        phase state = phase::running;
        stored_answer answer;
    };

    result<ledger_decision> beginNew(
        const std::string& name, const action_key& key, const digest& request, wall_time now);
    static result<ledger_decision> repeat(const action& known, const digest& request);
    void dropAnswer(const action& known);

    ledger_policy m_policy;
    wall_time m_latest {};
    std::size_t m_answerBytes = 0;
    std::unordered_map<std::string, action> m_actions;
    std::vector<wall_time> m_slotStarts;
};

} // namespace pomelohub
