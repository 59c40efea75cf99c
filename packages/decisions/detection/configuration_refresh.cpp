#include "decisions/detection/configuration_refresh.h"

namespace appleramp {

namespace {

constexpr duration inquiryInterval = std::chrono::milliseconds(200);
constexpr duration maxRefreshDuration = std::chrono::seconds(5);

} // namespace

void configuration_refresh::recordEvent(instant now)
{
    if (m_pauseDetector.recordEvent(now)) {
        m_pending = true;
        m_firstInquiryAfterPause = m_lastInquiry + 1;
        m_nextInquiryAt = now;
        m_refreshDeadline = now + maxRefreshDuration;
    }
    if (m_pending && now >= m_refreshDeadline)
        m_pending = false;
}

std::uint64_t configuration_refresh::takeDueInquiry(instant now)
{
    if (!m_pending || now < m_nextInquiryAt)
        return 0;
    m_nextInquiryAt = now + inquiryInterval;
    return ++m_lastInquiry;
}

void configuration_refresh::recordAnswer(std::uint64_t inquiry)
{
    if (m_pending && inquiry >= m_firstInquiryAfterPause)
        m_pending = false;
}

} // namespace appleramp
