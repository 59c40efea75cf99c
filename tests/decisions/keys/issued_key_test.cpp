#include "decisions/keys/issued_key.h"
#include "decisions/keys/key_grants.h"

#include <criterion/criterion.h>

using namespace appleramp;
using namespace std::chrono_literals;

namespace {

const service_id orders("orders");
using key_status = key_grants::key_status;

issued_key keyOf(const grant_key_block& block, std::uint64_t number)
{
    return { endpoint_id("ledger"), instance_id("agent-1"), 77, number, block.expires };
}

} // namespace

Test(issued_key, carries_its_fields)
{
    const issued_key key { endpoint_id("ledger"), instance_id("agent-1"), 0xffff0000abcdU, 42, instant(9s) };
    const auto decoded = decodeIssuedKey(encodeIssuedKey(key, orders), orders);
    cr_assert(decoded.has_value());
    cr_assert(decoded->endpoint == key.endpoint && decoded->agent == key.agent);
    cr_assert(decoded->agentLife == key.agentLife && decoded->number == key.number && decoded->expires == key.expires);
}

Test(issued_key, is_refused_for_another_service_or_with_any_letter_changed)
{
    const auto text = encodeIssuedKey({ endpoint_id("e"), instance_id("a"), 7, 42, instant(9s) }, orders);
    cr_assert(!decodeIssuedKey(text, service_id("invoices")));
    for (std::size_t index = 0; index < text.str().size(); ++index) {
        auto changed = text.str();
        changed[index] = changed[index] == '1' ? '2' : '1';
        cr_assert(!decodeIssuedKey(idempotency_key(changed), orders), "letter %zu", index);
    }
}

Test(key_grants, never_grants_a_number_twice)
{
    key_grants grants;
    const auto first = grants.grant(10, instant(0s));
    const auto second = grants.grant(10, instant(1s));
    cr_assert_eq(second.first, first.first + first.count);
}

Test(key_grants, knows_valid_expired_forged_and_forgotten_keys)
{
    key_grants grants;
    const auto block = grants.grant(10, instant(5s));
    const auto key = keyOf(block, 3);
    cr_assert(grants.validate(key, instant(6s), std::nullopt) == key_status::Valid);
    cr_assert(grants.validate(key, block.expires, std::nullopt) == key_status::Expired);
    cr_assert(grants.validate(keyOf(block, 11), instant(6s), std::nullopt) == key_status::Invalid);
    auto prolonged = key;
    prolonged.expires += 1s;
    cr_assert(grants.validate(prolonged, instant(6s), std::nullopt) == key_status::Invalid);
    cr_assert(grants.validate(key, block.expires, instant(5s)) == key_status::Forgotten);
    grants.forgetThrough(instant(5s));
    cr_assert(grants.validate(key, block.expires, std::nullopt) == key_status::Forgotten);
}
