#include "appleramp/flags.h"

#include <gflags/gflags.h>

DEFINE_string(entry, gflags::StringFromEnv("APPLERAMP_ENTRY", ""),
    "Operations addresses of entries, IP:PORT, separated by commas; the first that can be reached is asked. "
    "Default: the environment's APPLERAMP_ENTRY.");
DEFINE_uint32(timeout_ms, 10000, "Milliseconds to wait for an entry's answer.");
DEFINE_bool(json, false, "Print the result as one JSON document.");
DEFINE_string(change_id, "",
    "Id of the change. Give the id of an earlier try whose outcome is unknown; otherwise one is chosen.");
DEFINE_uint32(team_limit, 0, "Requests in flight that the team may have in the whole fleet.");
DEFINE_string(reason, "", "Why the exception is needed. Required.");
DEFINE_string(expect, "", "File of stated outcomes to compare the replay with.");
