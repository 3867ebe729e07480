#include "lab/page.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <functional>
#include <set>

namespace woadridge::lab {
namespace {

constexpr double kWidth = 960;
constexpr double kLeft = 64, kRight = 16, kTop = 16, kBottom = 34;
constexpr const char* kStyle = R"(
:root{color-scheme:light dark;--bg:#fff;--fg:#1b1f24;--soft:#5b6570;--line:#d5dae0;--band:#8894a0;--bandtext:#5b6570;
--in:#2f9e76;--late:#e0a100;--refused:#5a86c5;--failed:#c8402f;--unreached:#7b4fa3;
--c0:#1f77b4;--c1:#d1603d;--c2:#3a923a;--c3:#9467bd;--c4:#8c6d31;--c5:#c2458f;--c6:#56707f;--c7:#a0a000;--good:#1d7a50;--bad:#b3261e}
@media(prefers-color-scheme:dark){:root{--bg:#15191e;--fg:#e4e8ec;--soft:#9aa6b2;--line:#343b44;--band:#5d6975;--bandtext:#9aa6b2;
--in:#3fbf90;--late:#f0bd3a;--refused:#7ba4e0;--failed:#ee6a58;--unreached:#a982d1;
--c0:#58a6e6;--c1:#f08a64;--c2:#63c263;--c3:#b996e6;--c4:#c9a860;--c5:#ea7cbb;--c6:#8faab8;--c7:#cccc44;--good:#4fd49a;--bad:#ff8b80}}
body{background:var(--bg);color:var(--fg);font:15px/1.45 system-ui,sans-serif;max-width:1000px;margin:24px auto;padding:0 16px}
h1{font-size:24px;margin:0}h2{font-size:17px;margin:30px 0 4px}p{margin:4px 0 8px;color:var(--soft)}
.verdict{display:inline-block;padding:3px 10px;border-radius:6px;font-weight:600;border:1.5px solid}
.kept{color:var(--good)}.broken{color:var(--bad)}
table{border-collapse:collapse;margin:8px 0;font-variant-numeric:tabular-nums}td,th{padding:3px 10px;text-align:right;border-bottom:1px solid var(--line)}
td:first-child,th:first-child{text-align:left}th{font-weight:600;color:var(--soft);font-size:13px}tr.own td{font-weight:600}
svg{display:block;width:100%;height:auto}svg text{fill:var(--fg);font:12px system-ui,sans-serif}svg .soft{fill:var(--soft)}
.key{display:flex;flex-wrap:wrap;gap:4px 16px;color:var(--soft);font-size:13px}.key i{display:inline-block;width:11px;height:11px;border-radius:2px;margin-right:5px}
li{color:var(--bad)}.scroll{overflow-x:auto})";

std::string number(double v) {
  char text[32];
  const double a = std::abs(v);
  const char* form = a >= 100 || a == std::floor(a) ? "%.0f" : a >= 10 ? "%.1f" : a >= 1 ? "%.2f" : "%.3f";
  std::snprintf(text, sizeof text, form, v);
  return text;
}

std::string at(double v) {
  char text[32];
  std::snprintf(text, sizeof text, "%.1f", v);
  return text;
}

std::string escaped(const std::string& text) {
  std::string safe;
  for (const char c : text) {
    if (c == '<') safe += "&lt;";
    else if (c == '>') safe += "&gt;";
    else if (c == '&') safe += "&amp;";
    else if (c == '"') safe += "&quot;";
    else safe += c;
  }
  return safe;
}

class Svg {
 public:
  explicit Svg(double height) : height_(height) {}
  Svg& rect(double x, double y, double w, double h, const std::string& fill, const std::string& more = "") {
    body_ += "<rect x=\"" + at(x) + "\" y=\"" + at(y) + "\" width=\"" + at(std::max(0.0, w)) +
             "\" height=\"" + at(std::max(0.0, h)) + "\" fill=\"" + fill + "\" " + more + "/>";
    return *this;
  }
  Svg& line(double x1, double y1, double x2, double y2) {
    body_ += "<line x1=\"" + at(x1) + "\" y1=\"" + at(y1) + "\" x2=\"" + at(x2) + "\" y2=\"" + at(y2) +
             "\" stroke=\"var(--line)\"/>";
    return *this;
  }
  Svg& path(const std::string& d, const std::string& stroke, const std::string& fill = "none") {
    body_ += "<path d=\"" + d + "\" stroke=\"" + stroke + "\" fill=\"" + fill + "\" stroke-width=\"1.8\"/>";
    return *this;
  }
  Svg& dot(double x, double y, const std::string& fill, const std::string& title) {
    body_ += "<circle cx=\"" + at(x) + "\" cy=\"" + at(y) + "\" r=\"3.2\" fill=\"" + fill + "\"><title>" +
             escaped(title) + "</title></circle>";
    return *this;
  }
  Svg& text(double x, double y, const std::string& words, const char* anchor = "start",
            const char* kind = "soft") {
    body_ += "<text x=\"" + at(x) + "\" y=\"" + at(y) + "\" text-anchor=\"" + anchor + "\" class=\"" + kind +
             "\">" + escaped(words) + "</text>";
    return *this;
  }
  std::string str() const {
    return "<svg viewBox=\"0 0 " + at(kWidth) + " " + at(height_) + "\" role=\"img\">" + body_ + "</svg>";
  }

 private:
  double height_;
  std::string body_;
};

double nice_step(double span) {
  const double raw = std::max(span, 1e-9) / 5;
  const double power = std::pow(10.0, std::floor(std::log10(raw)));
  for (const double m : {1.0, 2.0, 5.0})
    if (m * power >= raw) return m * power;
  return 10 * power;
}

struct Axis {  // from values to the drawing
  double low = 0, high = 1, from = 0, to = 1;
  bool logarithmic = false;
  double operator()(double v) const {
    const auto f = [this](double x) { return logarithmic ? std::log10(std::max(x, 1e-9)) : x; };
    const double part = (f(v) - f(low)) / std::max(1e-12, f(high) - f(low));
    return from + part * (to - from);
  }
};

void y_axis(Svg& svg, const Axis& y, const std::string& unit) {
  if (y.logarithmic) {
    const bool narrow = y.high / y.low < 50;  // a decade's steps in between, where there are few decades
    for (double decade = std::pow(10.0, std::floor(std::log10(y.low))); decade <= y.high; decade *= 10)
      for (const double m : {1.0, 2.0, 5.0}) {
        const double v = m * decade;
        if (v < y.low || v > y.high || (m > 1 && !narrow)) continue;
        svg.line(kLeft, y(v), kWidth - kRight, y(v)).text(kLeft - 6, y(v) + 4, number(v), "end");
      }
  } else {
    const double step = nice_step(y.high - y.low);
    for (double v = std::ceil(y.low / step) * step; v <= y.high * 1.0001; v += step)
      svg.line(kLeft, y(v), kWidth - kRight, y(v)).text(kLeft - 6, y(v) + 4, number(v), "end");
  }
  svg.text(kLeft, 11, unit);
}

void x_seconds(Svg& svg, const Axis& x, double below) {
  const double step = nice_step(x.high);
  for (double v = 0; v <= x.high + 1e-9; v += step) svg.text(x(v), below, number(v) + " s", "middle");
}

// The troubles lie behind every course as bands, each named once at its top, in rows that don't overlap.
double bands(Svg& svg, const Json& report, const Axis& x, double top, double bottom) {
  std::vector<double> row_ends;
  for (const auto& t : report["troubles"]) {
    const double from = x(t["at_s"]),
                 to = std::max(from + 2,
                               x(std::min(x.high, t["at_s"].get<double>() + t["for_s"].get<double>())));
    svg.rect(from, top, to - from, bottom - top, "var(--band)", "opacity=\"0.16\"");
    const std::string name = t["kind"].get<std::string>() + " " + t["whom"].get<std::string>();
    std::size_t row = 0;
    while (row < row_ends.size() && row_ends[row] > from) ++row;
    if (row == row_ends.size()) row_ends.push_back(0);
    row_ends[row] = from + 7.2 * static_cast<double>(name.size());
    svg.text(from + 3, top + 13 + 14 * static_cast<double>(row), name);
  }
  return 14 * static_cast<double>(row_ends.size());
}

struct Line {
  std::string name, color;
  std::vector<double> values;
};

std::string key(const std::vector<std::pair<std::string, std::string>>& entries) {
  std::string html = "<div class=\"key\">";
  for (const auto& [name, color] : entries)
    html += "<span><i style=\"background:" + color + "\"></i>" + escaped(name) + "</span>";
  return html + "</div>";
}

std::string color_of(std::size_t i) {
  return "var(--c" + std::to_string(i % 8) + ")";
}

std::string time_lines(const Json& report, const std::vector<Line>& lines, const std::string& unit,
                       bool logarithmic) {
  const double height = 210;
  double least = 1e18, most = 1e-3;
  for (const auto& l : lines)
    for (const double v : l.values)
      if (v > 0) least = std::min(least, v), most = std::max(most, v);
  if (least > most) least = most / 10;
  Svg svg(height);
  const double seconds = report["length_s"];
  const Axis x{0, seconds, kLeft, kWidth - kRight, false};
  const Axis y{logarithmic ? std::max(1e-3, least * 0.8) : 0, most * 1.08, height - kBottom, kTop + 4,
               logarithmic};
  bands(svg, report, x, kTop, height - kBottom);
  y_axis(svg, y, unit);
  x_seconds(svg, x, height - kBottom + 18);
  std::vector<std::pair<std::string, std::string>> names;
  for (const auto& l : lines) {
    std::string d;
    for (std::size_t i = 0; i < l.values.size(); ++i) {
      if (logarithmic && l.values[i] <= 0) continue;
      d += (d.empty() ? "M" : "L") + at(x(static_cast<double>(i) + 0.5)) + " " + at(y(l.values[i]));
    }
    svg.path(d, l.color);
    names.emplace_back(l.name, l.color);
  }
  return svg.str() + key(names);
}

std::string ends_chart(const Json& report, const Json& course) {
  static constexpr std::array<std::pair<const char*, const char*>, 5> kParts{{{"in_time", "in"},
                                                                              {"late", "late"},
                                                                              {"refused", "refused"},
                                                                              {"failed", "failed"},
                                                                              {"unreached", "unreached"}}};
  const double height = 280;
  const std::size_t seconds = course["in_time"].size();
  double most = 1;
  for (std::size_t i = 0; i < seconds; ++i) {
    double all = 0;
    for (const auto& [part, color] : kParts) all += course[part][i].get<double>();
    most = std::max(most, all);
  }
  Svg svg(height);
  const Axis x{0, report["length_s"], kLeft, kWidth - kRight, false};
  const Axis y{0, most * 1.25, height - kBottom, kTop + 4, false};
  y_axis(svg, y, "requests a second");
  x_seconds(svg, x, height - kBottom + 18);
  const double bar = x(1) - x(0);
  for (std::size_t i = 0; i < seconds; ++i) {
    double below = 0;
    for (const auto& [part, color] : kParts) {
      const double n = course[part][i];
      if (n > 0)
        svg.rect(x(static_cast<double>(i)), y(below + n), std::max(0.6, bar - 0.8), y(below) - y(below + n),
                 std::string("var(--") + color + ")", "data-part=\"" + std::string(part) + "\"");
      below += n;
    }
  }
  bands(svg, report, x, kTop, height - kBottom);
  return svg.str() + key({{"served in time", "var(--in)"},
                          {"served late", "var(--late)"},
                          {"refused", "var(--refused)"},
                          {"failed or not answered", "var(--failed)"},
                          {"no dispatcher there", "var(--unreached)"}});
}

std::string percentile_chart(const Json& report, const Json& run) {
  const double height = 230;
  const auto& points = report["percentiles"];
  double least = 1e18, most = 1;
  for (const auto& c : run["classes"])
    for (const double v : c["percentiles_ms"])
      if (v > 0) least = std::min(least, v), most = std::max(most, v);
  if (least > most) return "<p>Nothing was served.</p>";
  Svg svg(height);
  const Axis x{0, static_cast<double>(points.size()) - 1, kLeft + 30, kWidth - kRight - 60, false};
  const Axis y{std::max(1e-3, least * 0.7), most * 1.3, height - kBottom, kTop + 4, true};
  y_axis(svg, y, "ms, from when it was due to its last byte");
  for (std::size_t i = 0; i < points.size(); ++i) {
    std::string label = number(100 * points[i].get<double>());
    if (points[i] == 0.999) label = "99.9";
    svg.text(x(static_cast<double>(i)), height - kBottom + 18, label + "%", "middle");
  }
  std::vector<std::pair<std::string, std::string>> names;
  std::size_t n = 0;
  for (const auto& c : run["classes"]) {
    const std::string color = color_of(n++);
    std::string d;
    for (std::size_t i = 0; i < points.size(); ++i) {
      const double v = c["percentiles_ms"][i];
      if (v <= 0) continue;
      d += (d.empty() ? "M" : "L") + at(x(static_cast<double>(i))) + " " + at(y(v));
      svg.dot(x(static_cast<double>(i)), y(v), color,
              c["name"].get<std::string>() + ": " + number(v) + " ms");
    }
    svg.path(d, color);
    names.emplace_back(c["name"].get<std::string>() + " (" + number(c["requests"]) + ")", color);
  }
  return svg.str() + key(names);
}

std::string tenant_chart(const Json& run) {
  const auto& tenants = run["tenants"];
  const std::size_t shown = std::min<std::size_t>(tenants.size(), 24);
  const double row = 34, height = kTop + row * static_cast<double>(shown) + 24;
  double most = 0.01;
  for (const auto& t : tenants)
    most = std::max({most, t["asked"].get<double>(), t["served"].get<double>(), t["share"].get<double>()});
  Svg svg(height);
  const Axis x{0, most, 150, kWidth - 90, false};
  for (std::size_t i = 0; i < shown; ++i) {
    const auto& t = tenants[i];
    const double y = kTop + row * static_cast<double>(i);
    svg.text(142, y + 17, t["name"], "end", "");
    svg.rect(150, y + 3, x(t["asked"]) - 150, 10, "var(--c6)")
        .rect(150, y + 15, x(t["served"]) - 150, 10, "var(--in)");
    svg.rect(x(t["share"]) - 1, y, 2.5, 28, "var(--fg)");
    svg.text(x(std::max(t["asked"].get<double>(), t["served"].get<double>())) + 8, y + 17,
             number(100 * t["goodput"].get<double>()) + "% of its own");
  }
  return svg.str() + key({{"share of all that was asked (by worth)", "var(--c6)"},
                          {"share of all that was earned", "var(--in)"},
                          {"its agreed share (mark)", "var(--fg)"}});
}

// One row a worker, one cell a second: how full it is by depth of colour, what ails it by a colour of its
// own.
std::string state_map(const Json& report, const Json& run) {
  const auto& rows = run["states"];
  if (rows.empty()) return "";
  const std::size_t shown = std::min<std::size_t>(rows.size(), 80);
  const std::size_t step = (rows.size() + shown - 1) / shown;
  const double row = rows.size() <= 24 ? 16 : 7;
  const double height = kTop + row * static_cast<double>((rows.size() + step - 1) / step) + kBottom;
  Svg svg(height);
  const Axis x{0, report["length_s"], kLeft + 20, kWidth - kRight, false};
  const double cell = x(1) - x(0);
  double y = kTop;
  for (std::size_t r = 0; r < rows.size(); r += step) {
    const auto& w = rows[r];
    const std::string doing = w["doing"];
    if (row > 10) svg.text(kLeft + 14, y + 12, w["name"], "end");
    for (std::size_t s = 0; s < doing.size(); ++s) {
      const double fill =
          std::min(1.0, w["jobs"][s].get<double>() / std::max(1.0, 2 * w["capacity"].get<double>()));
      std::string color = "var(--c0)", more = "opacity=\"" + number(0.08 + 0.92 * fill) + "\"";
      switch (doing[s]) {
        case 'x':
          color = "var(--fg)";
          more = "";
          break;
        case 'f':
          color = "var(--failed)";
          more = "";
          break;
        case 'h':
          color = "var(--unreached)";
          more = "";
          break;
        case 's':
          color = "var(--late)";
          break;
        case 'o':
          color = "var(--c5)";
          break;
        case 'd':
          color = "var(--c6)";
          break;
        case 'c':
          color = "var(--c2)";
          break;
        default:
          break;
      }
      if ((doing[s] == 's' || doing[s] == 'o' || doing[s] == 'd' || doing[s] == 'c'))
        more = "opacity=\"" + number(0.35 + 0.65 * fill) + "\"";
      svg.rect(x(static_cast<double>(s)), y, cell + 0.2, row - 1, color, more);
    }
    y += row;
  }
  x_seconds(svg, x, y + 16);
  return svg.str() + key({{"serving (deeper: more jobs)", "var(--c0)"},
                          {"cold", "var(--c2)"},
                          {"draining", "var(--c6)"},
                          {"slow", "var(--late)"},
                          {"hung", "var(--unreached)"},
                          {"otherwise odd", "var(--c5)"},
                          {"down", "var(--fg)"},
                          {"pushed over", "var(--failed)"}});
}

std::string policy_table(const Json& report) {
  static constexpr std::array<std::pair<const char*, const char*>, 9> kColumns{
      {{"goodput", "goodput"},
       {"in_time_share", "in time"},
       {"refused_share", "refused"},
       {"failed_share", "failed"},
       {"p50_ms", "p50 ms"},
       {"p99_ms", "p99 ms"},
       {"attempts_per_request", "attempts"},
       {"wasted_work_share", "wasted work"},
       {"worst_10s_goodput", "worst 10 s"}}};
  std::string html = "<div class=\"scroll\"><table><tr><th>who decides</th>";
  for (const auto& [figure, title] : kColumns) html += std::string("<th>") + title + "</th>";
  html += "<th>rules broken</th></tr>";
  bool first = true;
  for (const auto& run : report["runs"]) {
    html += std::string(first ? "<tr class=\"own\">" : "<tr>") + "<td>" + run["policy"].get<std::string>() +
            "</td>";
    first = false;
    for (const auto& [figure, title] : kColumns) html += "<td>" + number(run["figures"][figure]) + "</td>";
    double broken = 0;
    for (int rule = 1; rule <= 4; ++rule)
      broken += run["figures"]["rule" + std::to_string(rule) + "_breaches"].get<double>();
    html += "<td>" + number(broken) + "</td></tr>";
  }
  return html + "</table></div>";
}

std::string breach_list(const Json& run) {
  if (run["breaches"].empty()) return "";
  std::string html = "<ul>";
  std::size_t told = 0;
  for (const auto& b : run["breaches"]) {
    if (++told > 20) break;
    html += "<li>rule " + number(b["rule"]) + ": " + escaped(b["what"]) + "</li>";
  }
  return html + "</ul>";
}

std::string process_charts(const Json& report, const Json& run) {
  if (!run.contains("processes")) return "";
  std::vector<Line> cpu, memory;
  std::size_t n = 0;
  for (const auto& p : run["processes"]) {
    if (n >= 8) break;
    const std::string color = color_of(n++);
    cpu.push_back({p["name"], color, p["cpu"]});
    memory.push_back({p["name"], color, p["memory_mb"]});
  }
  return "<h2>CPU of each dispatcher</h2>" + time_lines(report, cpu, "of a core", false) +
         "<h2>Memory of each dispatcher</h2>" + time_lines(report, memory, "MiB resident", false);
}

std::string page(const std::string& title, const std::string& body) {
  return "<!doctype html><html lang=\"en\"><head><meta charset=\"utf-8\"><meta name=\"viewport\" "
         "content=\"width=device-width\"><title>" +
         escaped(title) + "</title><style>" + kStyle + "</style></head><body>" + body + "</body></html>\n";
}

std::vector<double> values(const Json& list) {
  return list.get<std::vector<double>>();
}

}  // namespace

std::string report_page(const Json& report) {
  const Json& run = report["runs"][0];
  const bool kept = report["rules_kept"];
  const bool judged = !report.contains("no_verdict");
  std::string body = "<h1>" + escaped(report["scenario"]) + "</h1><p>" + escaped(report["about"]) + "</p>";
  body += std::string("<span class=\"verdict ") + (judged && kept ? "kept" : "broken") + "\">" +
          (!judged ? "no verdict: " + escaped(report["no_verdict"])
           : kept  ? "all four rules kept"
                   : "rules broken") +
          "</span>";
  if (report["partial"]) body += " <span class=\"verdict broken\">partial: cut short</span>";
  body += "<p>" + number(report["dispatchers"]) + " dispatchers, " + number(report["workers"]) +
          " workers, " + number(report["requests_per_s"]) + " requests/s for " + number(report["length_s"]) +
          " s, seed " + number(report["seed"]) + ", " + report["mode"].get<std::string>() +
          (report["mode"] == "virtual"
               ? ": model workers and clients in simulated time.</p>"
               : ": real dispatchers; workers, list and clients are stand-ins on loopback.</p>");
  body += policy_table(report) + breach_list(run);
  const Json& course = run["course"];
  body += "<h2>What became of the requests, by the second in which they were due</h2>" +
          ends_chart(report, course);
  body += "<h2>Latency of what was served</h2>" +
          time_lines(report,
                     {{"median", "var(--c0)", values(course["p50_ms"])},
                      {"99th percentile", "var(--c1)", values(course["p99_ms"])}},
                     "ms", true);
  body += "<h2>Latency percentiles by class</h2>" + percentile_chart(report, run);
  body += "<h2>Small jobs and the largest hundredth: time over own work</h2>" +
          time_lines(report,
                     {{"small jobs", "var(--c0)", values(course["small_slowdown"])},
                      {"largest hundredth", "var(--c1)", values(course["big_slowdown"])}},
                     "times", true);
  body += "<h2>Attempts and clients' retries</h2>" +
          time_lines(report,
                     {{"attempts sent to workers", "var(--c0)", values(course["attempts"])},
                      {"clients' retries", "var(--c1)", values(course["retries"])}},
                     "a second", false);
  body += "<h2>Tenants</h2>" + tenant_chart(run);
  if (!run["states"].empty())
    body += "<h2>Workers: jobs at each, and its state</h2>" + state_map(report, run);
  body += process_charts(report, run);
  return page(report["scenario"], body);
}

std::string sweep_page(const Json& sweep) {
  static constexpr std::array<const char*, 10> kShown{"goodput",
                                                      "in_time_share",
                                                      "refused_share",
                                                      "mean_ms",
                                                      "p50_ms",
                                                      "p99_ms",
                                                      "small_mean_slowdown",
                                                      "big_mean_slowdown",
                                                      "attempts_per_request",
                                                      "wasted_work_share"};
  std::string body = "<h1>" + escaped(sweep["scenario"]) + ", varied</h1><p>" + escaped(sweep["about"]) +
                     "</p><p>" + number(sweep["seeds"]) +
                     " seeds; medians with their 95% intervals (bootstrap).</p>";
  const auto& cells = sweep["cells"];
  const std::string along = sweep["vary"].empty() ? "" : sweep["vary"][0]["key"].get<std::string>();
  std::vector<std::string> points, others;  // of the first key; of all further ones together
  for (const auto& c : cells) {
    const std::string p = c["at"].empty() ? "" : c["at"][0].get<std::string>();
    const std::string o = c["series"];
    if (std::find(points.begin(), points.end(), p) == points.end()) points.push_back(p);
    if (std::find(others.begin(), others.end(), o) == others.end()) others.push_back(o);
  }
  for (const char* figure : kShown) {
    double least = 1e18, most = -1e18;
    for (const auto& c : cells) {
      least = std::min(least, c["figures"][figure]["low"].get<double>());
      most = std::max(most, c["figures"][figure]["high"].get<double>());
    }
    if (!(most > least)) continue;
    const double height = 230;
    const bool logarithmic = least > 0 && most / least > 30;
    Svg svg(height);
    const Axis x{-0.4, static_cast<double>(points.size()) - 0.6, kLeft, kWidth - kRight, false};
    const Axis y{logarithmic ? least * 0.9 : std::max(0.0, least - 0.08 * (most - least)),
                 most + 0.05 * (most - least), height - kBottom, kTop + 4, logarithmic};
    y_axis(svg, y, "");
    for (std::size_t i = 0; i < points.size(); ++i)
      svg.text(x(static_cast<double>(i)), height - kBottom + 18, points[i], "middle");
    std::vector<std::pair<std::string, std::string>> names;
    for (std::size_t s = 0; s < others.size(); ++s) {
      std::string d;
      for (const auto& c : cells) {
        if (c["series"] != others[s]) continue;
        const std::string p = c["at"].empty() ? "" : c["at"][0].get<std::string>();
        const auto i = static_cast<double>(std::find(points.begin(), points.end(), p) - points.begin()) +
                       0.06 * (static_cast<double>(s) - static_cast<double>(others.size()) / 2);
        const auto& f = c["figures"][figure];
        d += (d.empty() ? "M" : "L") + at(x(i)) + " " + at(y(f["median"]));
        svg.dot(x(i), y(f["median"]), color_of(s), others[s] + " at " + p + ": " + number(f["median"]));
        svg.path("M" + at(x(i)) + " " + at(y(f["low"])) + "L" + at(x(i)) + " " + at(y(f["high"])),
                 color_of(s));
      }
      svg.path(d, color_of(s));
      names.emplace_back(others[s].empty() ? sweep["scenario"].get<std::string>() : others[s], color_of(s));
    }
    body += std::string("<h2>") + figure + (along.empty() ? "" : " over " + escaped(along)) + "</h2>" +
            svg.str() + key(names);
  }
  return page(sweep["scenario"], body);
}

}  // namespace woadridge::lab
