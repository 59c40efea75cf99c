#include "storefeed/held_questions.h"

namespace appleramp {

void held_questions::onQuestion(instant now, const std::string& from, const freshness_question& question)
{
    std::erase_if(m_questions, [now](const auto& each) { return now - each.second.receivedAt > lifetime; });
    if (m_questions.size() < maxQuestions || m_questions.contains(from))
        m_questions[from] = { from, question.askedAt, now };
}

std::vector<held_questions::held_question> held_questions::recent(instant now) const
{
    std::vector<held_question> result;
    for (const auto& [from, question] : m_questions) {
        if (now - question.receivedAt <= lifetime)
            result.push_back(question);
    }
    return result;
}

} // namespace appleramp
