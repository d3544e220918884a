#ifndef CORE_LOAD_SUMMARY_H_
#define CORE_LOAD_SUMMARY_H_

#include <map>
#include <span>
#include <string>
#include <vector>

namespace jujuberock::load {

// The output of an experiment in three formats.
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

// `values` must not be empty.
Spread SpreadOf(std::vector<double> values);

// One row of a table: a variant and the spread of each measure over seeds.
struct SummaryRow {
  std::string name;
  std::vector<Spread> measures;
};

struct SummaryTable {
  std::string title;
  std::vector<std::string> measures;
  std::vector<SummaryRow> rows;
};

// A member of a run's result that is summarised, with its column heading.
template <typename Result>
struct Measure {
  const char* name;
  double Result::*value;
};

// `results` contains the runs of each variant consecutively, the same number
// for each; `names` contains the variants' names.
template <typename Result>
SummaryTable Summarise(const std::string& title,
                       std::span<const Measure<Result>> measures,
                       const std::vector<std::string>& names,
                       const std::vector<Result>& results) {
  SummaryTable table;
  table.title = title;
  for (const Measure<Result>& measure : measures)
    table.measures.emplace_back(measure.name);
  const size_t runs = results.size() / names.size();
  for (size_t v = 0; v < names.size(); ++v) {
    SummaryRow row;
    row.name = names[v];
    for (const Measure<Result>& measure : measures) {
      std::vector<double> values;
      for (size_t i = v * runs; i < (v + 1) * runs; ++i)
        values.push_back(results[i].*measure.value);
      row.measures.push_back(SpreadOf(values));
    }
    table.rows.push_back(row);
  }
  return table;
}

std::string RenderText(const std::vector<SummaryTable>& tables);
std::string RenderJson(const std::vector<SummaryTable>& tables);
// Draws bars from zero to the median with the range from minimum to maximum,
// one panel per table and measure, with at most `max_measures` panels per
// table.
std::string RenderSvg(const std::vector<SummaryTable>& tables,
                      size_t max_measures);

}  // namespace jujuberock::load

#endif  // CORE_LOAD_SUMMARY_H_
