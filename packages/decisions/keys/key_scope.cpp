#include "decisions/keys/key_scope.h"

namespace appleramp {

namespace {

// The length in front keeps "a" + "b/c" apart from "a/b" + "c".
std::string measured(const std::string& part) { return std::to_string(part.size()) + ':' + part; }

bool isPlain(std::string_view path)
{
    constexpr auto npos = std::string_view::npos;
    return path.find('%') == npos && path.find("..") == npos && path.find("//") == npos && path.find('\\') == npos;
}

} // namespace

idempotency_key scopedKey(const service_request& request)
{
    return idempotency_key(measured(request.team.str()) + measured(request.service.str()) + '/'
        + request.key->str());
}

bool isRepeatablePath(std::string_view path, std::string_view route)
{
    const auto plain = path.substr(0, path.find('?'));
    if (!isPlain(plain) || !plain.starts_with(route))
        return false;
    return plain.size() == route.size() || route.ends_with('/') || plain[route.size()] == '/';
}

} // namespace appleramp
