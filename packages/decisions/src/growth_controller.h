/** \file
 * Defines growth_controller, which decides for the messages of one thread which of them may grow while the
 * memory of the process is short.
 */
#pragma once

#include "core_types.h"
#include "memory_account.h"

#include <boost/intrusive/list.hpp>

#include <optional>

namespace pomelohub {

/** What the receiver of a message does next. */
enum class growth {
    proceed,
    pause, ///< Receives no more until its resume hook is called.
    ended, ///< The message was given up by its hook.
};

/** A message that is being received. It leaves its controller when it is destroyed. Thread safety: that of
 * its controller. */
class growing_message
    : public boost::intrusive::list_base_hook<boost::intrusive::link_mode<boost::intrusive::auto_unlink>> {
public:
    struct hooks {
        std::function<void()> resume; ///< Continue to receive.
        /** Give the message up. Called inside a function of the controller, after which the message is not
         * known to it. */
        std::function<void()> end;
    };

    growing_message() = default;
    ~growing_message() { setBytes(nullptr, 0); }
    growing_message(const growing_message&) = delete;
    growing_message& operator=(const growing_message&) = delete;

    void setHooks(hooks hooks) { m_hooks = std::move(hooks); }

    /** Allows the controller to hold back the message at any size but the smallest. Not for a response, since
     * requests that hold memory may wait for it. \param bufferBytes that its socket may hold meanwhile. */
    void allowHoldingBack(std::size_t bufferBytes) { m_bufferBytes = bufferBytes; }
    bool isPaused() const { return m_isPaused; }

private:
    friend class growth_controller;

    void setBytes(memory_account* account, std::size_t bytes);
    void setPaused(bool isPaused);

    hooks m_hooks;
    memory_account* m_account = nullptr; ///< That counts m_bytes as growing.
    std::size_t m_bufferBytes = 0; ///< Zero if only a large message may be held back.
    memory_charge m_bufferCharge; ///< Held while the message is paused.
    std::size_t m_bytes = 0;
    std::optional<std::size_t> m_remainingBytes;
    instant m_grewAt {};
    bool m_isPaused = false;
};

/** A response that its receiver has not taken yet. It leaves its controller when it is destroyed. Thread
 * safety: that of its controller. */
class unsent_message
    : public boost::intrusive::list_base_hook<boost::intrusive::link_mode<boost::intrusive::auto_unlink>> {
public:
    std::function<void()> end; ///< Give the message up; not called again.

private:
    friend class growth_controller;

    std::size_t m_bytes = 0;
    bool m_isStalled = false;
};

struct growth_policy {
    /** Messages up to this size are paused only if they allow it and the account is exhausted. */
    std::size_t smallMessageBytes = 32 << 10;
    /** A message whose sender has sent nothing for this long does not hold up others. */
    duration stallTime = std::chrono::milliseconds(200);
    /** Messages up to this size are never paused or ended. */
    std::size_t smallestMessageBytes = 4 << 10;
};

/** While the account is pressed, large messages grow one at a time: the one with the fewest bytes left, or
 * the oldest one of those whose length is unknown. Small ones are received, so that large ones cannot hold
 * them up, but for those that allow to be held back while the account is exhausted. While the account is
 * exhausted, large messages wait for complete ones to end. The largest stalled response is ended, or else the
 * largest message that grows if growing messages hold most of the bytes. Thread safety: one thread; the
 * account is shared by all. */
class growth_controller {
public:
    growth_controller(memory_account& account, growth_policy policy)
        : m_account(account)
        , m_policy(policy)
    {
    }
    growth_controller(const growth_controller&) = delete;
    growth_controller& operator=(const growth_controller&) = delete;

    memory_account& account() { return m_account; }

    /** Records that \p message has \p bytes, which the account already counts. Other messages may be ended
     * before this returns. \param remainingBytes how many are to come, if known. */
    growth recordGrowth(
        growing_message& message, std::size_t bytes, std::optional<std::size_t> remainingBytes, instant now);

    /** Removes a message that is complete or has failed; it may be used for another one. Others may be
     * resumed before this returns. Does nothing if it is not known. */
    void finish(growing_message& message, instant now);

    /** Records what is left of \p message. \param isStalled whether its receiver has stopped taking it. */
    void recordUnsent(unsent_message& message, std::size_t bytes, bool isStalled);

    /** Resumes paused messages as far as the account allows, after others were ended if it is exhausted.
     * Called when it is no longer pressed, and from time to time while there are paused messages, as others
     * may stall. */
    void resumePaused(instant now);

    bool hasPaused() { return findPaused() != nullptr; }

private:
    bool isSmall(const growing_message& message) const;
    growing_message* findPaused();
    growing_message* findPausedSmall();
    growing_message* selectNext(instant now);
    void relieve();
    bool endLargestStalled();
    bool endLargestGrowing();
    void remove(growing_message& message);

    template <typename T>
    using message_list = boost::intrusive::list<T, boost::intrusive::constant_time_size<false>>;

    memory_account& m_account;
    growth_policy m_policy;
    message_list<growing_message> m_growing; ///< Only large ones, oldest first.
    message_list<unsent_message> m_unsent;
};

} // namespace pomelohub
