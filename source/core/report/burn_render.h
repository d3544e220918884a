#ifndef CORE_REPORT_BURN_RENDER_H_
#define CORE_REPORT_BURN_RENDER_H_

#include <string>
#include <string_view>
#include <vector>

#include "core/report/burn_rate_tracker.h"

namespace jujuberock::report {

// Service level objective: the share of requests to be answered in time.
inline constexpr double kDefaultObjective = 0.95;

// {"objective": 0.95, "rows": [{"team", "service", "band", "short": {...},
// "long": {...}}]}; each window holds a count for each result and the burn
// rate as "burn".
std::string RenderJson(const std::vector<BurnRow>& rows, double objective);

// Parses the output of RenderJson. Throws common::Error kProtocolError if it is
// malformed.
std::vector<BurnRow> ParseJson(std::string_view text);

// Formats a table for terminals, sorted by descending burn rate of the short
// window.
std::string RenderText(std::vector<BurnRow> rows, double objective);

}  // namespace jujuberock::report

#endif  // CORE_REPORT_BURN_RENDER_H_
