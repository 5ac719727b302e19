#include "growth_controller.h"

#include <algorithm>
#include <limits>
#include <utility>

namespace pomelohub {

void growing_message::setBytes(memory_account* account, std::size_t bytes)
{
    if (account)
        account->addGrowing(bytes);
    if (m_account)
        m_account->removeGrowing(m_bytes);
    m_account = account;
    m_bytes = bytes;
}

void growing_message::setPaused(bool isPaused)
{
    if (isPaused == std::exchange(m_isPaused, isPaused) || m_bufferBytes == 0 || !m_account)
        return;
    if (isPaused) {
        setBytes(m_account, m_bytes + m_bufferBytes);
        m_bufferCharge = memory_charge(m_account, byte_holder::receiveBuffer);
        m_bufferCharge.resize(m_bufferBytes);
    } else {
        setBytes(m_account, m_bytes - m_bufferBytes);
        m_bufferCharge.resize(0);
    }
}

growth growth_controller::recordGrowth(
    growing_message& message, std::size_t bytes, std::optional<std::size_t> remainingBytes, instant now)
{
    bool isHeldBack = message.m_bufferBytes > 0 && m_account.isExhausted();
    if (bytes <= (isHeldBack ? m_policy.smallestMessageBytes : m_policy.smallMessageBytes)) {
        if (message.is_linked())
            remove(message);
        return growth::proceed;
    }
    if (!message.is_linked())
        m_growing.push_back(message);
    message.setBytes(&m_account, bytes);
    message.m_remainingBytes = remainingBytes;
    message.m_grewAt = now;
    relieve();
    if (!message.is_linked())
        return growth::ended;
    if (!m_account.isPressed())
        return growth::proceed;
    if (!m_account.isExhausted() && selectNext(now) == &message)
        return growth::proceed;
    message.setPaused(true);
    resumePaused(now);
    if (!message.is_linked())
        return growth::ended;
    return message.m_isPaused ? growth::pause : growth::proceed;
}

void growth_controller::finish(growing_message& message, instant now)
{
    if (!message.is_linked())
        return;
    remove(message);
    resumePaused(now);
}

void growth_controller::remove(growing_message& message)
{
    message.setPaused(false);
    message.setBytes(nullptr, 0);
    message.unlink();
}

void growth_controller::recordUnsent(unsent_message& message, std::size_t bytes, bool isStalled)
{
    message.m_bytes = bytes;
    message.m_isStalled = isStalled;
    if (bytes == 0)
        message.unlink();
    else if (!message.is_linked())
        m_unsent.push_back(message);
}

growing_message* growth_controller::selectNext(instant now)
{
    constexpr auto unknown = std::numeric_limits<std::size_t>::max();
    growing_message* selected = nullptr;
    for (auto& each : m_growing) {
        if (!each.m_isPaused && now - each.m_grewAt >= m_policy.stallTime)
            continue;
        if (!selected
            || each.m_remainingBytes.value_or(unknown) < selected->m_remainingBytes.value_or(unknown))
            selected = &each;
    }
    return selected;
}

/** Ends stalled responses, or else the largest growing messages if that helps, until the account is no longer
 * exhausted. */
void growth_controller::relieve()
{
    while (m_account.isExhausted()) {
        auto before = m_account.heldBytes();
        if (!endLargestStalled() && !endLargestGrowing())
            return;
        if (m_account.heldBytes() >= before)
            return;
    }
}

bool growth_controller::endLargestStalled()
{
    unsent_message* largest = nullptr;
    for (auto& each : m_unsent) {
        if (each.m_isStalled && (!largest || each.m_bytes > largest->m_bytes))
            largest = &each;
    }
    if (!largest)
        return false;
    largest->unlink();
    auto end = largest->end;
    end();
    return true;
}

bool growth_controller::endLargestGrowing()
{
    if (m_growing.empty() || !m_account.isMostlyGrowing())
        return false;
    auto& largest = *std::max_element(
        m_growing.begin(), m_growing.end(), [](const growing_message& left, const growing_message& right) {
            return left.m_bytes < right.m_bytes;
        });
    remove(largest);
    auto end = largest.m_hooks.end;
    end();
    return true;
}

bool growth_controller::isSmall(const growing_message& message) const
{
    return message.m_bytes - message.m_bufferCharge.bytes() <= m_policy.smallMessageBytes;
}

growing_message* growth_controller::findPausedSmall()
{
    auto found = std::find_if(m_growing.begin(), m_growing.end(),
        [this](const growing_message& each) { return each.m_isPaused && isSmall(each); });
    return found == m_growing.end() ? nullptr : &*found;
}

growing_message* growth_controller::findPaused()
{
    auto found = std::find_if(
        m_growing.begin(), m_growing.end(), [](const growing_message& each) { return each.m_isPaused; });
    return found == m_growing.end() ? nullptr : &*found;
}

void growth_controller::resumePaused(instant now)
{
    // A hook may change the list, so each round starts anew.
    auto resume = [now](growing_message& message) {
        message.setPaused(false);
        message.m_grewAt = now;
        auto hook = message.m_hooks.resume;
        hook();
    };
    if (hasPaused())
        relieve();
    while (!m_account.isPressed()) {
        auto* paused = findPaused();
        if (!paused)
            return;
        resume(*paused);
    }
    while (!m_account.isExhausted()) {
        auto* small = findPausedSmall();
        if (!small)
            break;
        resume(*small);
    }
    if (m_account.isExhausted())
        return;
    auto* next = selectNext(now);
    if (next && next->m_isPaused)
        resume(*next);
}

} // namespace pomelohub
