#include "platform/configuration_decoder.h"
#include "platform/engine_codec.h"
#include "platform/registry_decoder.h"
#include "samples.h"

#include <criterion/criterion.h>

#include <random>

using namespace appleramp;
using namespace appleramp::users_platform;

namespace {

constexpr std::uint64_t seed = 20261204;
constexpr int rounds = 8000;

std::string corrupted(std::string text, std::mt19937_64& random)
{
    static const std::string alphabet = "{}[]\",:0189-.eE\\ntfu \x01\xff";
    for (std::size_t change = 0; change <= random() % 6; ++change) {
        const std::size_t at = random() % text.size();
        switch (random() % 3) {
        case 0:
            text[at] = alphabet[random() % alphabet.size()];
            break;
        case 1:
            text.erase(at, random() % 20);
            break;
        default:
            text.insert(at, 1, alphabet[random() % alphabet.size()]);
            break;
        }
        if (text.empty())
            text = "{";
    }
    return text;
}

} // namespace

Test(decoders_fuzz, spoiled_documents_are_read_or_refused)
{
    std::mt19937_64 random(seed);
    for (int round = 0; round < rounds; ++round) {
        decodeConfigurationRow({ "config", corrupted(samples::configuration, random), 1, false });
        const auto row = decodeRegistryRow({ "i", corrupted(samples::registryRow, random), 1, false });
        if (const auto* const record = std::get_if<endpoint_record>(&row))
            cr_assert(!record->service.empty() && !record->address.empty());
        decodeReport(corrupted(samples::report, random));
        decodeExpertLists(corrupted(samples::lists, random));
        decodeExpertCounts(corrupted(R"({"step":812,"epoch":1,"counts":[5120,88,940]})", random));
    }
}
