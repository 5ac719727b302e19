/** \file
 * A pipe that nobody reads and that has no room left.
 */
#pragma once

#include <doctest/doctest.h>

#include <array>
#include <cerrno>

#include <fcntl.h>
#include <unistd.h>

namespace pomelohub {

class full_pipe {
public:
    full_pipe()
    {
        REQUIRE(pipe2(m_ends.data(), O_CLOEXEC) == 0);
        fcntl(writer(), F_SETFL, O_NONBLOCK);
        while (write(writer(), "x", 1) == 1) { }
        REQUIRE(errno == EAGAIN);
        fcntl(writer(), F_SETFL, 0);
    }
    ~full_pipe()
    {
        close(m_ends[0]);
        close(m_ends[1]);
    }
    full_pipe(const full_pipe&) = delete;
    full_pipe& operator=(const full_pipe&) = delete;

    int reader() const { return m_ends[0]; }
    int writer() const { return m_ends[1]; }

private:
    std::array<int, 2> m_ends {};
};

} // namespace pomelohub
