/** \file
 * Defines message_body, the bytes of an HTTP body, which the copies of a message share.
 */
#pragma once

#include "memory_account.h"
#include "rcu_cell.h"

#include <string>

namespace pomelohub {

/** A copy refers to the same bytes, and the account counts them once. Bytes are appended to a body that has
 * no copies; otherwise they are copied first. Thread safety: one thread at a time for each body; copies may
 * be used by other threads, as shared bytes do not change. */
class message_body {
public:
    message_body() = default;

    /** An empty body whose bytes \p charge counts. */
    explicit message_body(memory_charge charge);
    message_body(std::string bytes);
    message_body(const char* text)
        : message_body(std::string(text))
    {
    }

    std::string_view view() const
    {
        return m_content ? std::string_view(m_content->bytes) : std::string_view();
    }
    operator std::string_view() const { return view(); }
    std::size_t size() const { return view().size(); }
    bool empty() const { return view().empty(); }

    void append(std::string_view bytes);
    void assign(std::size_t count, char byte) { *this = message_body(std::string(count, byte)); }

    /** Moves the bytes out, or copies them if they are shared. */
    std::string take();

    friend bool operator==(const message_body& body, std::string_view text) { return body.view() == text; }

private:
    struct content : ref_counted<content> {
        std::string bytes;
        memory_charge charge;
    };

    handle<content> m_content;
};

} // namespace pomelohub
