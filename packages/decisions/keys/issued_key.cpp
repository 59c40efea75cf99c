#include "decisions/keys/issued_key.h"

#include <xxhash.h>

#include <charconv>
#include <string>
#include <vector>

namespace appleramp {

namespace {

constexpr std::string_view prefix = "ik1:";
constexpr char separator = ':';
constexpr std::size_t fieldCount = 6;
constexpr int base = 16;

std::string hex(std::uint64_t value)
{
    std::string text(sizeof(value) * 2, '\0');
    const auto end = std::to_chars(text.data(), text.data() + text.size(), value, base).ptr;
    text.resize(static_cast<std::size_t>(end - text.data()));
    return text;
}

std::optional<std::uint64_t> fromHex(std::string_view text)
{
    std::uint64_t value = 0;
    const auto result = std::from_chars(text.data(), text.data() + text.size(), value, base);
    if (result.ec != std::errc() || result.ptr != text.data() + text.size())
        return std::nullopt;
    return value;
}

std::uint64_t checksumOf(std::string_view text, const service_id& service)
{
    const auto seed = XXH64(service.view().data(), service.view().size(), 0);
    return XXH64(text.data(), text.size(), seed);
}

std::vector<std::string_view> split(std::string_view text)
{
    std::vector<std::string_view> parts;
    for (auto end = text.find(separator); end != std::string_view::npos; end = text.find(separator)) {
        parts.push_back(text.substr(0, end));
        text.remove_prefix(end + 1);
    }
    parts.push_back(text);
    return parts;
}

} // namespace

bool hasIssuedKeyPrefix(const idempotency_key& key) { return key.view().starts_with(prefix); }

idempotency_key encodeIssuedKey(const issued_key& key, const service_id& service)
{
    const auto expires = static_cast<std::uint64_t>(key.expires.time_since_epoch().count());
    auto text = std::string(prefix) + key.endpoint.str() + separator + key.agent.str() + separator
        + hex(key.agentLife) + separator + hex(key.number) + separator + hex(expires) + separator;
    text += hex(checksumOf(text, service));
    return idempotency_key(std::move(text));
}

std::optional<issued_key> decodeIssuedKey(const idempotency_key& key, const service_id& service)
{
    if (!hasIssuedKeyPrefix(key))
        return std::nullopt;
    const auto parts = split(key.view().substr(prefix.size()));
    if (parts.size() != fieldCount)
        return std::nullopt;
    const auto life = fromHex(parts[2]);
    const auto number = fromHex(parts[3]);
    const auto expires = fromHex(parts[4]);
    const auto checksum = fromHex(parts[5]);
    if (!life || !number || !expires || !checksum)
        return std::nullopt;
    if (*checksum != checksumOf(key.view().substr(0, key.view().size() - parts[5].size()), service))
        return std::nullopt;
    return issued_key { endpoint_id(std::string(parts[0])), instance_id(std::string(parts[1])), *life, *number,
        instant(duration(static_cast<duration::rep>(*expires))) };
}

} // namespace appleramp
