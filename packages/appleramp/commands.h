#pragma once

// The functions that run the commands. command_table.cpp maps the commands' words to them. Each throws usage_error or
// command_error.

namespace appleramp {

struct command_call;

void checkConfiguration(const command_call&);
void getConfiguration(const command_call&);
void putConfiguration(const command_call&);
void addException(const command_call&);
void removeException(const command_call&);
void takeZoneOut(const command_call&);
void takeZoneIn(const command_call&);
void takeInstanceOut(const command_call&);
void takeInstanceIn(const command_call&);
void showStatus(const command_call&);
void explainSubject(const command_call&);
void replayRecording(const command_call&);

} // namespace appleramp
