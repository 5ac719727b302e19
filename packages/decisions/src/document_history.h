/** \file
 * Defines document_history, which keeps the newest version of a document and the indexes of the versions
 * before it, from which deltas for nodes that are behind are made.
 */
#pragma once

#include "document_delta.h"

#include <deque>

namespace pomelohub {

/** Thread safety: one thread at a time. */
class document_history {
public:
    /** \param maxVersions for which deltas can be made; bounds memory. */
    explicit document_history(std::size_t maxVersions);

    /** Makes \p document the newest version. */
    void add(std::string_view document);

    /** Fingerprint of the newest version; 0 when there is none. */
    document_fingerprint fingerprint() const
    {
        return m_versions.empty() ? 0 : m_versions.back().fingerprint;
    }

    /** The delta from the version \p base to the newest one, \p newest. \return null when \p base is not
     * known or is the newest version. The result is valid until the next call of a member that is not const.
     */
    const document_delta* deltaFrom(document_fingerprint base, std::string_view newest);

private:
    std::size_t m_maxVersions;
    std::deque<document_index> m_versions; ///< Oldest first.
    std::optional<document_delta> m_lastDelta; ///< To the newest version. Most nodes ask from the same one.
};

} // namespace pomelohub
