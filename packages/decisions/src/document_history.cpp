#include "document_history.h"

#include <algorithm>

namespace pomelohub {

document_history::document_history(std::size_t maxVersions)
    : m_maxVersions(maxVersions)
{
}

void document_history::add(std::string_view document)
{
    m_lastDelta.reset();
    m_versions.push_back(makeDocumentIndex(document));
    if (m_versions.size() > m_maxVersions)
        m_versions.pop_front();
}

const document_delta* document_history::deltaFrom(document_fingerprint base, std::string_view newest)
{
    if (base == fingerprint())
        return nullptr;
    if (m_lastDelta && m_lastDelta->base == base)
        return &*m_lastDelta;
    auto found = std::find_if(m_versions.begin(), m_versions.end(),
        [&](const document_index& each) { return each.fingerprint == base; });
    if (found == m_versions.end())
        return nullptr;
    m_lastDelta = makeDocumentDelta(*found, m_versions.back(), newest);
    return &*m_lastDelta;
}

} // namespace pomelohub
