#include "decisions/detection/news_refresh.h"

namespace appleramp {

namespace {

constexpr duration inquiryInterval = std::chrono::milliseconds(200);
constexpr duration maxRefreshDuration = std::chrono::seconds(5);

} // namespace

void news_refresh::sees(instant now)
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

std::uint64_t news_refresh::inquiryDue(instant now)
{
    if (!m_pending || now < m_nextInquiryAt)
        return 0;
    m_nextInquiryAt = now + inquiryInterval;
    return ++m_lastInquiry;
}

void news_refresh::answered(std::uint64_t inquiry)
{
    if (m_pending && inquiry >= m_firstInquiryAfterPause)
        m_pending = false;
}

} // namespace appleramp
