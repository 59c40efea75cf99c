#include "decisions/pace/entry_shares.h"

#include "decisions/membership/rendezvous.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace appleramp {

namespace {

std::size_t scaledDown(double fraction, std::size_t size)
{
    return std::min(static_cast<std::size_t>(fraction * static_cast<double>(size)), size - 1);
}

// The remainder goes to the entries around the place where it begins, so that those with a share of few requests have one of more.
std::uint32_t shareOf(std::size_t rank, std::size_t requests, std::size_t size, double ringStart)
{
    const std::size_t remainder = requests % size;
    const std::size_t place = (rank + scaledDown(ringStart, size) + remainder / 2) % size;
    return static_cast<std::uint32_t>(requests / size + (place < remainder ? 1 : 0));
}

} // namespace

void entry_shares::setEntries(std::string_view self, std::span<const std::string> names)
{
    m_names.clear();
    if (names.empty())
        return;
    std::vector<std::pair<std::uint64_t, std::string>> ring;
    for (const std::string& name : names)
        ring.emplace_back(rendezvousScore({}, name), name);
    if (std::find(names.begin(), names.end(), self) == names.end())
        ring.emplace_back(rendezvousScore({}, self), self);
    std::sort(ring.begin(), ring.end());
    for (auto& [score, name] : ring) {
        if (name == self)
            m_rank = m_names.size();
        m_names.push_back(std::move(name));
    }
}

double entry_shares::ringPosition(std::string_view name) { return static_cast<double>(rendezvousScore({}, name) >> 11U) * 0x1p-53; }

double entry_shares::ringDistance(std::string_view entry, std::string_view address)
{
    const double position = ringPosition(entry) + ringPosition(address);
    const double fraction = position - std::floor(position);
    return std::min(fraction, 1 - fraction);
}

std::size_t entry_shares::ringSize(std::size_t entryCount) const { return std::max({ entryCount, m_names.size(), std::size_t { 1 } }); }

std::uint32_t entry_shares::share(std::uint32_t requests, std::size_t entryCount, double ringStart) const
{
    const std::size_t size = ringSize(entryCount);
    const std::size_t rank = m_names.empty() ? scaledDown(m_position + 0.5 / static_cast<double>(size), size) : m_rank;
    return shareOf(rank, requests, size, ringStart);
}

std::optional<std::string> entry_shares::otherOwner(std::uint32_t requests, std::size_t entryCount, double ringStart, double randomFraction) const
{
    const std::size_t size = ringSize(entryCount);
    // Entries that are counted, but not listed, can't be asked.
    std::vector<std::size_t> owners;
    for (std::size_t rank = 0; rank < m_names.size(); ++rank) {
        if (rank != m_rank && shareOf(rank, requests, size, ringStart) > 0)
            owners.push_back(rank);
    }
    return owners.empty() ? std::nullopt : std::optional(m_names[owners[scaledDown(randomFraction, owners.size())]]);
}

} // namespace appleramp
