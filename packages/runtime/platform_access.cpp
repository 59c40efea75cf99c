#include "runtime/platform_access.h"

#include "platform/platform_error.h"
#include "runtime/runtime_error.h"
#include "settings/process_settings.h"

#include <Poco/Exception.h>
#include <Poco/URI.h>

namespace appleramp {

platform_client_options platformOptions(const platform_section& settings)
{
    try {
        const Poco::URI uri(settings.tableUrl);
        platform_client_options options;
        options.address = uri.getHost() + ":" + std::to_string(uri.getPort());
        return options;
    } catch (const Poco::Exception& cause) {
        throw runtime_error("platform table_url: " + cause.displayText());
    }
}

void announce(const platform_client_options& options, const listed_instance& self)
{
    try {
        platform_client(options).registerInstance(self);
    } catch (const platform_error&) {
        return;
    }
}

void withdraw(const platform_client_options& options, const instance_id& self)
{
    try {
        platform_client(options).deregisterInstance(self);
    } catch (const platform_error&) {
        return;
    }
}

} // namespace appleramp
