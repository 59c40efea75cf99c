#include "http/response_head_classification.h"

#include "http/http_message.h"

#include <cstddef>

namespace appleramp {

namespace {

constexpr std::string_view endOfLine = "\r\n";
constexpr unsigned firstStatus = 100;
constexpr unsigned switchingProtocols = 101;
constexpr unsigned firstFinalStatus = 200;
constexpr unsigned lastStatus = 599;
constexpr int firstVersionWithCodings = 11;

bool isBodyCodedOtherwise(const http_response_head& head)
{
    std::size_t codings = 0;
    for (const header_field& field : head.headers.fields()) {
        if (!equalsIgnoringCase(field.name, "Transfer-Encoding"))
            continue;
        ++codings;
        if (!equalsIgnoringCase(field.value, "chunked") || head.version < firstVersionWithCodings)
            return true;
    }
    return codings > 1;
}

} // namespace

response_head_classification classifyResponseHead(const http_response_head& head)
{
    if (head.status < firstStatus || head.status > lastStatus)
        return invalid_head { response_defect::Status };
    if (head.status == switchingProtocols)
        return invalid_head { response_defect::Upgrade };
    if (head.status < firstFinalStatus)
        return interim_head {};
    if (isBodyCodedOtherwise(head))
        return invalid_head { response_defect::TransferCoding };
    return final_head {};
}

bool hasFoldedField(std::string_view text, bool beginsAtLaterLine)
{
    bool isLaterLine = beginsAtLaterLine;
    while (!text.empty() && !text.starts_with(endOfLine)) {
        if (isLaterLine && (text.front() == ' ' || text.front() == '\t'))
            return true;
        const std::size_t end = text.find(endOfLine);
        if (end == std::string_view::npos)
            return false;
        text.remove_prefix(end + endOfLine.size());
        isLaterLine = true;
    }
    return false;
}

} // namespace appleramp
