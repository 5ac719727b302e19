/** \file
 * Crowds of callers that keep to no limit: the process of their node lives, its memory and descriptors stay
 * under their bounds, and an ordinary request is answered while the crowd is still there.
 */
#include "platform_standins.h"

#include <filesystem>
#include <list>

using namespace pomelohub;
using namespace std::chrono_literals;
using nlohmann::json;

namespace {

constexpr std::size_t kilobyte = 1 << 10;
constexpr std::size_t megabyte = 1 << 20;
// Lowered from the smallest instance, 160 MB and 4,100 descriptors, so that a small crowd shows the fault.
constexpr std::size_t memoryMb = 64;
constexpr std::size_t descriptors = 1600;
constexpr std::size_t maxBodyBytes = 2 * megabyte;
constexpr std::size_t manyCallers = 900; ///< More than the connections that the descriptors allow.
constexpr std::size_t fewCallers = 60; ///< With large bodies.
/** Connections and memory in the proportion of the smallest memory and the most descriptors of an instance,
 * 160 MB and 8,192. */
constexpr std::size_t manyDescriptors = 3276;
constexpr std::size_t mostCallers = 1700;

struct small_fleet : proxy_fleet {
    explicit small_fleet(std::size_t maxDescriptors = descriptors)
        : proxy_fleet({ "browse", "bids", "browse" },
            json { { "memory_mb", memoryMb }, { "descriptors", maxDescriptors } })
        , m_maxDescriptors(maxDescriptors)
    {
        auto document = makeConfiguration(1, { "browse", "bids" },
            { { "r1", "/browse/", "browse", true }, { "r2", "/bids/", "bids", false } }, { "k1" });
        document["limits"] = { { "max_header_bytes", 16384 }, { "max_body_bytes", maxBodyBytes },
            { "header_timeout_s", 60 }, { "idle_timeout_s", 60 } };
        configure(document);
        for (std::size_t node = 0; node < size(); ++node)
            REQUIRE(waitFor([&] { return isReady(node) && isServing(node); }));
    }

    bool isServing(std::size_t node)
    {
        auto answer = send(node, "GET", "/browse/x", "q" + std::to_string(++m_lastId), "k1");
        return answer && answer->status == 200;
    }

    void checkAll()
    {
        for (std::size_t node = 0; node < size(); ++node) {
            CHECK(!exitStatus(node));
            CHECK(peakMemory(node) > 0);
            CHECK(peakMemory(node) <= memoryMb * megabyte);
            CHECK(openDescriptors(node) <= m_maxDescriptors);
            CHECK(waitFor([&] { return isServing(node); }));
            CHECK(!exitStatus(node));
        }
        MESSAGE("peak memory ", peakMemory(0) / megabyte, " MB, descriptors ", openDescriptors(0));
    }

    /** Also counts what callers have sent and the process has not read, as the memory of an instance does. */
    void checkWithSockets()
    {
        checkMemory();
        checkAll();
        checkMemory();
    }

private:
    void checkMemory()
    {
        for (std::size_t node = 0; node < size(); ++node) {
            auto unread = unreadBytes(node);
            CHECK(peakMemory(node) + unread <= memoryMb * megabyte);
            if (node == 0)
                MESSAGE(
                    "peak memory ", peakMemory(node) / megabyte, " MB, unread ", unread / megabyte, " MB");
        }
    }

    std::size_t m_maxDescriptors;
    int m_lastId = 0;
};

/** Connections that send what they are given and then stay open. */
struct crowd {
    struct member {
        explicit member(asio::io_context& context)
            : socket(context)
        {
        }
        tcp::socket socket;
        std::string bytes;
    };

    crowd(const tcp::endpoint& node, std::size_t size, const std::string& bytes)
    {
        for (std::size_t i = 0; i < size; ++i) {
            auto& added = members.emplace_back(context);
            added.bytes = bytes;
            std::error_code ignored; // The node may refuse a connection.
            added.socket.connect(node, ignored);
            asio::async_write(
                added.socket, asio::buffer(added.bytes), [this](std::error_code, std::size_t) { ++ended; });
            context.poll();
        }
        // Until all is sent, or the node takes no more.
        for (std::size_t before = members.size(); ended < members.size() && before != ended;) {
            before = ended;
            context.run_for(2s);
        }
    }

    asio::io_context context;
    std::list<member> members;
    std::size_t ended = 0;
};

std::string head(const std::string& fields)
{
    return "POST /bids/x HTTP/1.1\r\nHost: shop.example\r\nRequest-Id: c1\r\nDeadline-Ms: 60000\r\n"
           "Authorization: Bearer k1\r\n"
        + fields + "\r\n";
}

std::string chunks(std::size_t chunkBytes, std::size_t bodyBytes)
{
    std::array<char, 16> size {};
    std::snprintf(size.data(), size.size(), "%zx\r\n", chunkBytes);
    std::string text;
    for (std::size_t sent = 0; sent < bodyBytes; sent += chunkBytes)
        text += size.data() + std::string(chunkBytes, 'x') + "\r\n";
    return text;
}

} // namespace

// Guards against bodies that are each too small to be held back and together exceed the memory, and against a
// crowd that takes all connections.
TEST_CASE("Many small bodies that stop just short of their end")
{
    small_fleet fleet;
    crowd callers(fleet.callersEndpoint(0), manyCallers,
        head("Content-Length: " + std::to_string(32 * kilobyte) + "\r\n") + std::string(31 * kilobyte, 'x'));
    fleet.checkAll();
}

