#include "log_client.h"

#include <httplib.h>
#include <nlohmann/json.hpp>

namespace pomelohub {

using nlohmann::json;

namespace {

    tl::unexpected<log_error> fail(log_failure failure, std::string detail)
    {
        return tl::unexpected(log_error { failure, std::move(detail) });
    }

    tl::unexpected<log_error> transportError(httplib::Error error)
    {
        auto failure = error == httplib::Error::Connection ? log_failure::unreachable : log_failure::unknown;
        return fail(failure, httplib::to_string(error));
    }

    httplib::Client makeClient(const std::string& address, std::chrono::milliseconds timeout)
    {
        httplib::Client client("http://" + address);
        client.set_connection_timeout(timeout);
        client.set_read_timeout(timeout);
        client.set_write_timeout(timeout);
        client.set_tcp_nodelay(true);
        return client;
    }

    std::string pathOf(const std::string& stream) { return "/v1/streams/" + stream + "/records"; }

    tl::expected<std::uint64_t, log_error> append(const std::string& address,
        std::chrono::milliseconds timeout, const std::string& stream, const std::string& data)
    {
        auto client = makeClient(address, timeout);
        auto response = client.Post(pathOf(stream), data, "application/json");
        if (!response)
            return transportError(response.error());
        if (response->status != 201)
            return fail(response->status < 500 ? log_failure::refused : log_failure::unknown,
                "the log returned HTTP status " + std::to_string(response->status));
        auto body = json::parse(response->body, nullptr, false);
        if (!body.is_object() || !body.contains("offset") || !body["offset"].is_number_unsigned())
            return fail(log_failure::unknown, "the log returned a malformed response");
        return body["offset"].get<std::uint64_t>();
    }

    tl::expected<log_page, log_error> readPage(const json& body)
    {
        log_page page;
        try {
            page.first = body.at("first");
            page.next = body.at("next");
            for (const auto& record : body.at("records"))
                page.records.push_back({ record.at("offset"), record.at("data") });
        } catch (const json::exception& error) {
            return fail(log_failure::refused, error.what());
        }
        return page;
    }

    tl::expected<log_page, log_error> read(
        const std::string& address, std::chrono::milliseconds timeout, const log_read_request& request)
    {
        auto client = makeClient(address, timeout + request.wait);
        auto response = client.Get(pathOf(request.stream) + "?from=" + std::to_string(request.from)
            + "&limit=" + std::to_string(request.limit) + "&wait_ms=" + std::to_string(request.wait.count()));
        if (!response)
            return transportError(response.error());
        if (response->status != 200)
            return fail(
                log_failure::refused, "the log returned HTTP status " + std::to_string(response->status));
        auto body = json::parse(response->body, nullptr, false);
        return readPage(body);
    }

} // namespace

log_access makeHttpLogAccess(const std::string& address, std::chrono::milliseconds timeout)
{
    return { [=](const std::string& stream, const std::string& data) {
                return append(address, timeout, stream, data);
            },
        [=](const log_read_request& request) { return read(address, timeout, request); } };
}

} // namespace pomelohub
