#ifndef CORE_REPORT_BURN_RENDER_H_
#define CORE_REPORT_BURN_RENDER_H_

#include <string>
#include <string_view>
#include <vector>

#include "core/report/burn.h"

namespace jujuberock::report {

// Share of requests that the service level asks to be answered in time.
inline constexpr double kDefaultObjective = 0.95;

// {"objective": 0.95, "rows": [{"team", "service", "band", "short": {...},
// "long": {...}}]}; each window holds a count for every verdict and "burn".
std::string RenderJson(const std::vector<BurnRow>& rows, double objective);

// Reads what RenderJson wrote. Throws common::Error kProtocolError.
std::vector<BurnRow> ParseJson(std::string_view text);

// A table for terminals, the highest burn of the short window first.
std::string RenderText(std::vector<BurnRow> rows, double objective);

}  // namespace jujuberock::report

#endif  // CORE_REPORT_BURN_RENDER_H_
