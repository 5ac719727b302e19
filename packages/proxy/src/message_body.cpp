#include "message_body.h"

namespace pomelohub {

message_body::message_body(memory_charge charge)
    : m_content(new content)
{
    m_content->charge = std::move(charge);
}

message_body::message_body(std::string bytes)
{
    if (bytes.empty())
        return;
    m_content = handle<content>(new content);
    m_content->bytes = std::move(bytes);
}

void message_body::append(std::string_view bytes)
{
    if (!m_content || m_content->use_count() > 1) {
        handle<content> unshared(new content);
        unshared->bytes = view();
        m_content = unshared;
    }
    m_content->bytes.append(bytes);
    m_content->charge.resize(m_content->bytes.size());
}

std::string message_body::take()
{
    std::string bytes;
    if (m_content && m_content->use_count() == 1)
        bytes = std::move(m_content->bytes);
    else
        bytes = view();
    m_content = nullptr;
    return bytes;
}

} // namespace pomelohub
