/** \file
 * Defines document_delta, the difference between two versions of a text document, so that a node that has one
 * version is sent only what differs in another. Documents are divided into chunks at boundaries that depend
 * on their content, so an insertion changes the chunks around it and no others.
 */
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace pomelohub {

/** Hash of a document's bytes, the same on every node. */
using document_fingerprint = std::uint64_t;

/** The chunks of a document, without their text. Thread safety: any thread while it is not changed. */
struct document_index {
    struct chunk {
        std::uint64_t hash = 0;
        std::uint32_t length = 0;
    };

    document_fingerprint fingerprint = 0;
    std::vector<chunk> chunks; ///< In the order of the document; they cover it.
};

/** Divides \p document into chunks. Thread safety: any thread. */
document_index makeDocumentIndex(std::string_view document);

/** Makes a document from another one, the base. Thread safety: any thread while it is not changed. */
struct document_delta {
    /** A range of the base, followed by new text; either may be empty. */
    struct part {
        std::uint64_t offset = 0;
        std::uint64_t length = 0;
        std::string text;
    };

    document_fingerprint base = 0;
    document_fingerprint target = 0;
    std::vector<part> parts;

    /** Number of bytes that the parts carry. */
    std::size_t textBytes() const;
};

/** The difference between the document of \p base and \p target. \param targetIndex must be the index of \p
 * target. Thread safety: any thread. */
document_delta makeDocumentDelta(
    const document_index& base, const document_index& targetIndex, std::string_view target);

/** Applies \p delta to \p base. \return nothing unless \p base is the document that the delta was made for
 * and the result is the target. Thread safety: any thread. */
std::optional<std::string> applyDocumentDelta(std::string_view base, const document_delta& delta);

} // namespace pomelohub
