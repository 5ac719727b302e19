#include "compression.h"

#include <zlib.h>

#include <algorithm>
#include <stdexcept>

namespace pomelohub {

namespace {

    constexpr std::size_t initialOutputBytes = 65'536;

    const Bytef* bytesOf(std::string_view text) { return reinterpret_cast<const Bytef*>(text.data()); }

} // namespace

std::string compress(std::string_view bytes)
{
    std::string result(compressBound(bytes.size()), '\0');
    auto length = static_cast<uLongf>(result.size());
    if (compress2(
            reinterpret_cast<Bytef*>(result.data()), &length, bytesOf(bytes), bytes.size(), Z_BEST_SPEED)
        != Z_OK)
        throw std::bad_alloc(); // The buffer is large enough, so nothing else can fail.
    result.resize(length);
    return result;
}

std::optional<std::string> decompress(std::string_view bytes, std::size_t maxBytes)
{
    z_stream stream {};
    stream.next_in = const_cast<Bytef*>(bytesOf(bytes));
    stream.avail_in = static_cast<uInt>(bytes.size());
    if (inflateInit(&stream) != Z_OK)
        throw std::bad_alloc();
    // One byte more than allowed, so that inflate() can tell the end of the stream from a full buffer.
    auto limit = maxBytes + 1;
    std::string result(std::min(limit, initialOutputBytes), '\0');
    int status = Z_OK;
    while (status == Z_OK) {
        if (stream.total_out == result.size()) {
            if (result.size() >= limit)
                break;
            result.resize(std::min(limit, result.size() * 2));
        }
        stream.next_out = reinterpret_cast<Bytef*>(result.data()) + stream.total_out;
        stream.avail_out = static_cast<uInt>(result.size() - stream.total_out);
        status = inflate(&stream, Z_NO_FLUSH);
    }
    result.resize(stream.total_out);
    inflateEnd(&stream);
    if (status != Z_STREAM_END || result.size() > maxBytes)
        return std::nullopt;
    return result;
}

} // namespace pomelohub
