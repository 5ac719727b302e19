/** \file
 * Garbage, oversized and truncated input on each listener, wrong credentials, corrupt records: an error or a
 * closed connection, a counter, and nothing else is disturbed.
 */
#include "process_fleet.h"

#include <doctest/doctest.h>

#include <asio.hpp>
#include <asio/ssl.hpp>

using namespace pomelohub::testing;

static void sendRaw(int port, const std::string& bytes)
{
    asio::io_context io;
    asio::ip::tcp::socket socket(io);
    asio::error_code error;
    socket.connect({ asio::ip::make_address("127.0.0.1"), static_cast<std::uint16_t>(port) }, error);
    asio::write(socket, asio::buffer(bytes), error);
    socket.shutdown(asio::ip::tcp::socket::shutdown_send, error);
    std::array<char, 4096> answer;
    while (!error)
        socket.read_some(asio::buffer(answer), error);
}

static std::string metricsOf(const fleet_node& node)
{
    auto answer = httplib::Client("http://127.0.0.1:" + std::to_string(node.admin)).Get("/metrics");
    return answer ? answer->body : "";
}

TEST_CASE("bad input on every listener disturbs nobody and is counted")
{
    process_fleet fleet({ .nodes = 2 });
    REQUIRE(fleet.waitUntilReady(2));
    REQUIRE(fleet.applyResources(10'000, 10'000));
    auto& node = fleet.node(0);
    httplib::Client kept("http://127.0.0.1:" + std::to_string(node.callers));
    kept.set_keep_alive(true);
    REQUIRE(kept.Get("/x", headersFor("test-key"))->status == 200);
    std::string garbage;
    for (int i = 0; i < 5000; ++i)
        garbage.push_back(static_cast<char>(i * 7 + i / 13));
    for (int port : { node.callers, node.peers, node.admin }) {
        sendRaw(port, garbage);
        sendRaw(port, "GET / HT");
        sendRaw(port, "POST /act HTTP/1.1\r\nHost: example.test\r\nContent-Length: 50\r\n\r\nshort");
        sendRaw(port, "GET / HTTP/1.1\r\nX: " + std::string(100'000, 'x') + "\r\n\r\n");
        sendRaw(port, "");
    }
    asio::io_context io;
    asio::ip::udp::socket datagrams(io, asio::ip::udp::v4());
    datagrams.send_to(asio::buffer(garbage, 1200),
        { asio::ip::make_address("127.0.0.1"), static_cast<std::uint16_t>(node.peers) });
    httplib::Client log("http://127.0.0.1:" + std::to_string(fleet.logPort()));
    log.Post("/v1/streams/configuration/records", "not a record", "application/json");
    log.Post("/v1/streams/fleet/records", "{\"change\":\"what\"}", "application/json");
    httplib::Client admin("http://127.0.0.1:" + std::to_string(node.admin));
    CHECK(admin.Put("/v1/backends/b", "{\"slots\": 0}", "application/json")->status == 400);
    CHECK(admin.Get("/v1/changes?after=x")->status == 400);
    CHECK(admin.Get("/v1/resources/planet")->status == 404);
    REQUIRE(eventually([&] {
        auto metrics = metricsOf(node);
        return metrics.find("bad_input_total{listener=\"datagrams\"}") != std::string::npos
            && metrics.find("bad_input_total{listener=\"peers\"}") != std::string::npos
            && metrics.find("bad_input_total{listener=\"callers\"}") != std::string::npos
            && metrics.find("bad_input_total{listener=\"admin\"}") != std::string::npos
            && metrics.find("log_records_total{outcome=\"corrupt\"}") != std::string::npos;
    }));
    CHECK(kept.Get("/x", headersFor("test-key"))->status == 200);
    CHECK(fleet.pomelohub({ "get", "organisation", "org" }) == 0);
    CHECK(fleet.waitUntilReady(2));
}

TEST_CASE(
    "a node whose certificate is of another authority gets nothing; certificates are replaced while running")
{
    process_fleet fleet({ .nodes = 2 });
    REQUIRE(fleet.waitUntilReady(2));
    REQUIRE(fleet.applyResources(10'000, 10'000));
    auto directory = fleet.directory().string();
    runProgram({ "/usr/bin/openssl", "req", "-x509", "-newkey", "ec", "-pkeyopt", "ec_paramgen_curve:P-256",
        "-nodes", "-days", "2", "-subj", "/CN=node-0", "-keyout", directory + "/foreign.key", "-out",
        directory + "/foreign.pem" });
    asio::io_context io;
    asio::ssl::context context(asio::ssl::context::tls_client);
    context.use_certificate_chain_file(directory + "/foreign.pem");
    context.use_private_key_file(directory + "/foreign.key", asio::ssl::context::pem);
    asio::ssl::stream<asio::ip::tcp::socket> stream(io, context);
    stream.lowest_layer().connect(
        { asio::ip::make_address("127.0.0.1"), static_cast<std::uint16_t>(fleet.node(1).peers) });
    asio::error_code error;
    stream.handshake(asio::ssl::stream_base::client, error);
    std::array<char, 100> answer;
    while (!error)
        stream.read_some(asio::buffer(answer), error);
    REQUIRE(eventually([&] {
        return metricsOf(fleet.node(1)).find("bad_input_total{listener=\"peers\"}") != std::string::npos;
    }));
    runProgram({ "/usr/bin/openssl", "x509", "-req", "-in", directory + "/node-1.csr", "-CA",
        directory + "/authority.pem", "-CAkey", directory + "/authority.key", "-CAcreateserial", "-days", "3",
        "-out", directory + "/node-1.pem" });
    fleet.node(1).process->signal(SIGHUP);
    for (int i = 0; i < 20; ++i)
        CHECK(fleet.get(fleet.node(0), "/x").status == 200);
}

TEST_CASE("settings are checked in full before a node starts")
{
    auto path = std::filesystem::temp_directory_path() / ("settings-" + std::to_string(freePort()));
    auto check = [&] {
        return runProgram({ std::string(POMELOHUB_BINARIES) + "/pomelohubd", "--check-settings", path });
    };
    CHECK(check() == 2);
    std::ofstream(path) << "{ \"node\": \"a\" }";
    CHECK(check() == 2);
    std::ofstream(path) << R"({ "node": "a", "data_centre": "d", // a comment
        "listen": { "callers": "127.0.0.1:1", "peers": "127.0.0.1:2", "admin": "127.0.0.1:3" },
        "log": "127.0.0.1:4", "tls": { "certificate": "c", "private_key": "k", "authority": "a" },
        "datagram_secrets_file": "s" })";
    CHECK(check() == 0);
    std::filesystem::remove(path);
}
