/// \file
/// Golden files of whole sessions. A line of a session is
///
///     # a comment
///     class|model|workspace|server|service NAME KEY=VALUE...   declares or changes a part of the document
///     remove KIND NAME                                          takes it out again
///     at TIME                                                   sets the time
///     > EVENT                                                   what happens
///     < ACTION                                                  what the router does, right after the event
///
/// Times and durations are written like 550ms or 2s. The document is adopted by the event `configure`.

#pragma once

#include <filesystem>
#include <string>

namespace auburnspread::routing
{

/// Runs the session and returns its text with the actions that the router took in place of those in the file.
/// Throws std::runtime_error, naming file and line, if a line cannot be read.
auto replaySession(const std::filesystem::path &file) -> std::string;

} // namespace auburnspread::routing
