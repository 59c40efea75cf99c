#pragma once

#include "model/identifiers.h"

#include <cstdint>
#include <string>
#include <string_view>

namespace appleramp {

// Value of a group's lease row in the table service. The fencing number increases with each takeover and stays the same
// when the lease is renewed.
struct lease_record {
    fencing_number fencing = 0;
    std::string holder;
    // Changes with every write, so that a writer recognises its own write after a lost reply.
    std::uint64_t renewal = 0;
};

std::string leaseKey(const group_id& group);
std::string encodeLease(const lease_record& record);
// Throws maps_error if the value is malformed.
lease_record decodeLease(std::string_view value);

} // namespace appleramp
