#include "decisions/keys/key_scope.h"

namespace appleramp {

namespace {

// The length prefix distinguishes "a" + "b/c" from "a/b" + "c".
std::string lengthPrefixed(const std::string& part) { return std::to_string(part.size()) + ':' + part; }

bool isUnambiguous(std::string_view path)
{
    constexpr auto npos = std::string_view::npos;
    return path.find('%') == npos && path.find("..") == npos && path.find("//") == npos && path.find('\\') == npos;
}

} // namespace

idempotency_key scopedKey(const service_request& request)
{
    return idempotency_key(lengthPrefixed(request.team.str()) + lengthPrefixed(request.service.str()) + '/'
        + request.key->str());
}

bool isRepeatablePath(std::string_view path, std::string_view route)
{
    const auto pathOnly = path.substr(0, path.find('?'));
    if (!isUnambiguous(pathOnly) || !pathOnly.starts_with(route))
        return false;
    return pathOnly.size() == route.size() || route.ends_with('/') || pathOnly[route.size()] == '/';
}

} // namespace appleramp
