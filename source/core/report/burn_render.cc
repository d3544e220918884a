#include "core/report/burn_render.h"

#include <algorithm>
#include <iomanip>
#include <sstream>

#include <nlohmann/json.hpp>

#include "core/common/error.h"

namespace jujuberock::report {

namespace {

using nlohmann::json;

json CountsToJson(const BurnCounts& counts, double objective) {
  json value;
  for (size_t i = 0; i < kSloResultCount; ++i)
    value[std::string(NameOf(static_cast<SloResult>(i)))] = counts.by_result[i];
  value["burn"] = BurnRate(counts, objective);
  return value;
}

BurnCounts CountsFromJson(const json& value) {
  BurnCounts counts;
  for (size_t i = 0; i < kSloResultCount; ++i)
    counts.by_result[i] =
        value.at(std::string(NameOf(static_cast<SloResult>(i))))
            .get<uint64_t>();
  return counts;
}

void AppendText(std::ostream& out, std::string_view text, int width) {
  out << std::left << std::setw(width) << text << ' ';
}

void AppendNumber(std::ostream& out, double number, int precision) {
  out << std::right << std::setw(10) << std::fixed
      << std::setprecision(precision) << number << ' ';
}

}  // namespace

std::string RenderJson(const std::vector<BurnRow>& rows, double objective) {
  json list = json::array();
  for (const BurnRow& row : rows) {
    list.push_back({{"team", row.key.team},
                    {"service", row.key.service},
                    {"band", row.key.band},
                    {"short", CountsToJson(row.short_window, objective)},
                    {"long", CountsToJson(row.long_window, objective)}});
  }
  return json{{"objective", objective}, {"rows", list}}.dump();
}

std::vector<BurnRow> ParseJson(std::string_view text) {
  std::vector<BurnRow> rows;
  try {
    const json value = json::parse(text);
    for (const json& item : value.at("rows")) {
      BurnRow row;
      row.key = {item.at("team").get<std::string>(),
                 item.at("service").get<std::string>(),
                 item.at("band").get<std::string>()};
      row.short_window = CountsFromJson(item.at("short"));
      row.long_window = CountsFromJson(item.at("long"));
      rows.push_back(std::move(row));
    }
  } catch (const json::exception& error) {
    throw common::Error(common::ResultCode::kProtocolError,
                        std::string("burn report: ") + error.what());
  }
  return rows;
}

std::string RenderText(std::vector<BurnRow> rows, double objective) {
  std::stable_sort(rows.begin(), rows.end(),
                   [objective](const BurnRow& a, const BurnRow& b) {
                     return BurnRate(a.short_window, objective) >
                            BurnRate(b.short_window, objective);
                   });
  std::ostringstream out;
  out << "objective " << objective
      << " in time; burn 1.0 uses the error budget up exactly\n";
  for (const char* name : {"team", "service"})
    AppendText(out, name, 20);
  AppendText(out, "band", 6);
  for (const char* name :
       {"req 5m", "bad 5m", "burn 5m", "req 1h", "bad 1h", "burn 1h"})
    out << std::right << std::setw(10) << name << ' ';
  out << '\n';
  for (const BurnRow& row : rows) {
    AppendText(out, row.key.team, 20);
    AppendText(out, row.key.service, 20);
    AppendText(out, row.key.band, 6);
    for (const BurnCounts* counts : {&row.short_window, &row.long_window}) {
      AppendNumber(out, static_cast<double>(counts->total()), 0);
      AppendNumber(out, static_cast<double>(counts->bad()), 0);
      AppendNumber(out, BurnRate(*counts, objective), 2);
    }
    out << '\n';
  }
  return out.str();
}

}  // namespace jujuberock::report
