#pragma once

#include "fake_adapter.h"
#include "platform/configuration_decoder.h"

#include <string>

namespace appleramp::tests {

// Reads the configuration as the users' platform writes it.
class platform_rows : public fake_adapter {
public:
    configuration_row readConfigurationRow(const store_row& row) const override { return users_platform::decodeConfigurationRow(row); }
};

// A configuration with the route that store_world requests, and with further members.
inline std::string documentOf(unsigned version, const std::string& members)
{
    return R"({"version":)" + std::to_string(version)
        + R"(,"routes":[{"name":"read","host":"a.example","prefix":"/read/","kind":"safe","service":"service","timeout_ms":8000}],)"
        + R"("services":[{"name":"service"}],"limits":{})" + members + "}";
}

} // namespace appleramp::tests
