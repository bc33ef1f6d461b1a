/// \file
/// Reports of the router that were not sent yet, as one report.

#pragma once

#include "core/routing/events.h"

namespace auburnspread::entry
{

/// Takes a newer report in: states replace the older ones, counts since the last report add up.
///
/// Failure: a report is skipped to save traffic, and with it what its workspaces used. Symptom: a workspace gets more
/// than its limit over all entries. Adding the counts up keeps every use until it is sent.
auto addReport(routing::PeerReported &pending, const routing::PeerReported &newer) -> void;

} // namespace auburnspread::entry
