/** \file
 * Stand-in for a network path that fails one way: forwards TCP connections and drops, while told so, what
 * flows in one direction. Lines on standard input set it: "pass", "drop-forward", "drop-back", "drop-both".
 */
#include <CLI/CLI.hpp>
#include <asio.hpp>

#include <atomic>
#include <iostream>
#include <memory>
#include <thread>

namespace {

using asio::ip::tcp;

struct link_state {
    std::atomic<bool> dropForward { false };
    std::atomic<bool> dropBack { false };
};

/** One direction of one connection. */
void pump(std::shared_ptr<tcp::socket> from, std::shared_ptr<tcp::socket> to, const std::atomic<bool>& drops)
{
    std::array<char, 16 * 1024> buffer;
    asio::error_code error;
    for (;;) {
        auto bytes = from->read_some(asio::buffer(buffer), error);
        if (error)
            break;
        if (!drops)
            asio::write(*to, asio::buffer(buffer, bytes), error);
        if (error)
            break;
    }
    to->shutdown(tcp::socket::shutdown_both, error);
    from->shutdown(tcp::socket::shutdown_both, error);
}

void accept(asio::io_context& io, std::uint16_t port, std::uint16_t target, link_state& state)
{
    auto loopback = asio::ip::make_address("127.0.0.1");
    tcp::acceptor acceptor(io, { loopback, port });
    for (;;) {
        auto caller = std::make_shared<tcp::socket>(acceptor.accept());
        auto server = std::make_shared<tcp::socket>(io);
        asio::error_code error;
        server->connect({ loopback, target }, error);
        if (error)
            continue;
        std::thread([=, &state] { pump(caller, server, state.dropForward); }).detach();
        std::thread([=, &state] { pump(server, caller, state.dropBack); }).detach();
    }
}

} // namespace

int main(int argc, char** argv)
{
    CLI::App app { "Stand-in for a network path that fails one way" };
    std::uint16_t port = 0;
    std::uint16_t target = 0;
    app.add_option("--port", port, "Port to listen on")->required();
    app.add_option("--target", target, "Port to forward to")->required();
    CLI11_PARSE(app, argc, argv);
    asio::io_context io;
    link_state state;
    std::thread([&] { accept(io, port, target, state); }).detach();
    for (std::string line; std::getline(std::cin, line);) {
        state.dropForward = line == "drop-forward" || line == "drop-both";
        state.dropBack = line == "drop-back" || line == "drop-both";
        std::cout << line << std::endl;
    }
}