TEST_CASE("Many bodies in very small chunks that stop just short of their end")
{
    small_fleet fleet;
    crowd callers(fleet.callersEndpoint(0), manyCallers,
        head("Transfer-Encoding: chunked\r\n") + chunks(2, 31 * kilobyte));
    fleet.checkAll();
}

TEST_CASE("Many heads without end")
{
    small_fleet fleet;
    auto start = head("X-Long: " + std::string(15 * kilobyte, 'x') + "\r\n");
    start.resize(start.size() - 2); // The empty line that ends a head.
    crowd callers(fleet.callersEndpoint(0), manyCallers, start);
    fleet.checkAll();
}

TEST_CASE("Large bodies of legal size that stop just short of their end")
{
    small_fleet fleet;
    crowd callers(fleet.callersEndpoint(0), fewCallers,
        head("Content-Length: " + std::to_string(maxBodyBytes) + "\r\n")
            + std::string(maxBodyBytes - kilobyte, 'x'));
    fleet.checkAll();
}

TEST_CASE("Large bodies in large chunks that stop just short of their end")
{
    small_fleet fleet;
    crowd callers(fleet.callersEndpoint(0), fewCallers,
        head("Transfer-Encoding: chunked\r\n") + chunks(64 * kilobyte, maxBodyBytes - 64 * kilobyte));
    fleet.checkAll();
}

TEST_CASE("Bodies far over the limit, announced or just sent")
{
    small_fleet fleet;
    crowd announced(fleet.callersEndpoint(0), fewCallers,
        head("Content-Length: 4294967296\r\n") + std::string(megabyte, 'x'));
    crowd sent(fleet.callersEndpoint(0), fewCallers,
        head("Transfer-Encoding: chunked\r\n") + chunks(64 * kilobyte, 8 * megabyte));
    fleet.checkAll();
}

// Guards against connections that are each bounded and together exceed the memory.
TEST_CASE("Small bodies that stop just short of their end on as many connections as the descriptors allow")
{
    small_fleet fleet(manyDescriptors);
    crowd callers(fleet.callersEndpoint(0), mostCallers,
        head("Content-Length: " + std::to_string(32 * kilobyte) + "\r\n") + std::string(31 * kilobyte, 'x'));
    fleet.checkWithSockets();
}

TEST_CASE("Small bodies in very small chunks on as many connections as the descriptors allow")
{
    small_fleet fleet(manyDescriptors);
    crowd callers(fleet.callersEndpoint(0), mostCallers,
        head("Transfer-Encoding: chunked\r\n") + chunks(2, 31 * kilobyte));
    fleet.checkWithSockets();
}

TEST_CASE("Heads without end on as many connections as the descriptors allow")
{
    small_fleet fleet(manyDescriptors);
    auto start = head("X-Long: " + std::string(15 * kilobyte, 'x') + "\r\n");
    start.resize(start.size() - 2); // The empty line that ends a head.
    crowd callers(fleet.callersEndpoint(0), mostCallers, start);
    fleet.checkWithSockets();
}

// Guards against bodies that are held back in the receive buffers of their sockets, which count as memory.
TEST_CASE("Large bodies that are held back on as many connections as the descriptors allow")
{
    small_fleet fleet(manyDescriptors);
    crowd callers(fleet.callersEndpoint(0), mostCallers,
        head("Content-Length: " + std::to_string(maxBodyBytes) + "\r\n")
            + std::string(maxBodyBytes / 2, 'x'));
    fleet.checkWithSockets();
}

TEST_CASE("Bodies far over the limit on as many connections as the descriptors allow")
{
    small_fleet fleet(manyDescriptors);
    crowd callers(fleet.callersEndpoint(0), mostCallers,
        head("Content-Length: 4294967296\r\n") + std::string(megabyte / 4, 'x'));
    fleet.checkWithSockets();
}

namespace {

/** A crowd at each node. */
struct crowds_everywhere {
    crowds_everywhere(small_fleet& fleet, std::size_t size, const std::string& bytes)
    {
        for (std::size_t node = 0; node < fleet.size(); ++node)
            crowds.emplace_back(fleet.callersEndpoint(node), size, bytes);
    }

    std::list<crowd> crowds;
};

std::string repeated(const std::string& request, int count)
{
    std::string text;
    for (int i = 0; i < count; ++i)
        text += request;
    return text;
}

} // namespace

// Guards against whole requests that nodes hold for each other and for their servers.
TEST_CASE("Whole small requests, many sent ahead, at all nodes at once")
{
    constexpr int sentAhead = 20;
    small_fleet fleet;
    crowds_everywhere crowds(fleet, 300,
        repeated(head("Content-Length: " + std::to_string(12 * kilobyte) + "\r\n")
                + std::string(12 * kilobyte, 'x'),
            sentAhead));
    fleet.checkWithSockets();
}

TEST_CASE("Whole large bodies at all nodes at once")
{
    small_fleet fleet;
    crowds_everywhere crowds(fleet, fewCallers,
        head("Content-Length: " + std::to_string(maxBodyBytes) + "\r\n") + std::string(maxBodyBytes, 'x'));
    fleet.checkWithSockets();
}

TEST_CASE("Large responses that nobody reads and that were asked for ahead at all nodes at once")
{
    constexpr int sentAhead = 10;
    small_fleet fleet;
    crowds_everywhere crowds(fleet, 100,
        repeated(
            "GET /browse/large HTTP/1.1\r\nHost: shop.example\r\nRequest-Id: c1\r\nDeadline-Ms: 60000\r\n"
            "Authorization: Bearer k1\r\n\r\n",
            sentAhead));
    fleet.checkWithSockets();
}
