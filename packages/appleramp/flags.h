#pragma once

#include <gflags/gflags_declare.h>

// Every flag of the command line. Which command takes which is declared in command_table.cpp.
DECLARE_string(entry);
DECLARE_uint32(timeout_ms);
DECLARE_bool(json);
DECLARE_string(change_id);
DECLARE_uint32(team_limit);
DECLARE_string(reason);
DECLARE_string(expect);
