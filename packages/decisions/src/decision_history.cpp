#include "decision_history.h"

namespace pomelohub {

static std::string quoted(const std::string& text)
{
    if (!text.empty() && text.find_first_of(" \"=\\\n") == std::string::npos)
        return text;
    std::string result = "\"";
    for (char c : text) {
        if (c == '"' || c == '\\')
            result.push_back('\\');
        result.push_back(static_cast<unsigned char>(c) < ' ' ? ' ' : c);
    }
    return result + '"';
}

std::string toLogLine(const decision& entry)
{
    return "decision subject=" + quoted(entry.subject) + " stage=" + quoted(entry.stage)
        + " outcome=" + quoted(entry.outcome) + " reason=" + quoted(entry.reason);
}

decision_history::decision_history(std::size_t capacity)
    : m_capacity(capacity)
{
}

void decision_history::add(decision entry)
{
    m_decisions.push_back(std::move(entry));
    if (m_decisions.size() > m_capacity)
        m_decisions.pop_front();
}

std::vector<decision> decision_history::findBySubject(const std::string& subject) const
{
    std::vector<decision> found;
    for (const auto& entry : m_decisions) {
        if (entry.subject == subject)
            found.push_back(entry);
    }
    return found;
}

} // namespace pomelohub
