#include "lab/chaos/report.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace woadridge::lab {

void ActJudge::judge(const ChaosAct& act, ChaosReport& report) {
  if (!act.taken) {
    ++report.stale_acts_refused;
    return;
  }
  ++report.acts_taken;
  const auto [holder, fresh] = holder_of_.try_emplace({act.duty, act.number}, act.holder);
  if (!fresh && holder->second != act.holder) {
    ++report.two_holders;
    report.violations.push_back("one number, two holders: " + act.duty + " by " + std::to_string(act.number) +
                                " from " + holder->second + " and from " + act.holder);
  }
  auto& highest = highest_[{act.receiver, act.duty}];
  if (act.number < highest) {
    ++report.two_holders;
    report.violations.push_back("old holder taken: " + act.receiver + " took " + act.duty + " by " +
                                std::to_string(act.number) + " from " + act.holder + " after " +
                                std::to_string(highest));
  }
  highest = std::max(highest, act.number);
}

Micros percentile(std::vector<Micros> values, double share) {
  if (values.empty()) return 0;
  std::sort(values.begin(), values.end());
  return values[std::min(values.size() - 1,
                         static_cast<std::size_t>(share * static_cast<double>(values.size())))];
}

std::string report_json(const ChaosReport& r, const std::string& name, std::uint64_t seed) {
  nlohmann::json j;
  j["scenario"] = name;
  j["seed"] = seed;
  j["faults"] = r.faults;
  j["acts_taken"] = r.acts_taken;
  j["two_holders"] = r.two_holders;
  j["stale_acts_refused"] = r.stale_acts_refused;
  j["gaps_ms"] = {{"count", r.gaps.size()},
                  {"p50", static_cast<double>(percentile(r.gaps, 0.5)) / 1e3},
                  {"p99", static_cast<double>(percentile(r.gaps, 0.99)) / 1e3},
                  {"longest", static_cast<double>(percentile(r.gaps, 1)) / 1e3}};
  j["violations"] = r.violations;
  j["figures"] = r.figures;
  if (!r.no_verdict.empty()) j["no_verdict"] = r.no_verdict;
  for (const auto& f : r.schedule)
    j["schedule"].push_back({{"kind", name_of(f.kind)},
                             {"at_ms", f.at / 1000},
                             {"span_ms", f.span / 1000},
                             {"a", f.a},
                             {"b", f.b}});
  for (const auto& s : r.spans)
    j["holders"].push_back({{"duty", s.duty},
                            {"holder", s.holder},
                            {"number", s.number},
                            {"from_ms", s.from / 1000},
                            {"to_ms", s.to / 1000}});
  return j.dump(1) + "\n";
}

std::string chaos_page(const ChaosReport& r, const ChaosScenario& s) {
  constexpr int kLeft = 90, kWidth = 1000, kRow = 26;
  const auto x = [&](Micros at) {
    return std::to_string(kLeft + static_cast<int>(static_cast<double>(kWidth) * static_cast<double>(at) /
                                                   static_cast<double>(s.length)));
  };
  const auto width = [&](Micros span) {
    return std::to_string(
        std::max(1, static_cast<int>(static_cast<double>(kWidth) * static_cast<double>(span) /
                                     static_cast<double>(s.length))));
  };
  std::map<std::string, std::string> colours;
  const char* palette[] = {"#1b6ca8", "#c0561a", "#2d8a4e", "#8a3d8f", "#a88b1b", "#3d8f8a"};
  std::string body;
  const int height = kRow * (s.members + 1) + 30;
  const auto row = [](const std::string& member) { return 20 + kRow * std::stoi(member.substr(1)); };
  for (int m = 0; m < s.members; ++m) {
    const std::string y = std::to_string(20 + kRow * m + 15);
    body += "<text x='4' y='" + y + "'>n" + std::to_string(m) + (m < s.voters ? " (voter)" : "") + "</text>";
    body += "<line x1='" + std::to_string(kLeft) + "' x2='" + std::to_string(kLeft + kWidth) + "' y1='" + y +
            "' y2='" + y + "' stroke='#ddd'/>";
  }
  for (const auto& f : r.schedule) {
    const bool all = f.kind == ChaosKind::halves || f.kind == ChaosKind::all_down;
    body += "<rect x='" + x(f.at) + "' y='" + std::to_string(all ? 20 : 20 + kRow * f.a) + "' width='" +
            width(f.span) + "' height='" + std::to_string(all ? kRow * s.members : kRow - 4) +
            "' fill='#d33' opacity='0.18'><title>" + name_of(f.kind) + " " + std::to_string(f.at / 1000) +
            " ms" + "</title></rect>";
  }
  for (const auto& span : r.spans) {
    auto [colour, fresh] = colours.try_emplace(span.duty, "");
    if (fresh) colour->second = palette[(colours.size() - 1) % std::size(palette)];
    if (!span.duty.starts_with("list/")) continue;
    body += "<rect x='" + x(span.from) + "' y='" + std::to_string(row(span.holder) + 6) + "' width='" +
            width(span.to - span.from) + "' height='10' fill='" + colour->second + "'><title>" + span.duty +
            " number " + std::to_string(span.number) + " held by " + span.holder + "</title></rect>";
  }
  std::string rows;
  for (const auto& [kind, count] : r.faults)
    rows += "<tr><td>" + kind + "</td><td>" + std::to_string(count) + "</td></tr>";
  std::string broken;
  for (const auto& v : r.violations) broken += "<li>" + v + "</li>";
  return "<!doctype html><meta charset='utf-8'><title>" + s.name +
         "</title><style>body{font:14px sans-serif;margin:2em}td{padding:0 1em 0 "
         "0}text{font-size:12px}</style><h1>" +
         s.name + ", seed " + std::to_string(s.seed) + "</h1><p>" +
         (r.violations.empty() ? "Kept." : "Broken.") + " Acts taken " + std::to_string(r.acts_taken) +
         ", two holders " + std::to_string(r.two_holders) + ", stale acts refused " +
         std::to_string(r.stale_acts_refused) + ", gaps " + std::to_string(r.gaps.size()) + ", the longest " +
         std::to_string(percentile(r.gaps, 1) / 1000) + " ms.</p><ul>" + broken +
         "</ul><p>Time against member. Bars: who holds the reading of the list of its zone. Red: "
         "faults.</p>" +
         "<svg width='" + std::to_string(kLeft + kWidth + 20) + "' height='" + std::to_string(height) + "'>" +
         body + "</svg><table>" + rows + "</table>\n";
}

}  // namespace woadridge::lab
