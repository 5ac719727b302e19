/** \file
 * Defines memory_account, the number of bytes that the messages of a process hold, and memory_charge, the
 * part of one holder.
 */
#pragma once

#include <array>
#include <atomic>
#include <cstddef>
#include <functional>
#include <string_view>
#include <utility>
#include <vector>

namespace pomelohub {

/** What holds the bytes. */
enum class byte_holder {
    callerRequest, ///< The body of a request, from its receipt to its end.
    backendResponse, ///< The body of a response of the backend server.
    peerMessage, ///< What other nodes send.
    unsentResponse, ///< What callers have not taken.
    receiveBuffer, ///< What the sockets of requests that are held back may hold.
};
constexpr std::size_t byteHolderCount = 5;

/** Name of \p holder in metrics. */
std::string_view toText(byte_holder holder);

/** Bounds derived from the memory that the process may use. The rest is for the program itself, and for
 * copies that exist while a message is parsed or its buffer grows. */
struct memory_limits {
    std::size_t pauseBytes = 0; ///< Above it, large messages are received one at a time on each thread.
    std::size_t maxBytes = 0; ///< Above it, large messages are not received, and the largest may be ended.
    std::size_t maxConnections = 0; ///< From callers; each has buffers that are not counted.

    static memory_limits forProcess(std::size_t processBytes);
};

/** Thread safety: any thread. */
class memory_account {
public:
    explicit memory_account(memory_limits limits);
    memory_account(const memory_account&) = delete;
    memory_account& operator=(const memory_account&) = delete;

    void add(byte_holder holder, std::size_t bytes);
    void remove(byte_holder holder, std::size_t bytes);

    std::size_t heldBytes() const { return m_total.load(std::memory_order_relaxed); }
    std::size_t heldBytes(byte_holder holder) const;

    /** Whether large messages are to be received one at a time. */
    bool isPressed() const { return heldBytes() >= m_limits.pauseBytes; }

    /** Whether large messages are not to be received at all. */
    bool isExhausted() const { return heldBytes() >= m_limits.maxBytes; }

    /** Counts the bytes of large messages that are not complete, which are a part of those held. */
    void addGrowing(std::size_t bytes) { m_growing.fetch_add(bytes, std::memory_order_relaxed); }
    void removeGrowing(std::size_t bytes) { m_growing.fetch_sub(bytes, std::memory_order_relaxed); }

    /** Whether most of the bytes are those of incomplete messages, so that waiting for the others to end
     * releases little. */
    bool isMostlyGrowing() const;

    /** Adds a hook that is called when the account is no longer pressed or exhausted, on the thread that has
     * released the bytes. Precondition: no other thread uses the account yet. \return its number. */
    std::size_t addReliefHook(std::function<void()> onRelieved);

    /** Removes a hook. Precondition: no other thread uses the account any more. */
    void removeReliefHook(std::size_t number) { m_onRelieved.at(number) = nullptr; }

private:
    memory_limits m_limits;
    std::atomic<std::size_t> m_total { 0 };
    std::atomic<std::size_t> m_growing { 0 };
    std::array<std::atomic<std::size_t>, byteHolderCount> m_byHolder {};
    std::vector<std::function<void()>> m_onRelieved;
};

/** The bytes of one holder, which are removed from the account when it is destroyed. A charge without an
 * account counts nothing. The account must outlive it. Thread safety: one thread at a time. */
class memory_charge {
public:
    memory_charge() = default;
    memory_charge(memory_account* account, byte_holder holder)
        : m_account(account)
        , m_holder(holder)
    {
    }
    ~memory_charge() { resize(0); }
    memory_charge(memory_charge&& other) noexcept
        : m_account(other.m_account)
        , m_holder(other.m_holder)
        , m_bytes(std::exchange(other.m_bytes, 0))
    {
    }
    memory_charge& operator=(memory_charge&& other) noexcept
    {
        resize(0);
        m_account = other.m_account;
        m_holder = other.m_holder;
        m_bytes = std::exchange(other.m_bytes, 0);
        return *this;
    }

    /** Sets the number of bytes held. */
    void resize(std::size_t bytes)
    {
        if (m_account && bytes > m_bytes)
            m_account->add(m_holder, bytes - m_bytes);
        else if (m_account && bytes < m_bytes)
            m_account->remove(m_holder, m_bytes - bytes);
        m_bytes = bytes;
    }
    std::size_t bytes() const { return m_bytes; }

private:
    memory_account* m_account = nullptr;
    byte_holder m_holder = byte_holder::callerRequest;
    std::size_t m_bytes = 0;
};

} // namespace pomelohub
