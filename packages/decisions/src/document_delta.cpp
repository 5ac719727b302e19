#include "document_delta.h"

#include "hashing.h"

#include <array>
#include <numeric>
#include <unordered_map>

namespace pomelohub {

namespace {

    constexpr std::size_t minChunkBytes = 48;
    constexpr std::size_t maxChunkBytes = 4096;
    /** A chunk also ends where these bits of the rolling hash are 0: each 1,024 bytes on average. */
    constexpr std::uint64_t boundaryMask = std::uint64_t { 1023 } << 40;

    /** One pseudorandom number for each value of a byte (splitmix64). */
    constexpr std::array<std::uint64_t, 256> makeByteHashes()
    {
        std::array<std::uint64_t, 256> hashes {};
        std::uint64_t state = 0;
        for (auto& each : hashes) {
            state += 0x9e3779b97f4a7c15;
            auto mixed = state;
            mixed = (mixed ^ (mixed >> 30)) * 0xbf58476d1ce4e5b9;
            mixed = (mixed ^ (mixed >> 27)) * 0x94d049bb133111eb;
            each = mixed ^ (mixed >> 31);
        }
        return hashes;
    }

    constexpr auto byteHashes = makeByteHashes();

    /** Whether records of the usual text formats end with \p byte. Entries of a sorted list are inserted
     * between others, so a chunk should not hold parts of two records. */
    constexpr bool isRecordEnd(char byte) { return byte == '}' || byte == '\n'; }

    /** Length of the first chunk of \p text: up to the end of a record, or by a gear hash, in which the shift
     * lets bytes far behind drop out. */
    std::size_t firstChunkLength(std::string_view text)
    {
        auto limit = std::min(text.size(), maxChunkBytes);
        std::uint64_t hash = 0;
        for (std::size_t i = 0; i < limit; ++i) {
            hash = (hash << 1) + byteHashes[static_cast<std::uint8_t>(text[i])];
            bool isBoundary = isRecordEnd(text[i]) || (hash & boundaryMask) == 0;
            if (i + 1 >= minChunkBytes && isBoundary)
                return i + 1;
        }
        return limit;
    }

} // namespace

document_index makeDocumentIndex(std::string_view document)
{
    document_index index;
    index.fingerprint = stableHash(document);
    while (!document.empty()) {
        auto length = firstChunkLength(document);
        index.chunks.push_back(
            { stableHash(document.substr(0, length)), static_cast<std::uint32_t>(length) });
        document.remove_prefix(length);
    }
    return index;
}

std::size_t document_delta::textBytes() const
{
    return std::accumulate(parts.begin(), parts.end(), std::size_t { 0 },
        [](std::size_t sum, const part& each) { return sum + each.text.size(); });
}

document_delta makeDocumentDelta(
    const document_index& base, const document_index& targetIndex, std::string_view target)
{
    std::unordered_map<std::uint64_t, std::uint64_t> baseOffsets;
    std::uint64_t baseOffset = 0;
    for (const auto& chunk : base.chunks) {
        baseOffsets.emplace(chunk.hash, baseOffset);
        baseOffset += chunk.length;
    }
    document_delta delta { base.fingerprint, targetIndex.fingerprint, {} };
    for (const auto& chunk : targetIndex.chunks) {
        auto text = target.substr(0, chunk.length);
        target.remove_prefix(chunk.length);
        auto found = baseOffsets.find(chunk.hash);
        auto* last = delta.parts.empty() ? nullptr : &delta.parts.back();
        if (found == baseOffsets.end()) {
            if (!last)
                last = &delta.parts.emplace_back();
            last->text.append(text);
        } else if (last && last->text.empty() && last->offset + last->length == found->second) {
            last->length += chunk.length;
        } else {
            delta.parts.push_back({ found->second, chunk.length, {} });
        }
    }
    return delta;
}

std::optional<std::string> applyDocumentDelta(std::string_view base, const document_delta& delta)
{
    if (stableHash(base) != delta.base)
        return std::nullopt;
    std::string result;
    result.reserve(base.size() + delta.textBytes());
    for (const auto& part : delta.parts) {
        if (part.offset > base.size() || part.length > base.size() - part.offset)
            return std::nullopt;
        result.append(base.substr(part.offset, part.length)).append(part.text);
    }
    if (stableHash(result) != delta.target)
        return std::nullopt;
    return result;
}

} // namespace pomelohub
