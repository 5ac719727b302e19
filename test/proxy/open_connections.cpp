/** \file
 * Which connection is ended when a crowd of callers uses up the connections or the memory of a node.
 */
#include "open_connections.h"

#include <doctest/doctest.h>

#include <vector>

using namespace pomelohub;
using namespace std::chrono_literals;

namespace {

const instant start { 100s };

struct connections_fixture {
    open_connections connections;
    std::vector<int> ended;
    open_connection first, second, third;

    connections_fixture()
    {
        first.end = [this] { ended.push_back(1); };
        second.end = [this] { ended.push_back(2); };
        third.end = [this] { ended.push_back(3); };
    }
};

} // namespace

// Guards against callers that send a part of a request and stay, and so keep all others out.
TEST_CASE("The connection without progress for the longest time ends first, one with a part of a request "
          "before an idle one")
{
    connections_fixture fixture;
    fixture.connections.recordWaiting(fixture.first, connection_wait::nextRequest, start);
    fixture.connections.recordWaiting(fixture.second, connection_wait::restOfRequest, start + 1s);
    fixture.connections.recordWaiting(fixture.third, connection_wait::restOfRequest, start + 2s);
    fixture.connections.recordWaiting(
        fixture.second, connection_wait::restOfRequest, start + 3s); // It has sent more.
    for (int i = 0; i < 3; ++i)
        CHECK(fixture.connections.endForConnection(start + 10s));
    CHECK(fixture.ended == std::vector { 3, 2, 1 });
    CHECK(!fixture.connections.endForConnection(start + 10s));
}

// Guards against a sound caller that loses its connection in the middle of a request or of its response.
TEST_CASE("Connections that make progress or whose requests are served are not ended")
{
    connections_fixture fixture;
    fixture.connections.recordWaiting(fixture.first, connection_wait::restOfRequest, start);
    fixture.connections.recordWaiting(fixture.second, connection_wait::nextRequest, start);
    fixture.connections.recordBusy(fixture.first);
    CHECK(!fixture.connections.endForConnection(start + 999ms));
    CHECK(fixture.connections.endForConnection(start + 1s));
    CHECK(!fixture.connections.endForConnection(start + 10s));
    CHECK(fixture.ended == std::vector { 2 });
}

// Guards against callers that lose their connections because the process itself does not read on.
TEST_CASE("A connection whose request is held back for lack of memory is ended for another connection only")
{
    connections_fixture fixture;
    fixture.connections.recordWaiting(fixture.first, connection_wait::memory, start);
    fixture.connections.recordWaiting(fixture.second, connection_wait::restOfRequest, start + 1s);
    CHECK(fixture.connections.endForMemory(start + 10s));
    CHECK(!fixture.connections.endForMemory(start + 10s));
    CHECK(fixture.connections.endForConnection(start + 10s));
    CHECK(fixture.ended == std::vector { 2, 1 });
}
