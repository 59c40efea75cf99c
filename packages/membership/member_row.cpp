#include "membership/member_row.h"

#include <nlohmann/json.hpp>

namespace appleramp {

std::string encodeMember(const member_row& row)
{
    return nlohmann::json { { "entry", row.isEntry }, { "zone", row.zone.str() }, { "news", row.datagramAddress }, { "engine", row.engineAddress }, { "reader", row.readerAddress } }.dump();
}

std::optional<member_row> decodeMember(std::string_view text)
{
    const auto document = nlohmann::json::parse(text, nullptr, false);
    try {
        return member_row { document.at("entry").get<bool>(), availability_zone_id(document.at("zone").get<std::string>()),
            document.at("news").get<std::string>(), document.value("engine", std::string()), document.value("reader", std::string()) };
    } catch (const nlohmann::json::exception&) {
        // Written by another version of the program.
        return std::nullopt;
    }
}

} // namespace appleramp
