#include "wire/envelope_codec.h"

#include "fuzz/byte_mutator.h"
#include "wire/wire_error.h"

#include <criterion/criterion.h>

#include <sys/resource.h>

#include <string>
#include <vector>

using namespace appleramp;

namespace {

constexpr int mutantsPerSeed = 4000;
constexpr rlim_t maxAddressSpaceBytes = 512UL * 1024 * 1024;

start_attempt someStart()
{
    start_attempt start;
    start.attempt = { 7, 3 };
    start.request.service = service_id("orders");
    start.request.team = team_id("kitchen");
    start.request.key = idempotency_key("k1");
    start.request.method = "POST";
    start.request.headers = { { "Content-Type", "application/json" } };
    start.request.prefixHashes = { 1, 2, 3 };
    start.request.body = std::string("\xff\x00\x01", 3);
    return start;
}

std::vector<std::string> corpus()
{
    endpoint_description endpoint { endpoint_id("e1"), endpoint_kind::ModelEngine, { service_id("drafts") }, {} };
    configuration_news news;
    news.changes = { { 4, "c1", take_zone_out { availability_zone_id("zone-a") } } };
    news.document = fleet_configuration();
    return {
        encodeEnvelope({ 7, 42, someStart() }),
        encodeEnvelope({ 7, 42, hello { instance_id("i1"), process_role::Agent, availability_zone_id("z"), endpoint } }),
        encodeEnvelope({ 7, 42, news }),
        encodeEnvelope({ 7, 42, response_body { { 7, 3 }, 1, "data" } }),
        encodeEnvelope({ 7, 42, heartbeat { 5 } }),
    };
}

// CBOR item heads whose lengths exceed the message, and heads of indefinite length.
const std::vector<std::string> fragments = { "\x9b\x7f\xff\xff\xff\xff\xff\xff\xff", "\x7a\xff\xff\xff\xff", "\x9f", "\x7f" };

// Returns whether the bytes decode. Any exception but wire_error propagates and fails the test.
bool decodes(const std::string& bytes)
{
    try {
        decodeEnvelope(bytes);
        return true;
    } catch (const wire_error&) {
        return false;
    }
}

void limitMemory()
{
    const rlimit limit { maxAddressSpaceBytes, maxAddressSpaceBytes };
    cr_assert_eq(setrlimit(RLIMIT_AS, &limit), 0);
}

} // namespace

Test(envelope_fuzz, mutated_messages_decode_or_give_a_typed_error)
{
    limitMemory();
    int refused = 0;
    for (const std::uint64_t seed : { 1, 2, 3, 20261203 }) {
        byte_mutator mutator(seed, fragments);
        const auto messages = corpus();
        for (int i = 0; i < mutantsPerSeed; ++i)
            refused += decodes(mutator.mutate(messages[mutator.below(messages.size())])) ? 0 : 1;
    }
    cr_assert_gt(refused, mutantsPerSeed, "the mutations must reach the decoder's checks");
}

Test(envelope_fuzz, random_bytes_give_a_typed_error)
{
    limitMemory();
    byte_mutator mutator(4, fragments);
    for (int i = 0; i < mutantsPerSeed; ++i)
        cr_assert(!decodes(mutator.randomBytes(256)));
}

Test(envelope_fuzz, deep_nesting_is_refused_without_deep_recursion)
{
    limitMemory();
    constexpr std::size_t depth = 8UL * 1024 * 1024;
    cr_assert(!decodes(std::string(depth, '\x81')));
    cr_assert(!decodes(std::string(depth, '\x9f')));
    cr_assert(!decodes(std::string(depth, '\x7f')));
    cr_assert(!decodes(std::string(depth, '\x5f')));
    cr_assert(!decodes(std::string(depth, '\xc1')));
    std::string maps;
    for (std::size_t i = 0; i < depth / 2; ++i)
        maps.append("\xa1\x60");
    cr_assert(!decodes(maps));
}

Test(envelope_fuzz, lengths_beyond_the_message_reserve_no_memory)
{
    limitMemory();
    for (const char type : { '\x5b', '\x7b', '\x9b', '\xbb' })
        cr_assert(!decodes(std::string(1, type) + "\x7f\xff\xff\xff\xff\xff\xff\xff"));
    for (const char type : { '\x5a', '\x7a', '\x9a', '\xba' })
        cr_assert(!decodes(std::string(1, type) + "\xff\xff\xff\xff"));
}
