#include "core/load/summary.h"

#include <algorithm>
#include <cstdio>
#include <nlohmann/json.hpp>

namespace jujuberock::load {

namespace {

constexpr int kNameWidth = 30;
constexpr int kCellWidth = 27;

constexpr int kPanelWidth = 360;
constexpr int kBarHeight = 18;
constexpr int kLabelWidth = 150;
constexpr int kTitleHeight = 30;

std::string Format(const char* format, double value) {
  char text[64];
  std::snprintf(text, sizeof text, format, value);
  return text;
}

std::string Padded(std::string text, int width) {
  if (text.size() < static_cast<size_t>(width))
    text.append(static_cast<size_t>(width) - text.size(), ' ');
  return text;
}

std::string Cell(const Spread& spread) {
  return Format("%.3f", spread.minimum) + " / " +
         Format("%.3f", spread.median) + " / " + Format("%.3f", spread.maximum);
}

std::string Text(int x, int y, const std::string& text) {
  return "<text x='" + std::to_string(x) + "' y='" + std::to_string(y) + "'>" +
         text + "</text>\n";
}

std::string Rect(double x, int y, double width, int height, const char* fill) {
  return "<rect x='" + Format("%.1f", x) + "' y='" + std::to_string(y) +
         "' width='" + Format("%.1f", width) + "' height='" +
         std::to_string(height) + "' fill='" + fill + "'/>\n";
}

std::string Panel(const SummaryTable& table, size_t measure, int x, int y) {
  double max_value = 0;
  for (const SummaryRow& row : table.rows)
    max_value = std::max(max_value, row.measures[measure].maximum);
  if (max_value <= 0)
    max_value = 1;
  const double scale = (kPanelWidth - kLabelWidth - 70) / max_value;
  std::string svg =
      Text(x, y + 16, table.title + ": " + table.measures[measure]);
  int top = y + kTitleHeight;
  for (const SummaryRow& row : table.rows) {
    const Spread& spread = row.measures[measure];
    const double left = x + kLabelWidth;
    svg += Text(x, top + 13, row.name);
    svg += Rect(left, top + 2, spread.median * scale, kBarHeight - 4, "#4a7");
    svg += Rect(left + spread.minimum * scale, top + 8,
                std::max(1.0, (spread.maximum - spread.minimum) * scale), 2,
                "#222");
    svg += Text(static_cast<int>(left + spread.maximum * scale) + 4, top + 13,
                Format("%.3f", spread.median));
    top += kBarHeight;
  }
  return svg;
}

}  // namespace

Spread SpreadOf(std::vector<double> values) {
  std::sort(values.begin(), values.end());
  const size_t half = values.size() / 2;
  const double median = values.size() % 2 == 1
                            ? values[half]
                            : (values[half - 1] + values[half]) / 2;
  return {values.front(), median, values.back()};
}

std::string RenderText(const std::vector<SummaryTable>& tables) {
  std::string text;
  for (const SummaryTable& table : tables) {
    text += table.title + "  (minimum / median / maximum over seeds)\n";
    std::string line = Padded("", kNameWidth);
    for (const std::string& measure : table.measures)
      line += Padded(measure, kCellWidth);
    text += line + '\n';
    for (const SummaryRow& row : table.rows) {
      line = Padded(row.name, kNameWidth);
      for (const Spread& spread : row.measures)
        line += Padded(Cell(spread), kCellWidth);
      text += line + '\n';
    }
    text += '\n';
  }
  return text;
}

std::string RenderJson(const std::vector<SummaryTable>& tables) {
  nlohmann::json json = nlohmann::json::array();
  for (const SummaryTable& table : tables) {
    nlohmann::json rows = nlohmann::json::object();
    for (const SummaryRow& row : table.rows) {
      for (size_t i = 0; i < table.measures.size(); ++i) {
        const Spread& spread = row.measures[i];
        rows[row.name][table.measures[i]] = {{"min", spread.minimum},
                                             {"median", spread.median},
                                             {"max", spread.maximum}};
      }
    }
    json.push_back({{"title", table.title}, {"rows", rows}});
  }
  return json.dump(2);
}

std::string RenderSvg(const std::vector<SummaryTable>& tables,
                      size_t max_measures) {
  std::string panels;
  int y = 10;
  size_t columns = 1;
  for (const SummaryTable& table : tables) {
    const size_t count = std::min(max_measures, table.measures.size());
    columns = std::max(columns, count);
    for (size_t m = 0; m < count; ++m)
      panels += Panel(table, m, 10 + static_cast<int>(m) * kPanelWidth, y);
    y += kTitleHeight + static_cast<int>(table.rows.size()) * kBarHeight + 16;
  }
  const int width = static_cast<int>(columns) * kPanelWidth + 20;
  return "<svg xmlns='http://www.w3.org/2000/svg' width='" +
         std::to_string(width) + "' height='" + std::to_string(y) +
         "' font-family='sans-serif' font-size='11'>\n" +
         "<rect width='100%' height='100%' fill='white'/>\n" + panels +
         "</svg>\n";
}

}  // namespace jujuberock::load
