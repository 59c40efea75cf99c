#pragma once

#include <gflags/gflags_declare.h>

// All flags of the command line. command_table.cpp declares which flags each command accepts.
DECLARE_string(entry);
DECLARE_uint32(timeout_ms);
DECLARE_bool(json);
DECLARE_string(change_id);
DECLARE_uint32(team_limit);
DECLARE_string(reason);
DECLARE_string(expect);
