#include "decisions/detection/news_refresh.h"

namespace appleramp {

namespace {

constexpr duration inquiryInterval = std::chrono::milliseconds(200);
constexpr duration longestRefresh = std::chrono::seconds(5);

} // namespace

void news_refresh::sees(instant now)
{
    if (m_detector.sees(now)) {
        m_pending = true;
        m_firstInquiry = m_lastInquiry + 1;
        m_nextInquiry = now;
        m_givesUp = now + longestRefresh;
    }
    if (m_pending && now >= m_givesUp)
        m_pending = false;
}

std::uint64_t news_refresh::inquiryDue(instant now)
{
    if (!m_pending || now < m_nextInquiry)
        return 0;
    m_nextInquiry = now + inquiryInterval;
    return ++m_lastInquiry;
}

void news_refresh::answered(std::uint64_t inquiry)
{
    if (m_pending && inquiry >= m_firstInquiry)
        m_pending = false;
}

} // namespace appleramp
