#pragma once

#include "model/messages.h"
#include "model/time.h"

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace appleramp {

// What this process knows of contents that were running when an endpoint crashed. Records only rise, so that news may
// come late, repeated and by any way. Works with the links, which spread what has risen.
class suspect_registry {
public:
    // The level that counts for this content now.
    std::optional<suspicion> levelOf(std::uint64_t contentHash) const;

    // An endpoint crashed while this content ran there.
    void crashed(std::uint64_t contentHash, bool alone, instant now);
    // The content completed while it ran alone.
    void completedAlone(std::uint64_t contentHash, instant now);
    void heard(const suspect_record& record, instant now);

    // Records that have risen since the last call.
    std::vector<suspect_record> takeRisen();
    // Everything, for a new peer.
    std::vector<suspect_record> all() const;
    void forgetOld(instant now);
    std::size_t size() const { return m_records.size(); }

private:
    struct kept_record {
        suspect_record record;
        instant risen;
    };

    std::map<std::uint64_t, kept_record> m_records;
    std::vector<suspect_record> m_risen;
};

} // namespace appleramp
