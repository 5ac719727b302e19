#include "one_shot_timer.h"

namespace pomelohub {

one_shot_timer::one_shot_timer(const asio::any_io_executor& executor)
    : m_timer(executor)
    , m_state(new wait_state)
{
}

one_shot_timer::one_shot_timer(asio::io_context& context)
    : one_shot_timer(context.get_executor())
{
}

one_shot_timer::~one_shot_timer() { ++m_state->current; }

void one_shot_timer::startAfter(duration time, callback onExpired)
{
    m_timer.expires_after(time);
    wait(std::move(onExpired));
}

void one_shot_timer::startAt(instant end, callback onExpired)
{
    m_timer.expires_at(end);
    wait(std::move(onExpired));
}

void one_shot_timer::cancel()
{
    ++m_state->current;
    m_timer.cancel();
}

void one_shot_timer::wait(callback onExpired)
{
    auto number = ++m_state->current;
    m_timer.async_wait([state = m_state, number, onExpired = std::move(onExpired)](std::error_code error) {
        if (!error && state->current == number)
            onExpired();
    });
}

} // namespace pomelohub
