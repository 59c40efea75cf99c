#pragma once

#include "decisions/forwarding/forwarding_reducer.h"
#include "model/identifiers.h"
#include "settings/process_settings.h"

namespace appleramp {

// The settings of an entry's decisions, from its settings file.
forwarding_settings reducerSettings(const process_settings& settings, incarnation life);

} // namespace appleramp
