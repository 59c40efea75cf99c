#include "datagrams/limit_codec.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <cmath>

namespace appleramp {

namespace {

using nlohmann::json;

// Stands for an answer without a limit.
constexpr double noLimitCode = -1;
// Records of one datagram that are read.
constexpr std::size_t maxRecordsRead = 64;
// Larger ages, as of a damaged datagram, are cut.
constexpr duration::rep maxAge = std::chrono::duration_cast<duration>(std::chrono::hours(24)).count();

bool isRate(double value) { return std::isfinite(value) && value >= 0; }

duration ageFrom(const json& value, duration::rep least) { return duration(std::clamp(value.get<duration::rep>(), least, maxAge)); }

struct statement_encoder {
    json operator()(const limit_not_stated&) const { return nullptr; }
    json operator()(const unreadable_limit&) const { return nullptr; }
    json operator()(const no_limit&) const { return noLimitCode; }
    json operator()(const request_limit& limit) const { return limit.requestsPerSecond; }
};

} // namespace

json limitStatementToJson(const limit_statement& statement) { return std::visit(statement_encoder {}, statement); }

limit_statement limitStatementFromJson(const json& statement)
{
    if (!statement.is_number())
        return limit_not_stated {};
    const double rate = statement.get<double>();
    if (isRate(rate))
        return request_limit { rate };
    if (rate == noLimitCode)
        return no_limit {};
    return limit_not_stated {};
}

json limitRecordsToJson(std::span<const endpoint_limit_record> records)
{
    json list = json::array();
    for (const endpoint_limit_record& record : records)
        list.push_back({ record.endpoint.str(), record.startedAtMs, record.requestsPerSecond, record.isOver, record.age.count(), record.turnsAge.count() });
    return list;
}

std::vector<endpoint_limit_record> limitRecordsFromJson(const json& records)
{
    std::vector<endpoint_limit_record> result;
    for (const json& record : records) {
        const double rate = record.at(2).get<double>();
        if (result.size() == maxRecordsRead || !isRate(rate))
            continue;
        result.push_back({ endpoint_id(record.at(0).get<std::string>()), record.at(1).get<std::uint64_t>(), rate, record.at(3).get<bool>(),
            ageFrom(record.at(4), 0), ageFrom(record.at(5), -maxAge) });
    }
    return result;
}

json permitQuestionToJson(const permit_question& question)
{
    return json::array({ question.endpoint.str(), question.startedAtMs, question.requestsPerSecond, question.turn, question.request });
}

permit_question permitQuestionFromJson(const json& question)
{
    return { endpoint_id(question.at(0).get<std::string>()), question.at(1).get<std::uint64_t>(), question.at(2).get<double>(),
        question.at(3).get<std::uint64_t>(), question.at(4).get<request_number>() };
}

} // namespace appleramp
