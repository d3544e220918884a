#ifndef CORE_LOAD_SUMMARY_H_
#define CORE_LOAD_SUMMARY_H_

#include <map>
#include <string>
#include <vector>

namespace jujuberock::load {

// What an experiment prints.
struct ExperimentReport {
  std::string table;
  std::string json;
  std::string svg;
};

struct Spread {
  double minimum = 0;
  double median = 0;
  double maximum = 0;
};

// Of at least one value.
Spread SpreadOf(std::vector<double> values);

// One line of a table: a setting and the spread of each measure over seeds.
struct SummaryRow {
  std::string name;
  std::vector<Spread> measures;
};

struct SummaryTable {
  std::string title;
  std::vector<std::string> measures;
  std::vector<SummaryRow> rows;
};

std::string RenderText(const std::vector<SummaryTable>& tables);
std::string RenderJson(const std::vector<SummaryTable>& tables);
// Bars from zero to the median with the range from minimum to maximum, one
// panel for each table and measure. At most `max_measures` per table.
std::string RenderSvg(const std::vector<SummaryTable>& tables,
                      size_t max_measures);

}  // namespace jujuberock::load

#endif  // CORE_LOAD_SUMMARY_H_
