#include "lab/figures.h"

#define XXH_STATIC_LINKING_ONLY
#include <xxhash.h>

#include <algorithm>
#include <array>
#include <cmath>
#include <map>
#include <unordered_map>

#include "lab/histogram.h"

namespace woadridge::lab {
namespace {

constexpr double kBigPart = 0.99;  // the largest hundredth of the jobs is shown apart
constexpr std::array kPercentiles{0.5, 0.75, 0.9, 0.95, 0.99, 0.999};
constexpr std::size_t kMostRows = 200;  // workers in a report's map of states; of more, evenly spaced ones

double rounded(double value) {  // six significant digits: no more is known, and it reads better
  if (value == 0 || !std::isfinite(value)) return 0;
  const double scale = std::pow(10.0, 5 - std::floor(std::log10(std::abs(value))));
  return std::round(value * scale) / scale;
}

double ms(double us) {
  return rounded(us / 1000);
}

enum class End { in_time, late, refused, failed, unreached };
constexpr std::array kEnds{"in_time", "late", "refused", "failed", "unreached"};

struct Chain {  // a first try with its retries, as one wish of a client
  const Ask* first = nullptr;
  const Ask* last = nullptr;
  End end = End::unreached;
  Micros took = 0;  // from when it was due to its final answer
};

End end_of(const ClassSettings& rules, const Chain& c) {
  const Ask& a = *c.last;
  if (a.kind == 's' && a.answered <= a.deadline) {
    const double wanted = static_cast<double>(rules.aim) + rules.stretch * a.work;
    return static_cast<double>(a.answered - a.due) <= wanted ? End::in_time : End::late;
  }
  if (a.kind == 'r') return End::refused;
  return a.taken ? End::failed : End::unreached;
}

class Summary {
 public:
  Summary(const Scenario& scenario, const Played& run) : scenario_(scenario), run_(run) {
    chain_up();
    const auto seconds = static_cast<std::size_t>((scenario.length + 999'999) / 1'000'000);
    course_.resize(seconds);
    by_class_.resize(scenario.classes.size());
    by_tenant_.resize(scenario.tenants.size());
    for (const auto& [id, chain] : chains_) count(chain);
    count_work();
  }

  Json figures() const {
    Json f;
    const auto& r = run_.result;
    f["requests"] = chains_.size();
    f["asks"] = r.records.asks.size();
    f["goodput"] = rounded(asked_ > 0 ? earned_ / asked_ : 0);
    for (std::size_t i = 0; i < kEnds.size(); ++i)
      f[std::string(kEnds[i]) + "_share"] = rounded(part(static_cast<double>(ends_[i]), chains_.size()));
    f["attempts_per_request"] = rounded(part(static_cast<double>(r.records.sends.size()), chains_.size()));
    f["wasted_work_share"] = rounded(worked_ > 0 ? wasted_ / worked_ : 0);
    f["mean_ms"] = ms(all_.mean());
    f["p50_ms"] = ms(static_cast<double>(all_.quantile(0.5)));
    f["p95_ms"] = ms(static_cast<double>(all_.quantile(0.95)));
    f["p99_ms"] = ms(static_cast<double>(all_.quantile(0.99)));
    f["p999_ms"] = ms(static_cast<double>(all_.quantile(0.999)));
    f["small_mean_slowdown"] = rounded(slow_small_.mean() / 1000);
    f["small_p99_slowdown"] = rounded(static_cast<double>(slow_small_.quantile(0.99)) / 1000);
    f["big_mean_slowdown"] = rounded(slow_big_.mean() / 1000);
    f["big_p99_slowdown"] = rounded(static_cast<double>(slow_big_.quantile(0.99)) / 1000);
    f["worst_class_goodput"] = rounded(worst(by_class_));
    f["worst_tenant_goodput"] = rounded(worst(by_tenant_));
    f["worst_10s_goodput"] = rounded(worst_span(10));
    for (int rule = 1; rule <= 4; ++rule)
      f["rule" + std::to_string(rule) + "_breaches"] = run_.verdict.counts[rule];
    f["keys_run_twice"] = run_.verdict.keys_run_twice;
    if (!run_.processes.empty()) add_processes(f);
    return f;
  }

  void add_processes(Json& f) const {
    double cpu = 0, memory = 0;
    int descriptors = 0;
    for (const auto& p : run_.processes) {
      cpu += p.cpu;  // a sample a second
      memory = std::max(memory, p.memory_mb);
      descriptors = std::max(descriptors, p.descriptors);
    }
    f["dispatcher_cpu_us_per_request"] = rounded(1e6 * part(cpu, run_.result.records.asks.size()));
    f["dispatcher_memory_mb"] = rounded(memory);
    f["dispatcher_descriptors"] = descriptors;
  }

  Json classes() const {
    Json list = Json::array();
    for (std::size_t i = 0; i < by_class_.size(); ++i) {
      const Group& g = by_class_[i];
      Json c{{"name", scenario_.classes[i].rules.name},
             {"requests", g.count},
             {"goodput", rounded(g.asked > 0 ? g.earned / g.asked : 0)}};
      for (const double p : kPercentiles)
        c["percentiles_ms"].push_back(ms(static_cast<double>(g.took.quantile(p))));
      list.push_back(std::move(c));
    }
    return list;
  }

  Json tenants() const {
    double shares = 0, earned = 0, asked = 0;
    for (const auto& t : scenario_.tenants) shares += t.share;
    for (const Group& g : by_tenant_) earned += g.earned, asked += g.asked;
    Json list = Json::array();
    for (std::size_t i = 0; i < by_tenant_.size(); ++i) {
      const Group& g = by_tenant_[i];
      list.push_back({{"name", scenario_.tenants[i].name},
                      {"share", rounded(scenario_.tenants[i].share / shares)},
                      {"asked", rounded(asked > 0 ? g.asked / asked : 0)},
                      {"served", rounded(earned > 0 ? g.earned / earned : 0)},
                      {"goodput", rounded(g.asked > 0 ? g.earned / g.asked : 0)}});
    }
    return list;
  }

  Json course() const {  // by second, of when it was due
    Json c;
    for (std::size_t i = 0; i < kEnds.size(); ++i)
      for (const auto& s : course_) c[kEnds[i]].push_back(s.ends[i]);
    for (const auto& s : course_) {
      c["goodput"].push_back(rounded(s.asked > 0 ? s.earned / s.asked : 1));
      c["p50_ms"].push_back(ms(static_cast<double>(s.took.quantile(0.5))));
      c["p99_ms"].push_back(ms(static_cast<double>(s.took.quantile(0.99))));
      c["small_slowdown"].push_back(rounded(s.slow_small.mean() / 1000));
      c["big_slowdown"].push_back(rounded(s.slow_big.mean() / 1000));
      c["attempts"].push_back(s.attempts);
      c["retries"].push_back(s.retries);
    }
    return c;
  }

 private:
  struct Group {
    std::uint64_t count = 0;
    double asked = 0, earned = 0;
    Histogram took;
  };
  struct Second {
    std::array<std::uint64_t, 5> ends{};
    double asked = 0, earned = 0;
    std::uint64_t attempts = 0, retries = 0;
    Histogram took, slow_small, slow_big;
  };

  void chain_up() {
    std::unordered_map<std::uint64_t, std::size_t> at;
    std::vector<double> works;
    for (const Ask& a : run_.result.records.asks) {
      const auto [place, fresh] = at.emplace(a.chain, chains_.size());
      if (fresh) {
        chains_.push_back({a.chain, Chain{&a, &a}});
        works.push_back(a.work);
      }
      chains_[place->second].second.last = &a;
    }
    if (works.empty()) return;
    const auto cut = static_cast<std::ptrdiff_t>(kBigPart * static_cast<double>(works.size() - 1));
    std::nth_element(works.begin(), works.begin() + cut, works.end());
    big_from_ = works[static_cast<std::size_t>(cut)];
  }

  std::size_t second_of(Micros at) const {
    const Micros s = (at - run_.result.records.begin) / 1'000'000;
    return static_cast<std::size_t>(std::clamp<Micros>(s, 0, static_cast<Micros>(course_.size()) - 1));
  }

  void count(Chain chain) {
    const Ask& first = *chain.first;
    const ClassSettings& rules = scenario_.classes[static_cast<std::size_t>(first.class_index)].rules;
    chain.end = end_of(rules, chain);
    chain.took = chain.last->answered == kNever ? 0 : chain.last->answered - first.due;
    const double worth = rules.worth * first.work;
    const double gets = chain.end == End::in_time ? worth
                        : chain.end == End::late  ? rules.late_worth * worth
                                                  : 0;
    Second& s = course_[second_of(first.due)];
    ++ends_[static_cast<std::size_t>(chain.end)];
    ++s.ends[static_cast<std::size_t>(chain.end)];
    Group& c = by_class_[static_cast<std::size_t>(first.class_index)];
    Group& t = by_tenant_[static_cast<std::size_t>(first.tenant_index)];
    for (auto* sum : {&asked_, &s.asked, &c.asked, &t.asked}) *sum += worth;
    for (auto* sum : {&earned_, &s.earned, &c.earned, &t.earned}) *sum += gets;
    ++c.count;
    ++t.count;
    if (chain.end != End::in_time && chain.end != End::late) return;
    for (auto* h : {&all_, &s.took, &c.took, &t.took}) h->add(chain.took);
    const auto slowdown = static_cast<std::int64_t>(1000 * static_cast<double>(chain.took) / first.work);
    const bool big = first.work > big_from_;
    (big ? slow_big_ : slow_small_).add(slowdown);
    (big ? s.slow_big : s.slow_small).add(slowdown);
  }

  // Work that was begun for requests whose client got nothing of it, and all that a repeat did again.
  void count_work() {
    const Records& records = run_.result.records;
    for (const Sent& s : records.sends) ++course_[second_of(s.first_byte)].attempts;
    std::unordered_map<RequestId, const Ask*> asks;
    for (const Ask& a : records.asks) {
      asks[a.request] = &a;
      if (a.number > 0) ++course_[second_of(a.asked)].retries;
    }
    std::unordered_map<RequestId, int> useful;
    for (const Run& r : records.runs) {
      const Ask& a = *asks.at(r.request);
      worked_ += a.work;
      const bool served = a.kind == 's' && a.answered <= a.deadline && r.ended != kNever;
      if (!served || useful[r.request]++ > 0) wasted_ += a.work;
    }
  }

  static double part(double of, std::size_t all) { return all == 0 ? 0 : of / static_cast<double>(all); }
  static double worst(const std::vector<Group>& groups) {
    double least = 1;
    for (const Group& g : groups)
      if (g.asked > 0) least = std::min(least, g.earned / g.asked);
    return least;
  }
  double worst_span(std::size_t span) const {
    double least = 1;
    for (std::size_t from = 0; from + span <= course_.size(); ++from) {
      double asked = 0, earned = 0;
      for (std::size_t i = from; i < from + span; ++i) asked += course_[i].asked, earned += course_[i].earned;
      if (asked > 0) least = std::min(least, earned / asked);
    }
    return least;
  }

  const Scenario& scenario_;
  const Played& run_;
  std::vector<std::pair<std::uint64_t, Chain>> chains_;
  double big_from_ = 0;
  std::array<std::uint64_t, 5> ends_{};
  double asked_ = 0, earned_ = 0, worked_ = 0, wasted_ = 0;
  Histogram all_, slow_small_, slow_big_;
  std::vector<Group> by_class_, by_tenant_;
  std::vector<Second> course_;
};

Json troubles_of(const Scenario& scenario) {
  Json list = Json::array();
  for (const auto& t : scenario.troubles) {
    std::string whom = !t.worker.empty() ? t.worker : !t.tenant.empty() ? t.tenant : t.zone;
    if (t.group >= 0) whom.append(" group ").append(std::to_string(t.group));
    if (t.share > 0) whom.append(" ").append(std::to_string(std::lround(100 * t.share))).append("%");
    list.push_back({{"kind", name_of(t.kind)},
                    {"at_s", rounded(static_cast<double>(t.at) / 1e6)},
                    {"for_s", rounded(static_cast<double>(t.span) / 1e6)},
                    {"whom", whom}});
  }
  return list;
}

Json states_of(const RunResult& result) {
  Json rows = Json::array();
  const std::size_t count = result.records.workers.size();
  const std::size_t step = (count + kMostRows - 1) / kMostRows;
  for (std::size_t w = 0; w < count && !result.samples.empty(); w += step) {
    Json jobs = Json::array();
    std::string doing;
    for (const Sample& s : result.samples) {
      jobs.push_back(s.jobs[w]);
      doing += static_cast<char>(s.doing[w]);
    }
    rows.push_back({{"name", result.records.workers[w].name},
                    {"zone", result.records.workers[w].zone},
                    {"capacity", rounded(result.records.workers[w].capacity)},
                    {"doing", doing},
                    {"jobs", jobs}});
  }
  return rows;
}

Json processes_of(const std::vector<ProcessSample>& samples) {
  std::map<std::string, Json> by_name;
  for (const auto& s : samples) {
    Json& p = by_name[s.name];
    p["name"] = s.name;
    p["at_s"].push_back(rounded(static_cast<double>(s.at) / 1e6));
    p["cpu"].push_back(rounded(s.cpu));
    p["memory_mb"].push_back(rounded(s.memory_mb));
    p["descriptors"].push_back(s.descriptors);
  }
  Json list = Json::array();
  for (auto& [name, p] : by_name) list.push_back(std::move(p));
  return list;
}

}  // namespace

Rules rules_for(const Scenario& s, Micros slack) {
  Rules rules;
  for (const auto& c : s.classes) rules.classes.push_back(c.rules);
  rules.drain_grace = s.limits.drain_grace;
  rules.slack = slack;
  rules.cold_from = s.fleet.cold_from;
  rules.warm_after = s.fleet.warm_after;
  rules.overload_factor = s.fleet.overload_factor;
  rules.overload_span = s.fleet.overload_for;
  return rules;
}

Played play_virtual(const Scenario& scenario, Policy policy, const RunOptions& options) {
  Played played{name_of(policy), run_virtual(scenario, policy, options), {}, {}};
  played.verdict = judge(rules_for(scenario, 0), played.result.records);
  return played;
}

Json report_of(const Scenario& scenario, const std::string& mode, const std::vector<Played>& runs) {
  Json report{{"woadridge_lab", 1},
              {"scenario", scenario.name},
              {"about", scenario.about},
              {"mode", mode},
              {"seed", scenario.seed},
              {"length_s", rounded(static_cast<double>(scenario.length) / 1e6)},
              {"dispatchers", scenario.dispatchers},
              {"workers", scenario.fleet.workers},
              {"requests_per_s", 0},
              {"partial", false},
              {"rules_kept", true}};
  report["troubles"] = troubles_of(scenario);
  report["percentiles"] = kPercentiles;
  report["runs"] = Json::array();
  for (const Played& run : runs) {
    const Summary summary(scenario, run);
    Json r{{"policy", run.label}, {"digest", digest_of(run.result.records)}};
    r["figures"] = summary.figures();
    r["classes"] = summary.classes();
    r["tenants"] = summary.tenants();
    r["course"] = summary.course();
    r["breaches"] = Json::array();
    for (const auto& b : run.verdict.breaches) r["breaches"].push_back({{"rule", b.rule}, {"what", b.what}});
    if (&run == &runs.front()) {
      r["states"] = states_of(run.result);
      report["rules_kept"] = run.verdict.kept();
      report["requests_per_s"] =
          rounded(r["figures"]["requests"].get<double>() / (static_cast<double>(scenario.length) / 1e6));
    }
    if (!run.processes.empty()) r["processes"] = processes_of(run.processes);
    report["partial"] = report["partial"].get<bool>() || run.result.partial;
    report["runs"].push_back(std::move(r));
  }
  return report;
}

std::string digest_of(const Records& records) {
  XXH3_state_t state;
  XXH3_128bits_reset(&state);
  const auto put = [&](const auto&... values) { (XXH3_128bits_update(&state, &values, sizeof values), ...); };
  for (const Ask& a : records.asks)
    put(a.request, a.chain, a.class_index, a.tenant_index, a.number, a.work, a.due, a.asked, a.taken,
        a.killed, a.left, a.answers, a.answered, a.kind, a.hold_off);
  for (const Sent& s : records.sends)
    put(s.request, s.attempt, s.dispatcher, s.worker, s.first_byte, s.received, s.given_back);
  for (const Run& r : records.runs) put(r.request, r.key, r.worker, r.began, r.ended);
  for (const Told& t : records.told) put(t.dispatcher, t.worker, t.phase, t.at);
  const XXH128_hash_t hash = XXH3_128bits_digest(&state);
  char text[33];
  std::snprintf(text, sizeof text, "%016llx%016llx", static_cast<unsigned long long>(hash.high64),
                static_cast<unsigned long long>(hash.low64));
  return text;
}

std::string events_csv(const Records& records) {
  std::vector<std::pair<Micros, std::string>> lines;
  const auto add = [&](Micros at, const char* what, RequestId request, const std::string& more) {
    if (at == kNever) return;
    char text[96];
    std::snprintf(text, sizeof text, "%lld,%s,%llx,", static_cast<long long>(at - records.begin), what,
                  static_cast<unsigned long long>(request));
    lines.emplace_back(at, text + more);
  };
  for (const Ask& a : records.asks) {
    add(a.asked, "asked", a.request,
        "dispatcher " + std::to_string(a.dispatcher) + " try " + std::to_string(a.number));
    add(a.answered, a.kind == 's' ? "served" : a.kind == 'r' ? "refused" : "failed", a.request, "");
  }
  for (const Sent& s : records.sends) {
    const std::string more = records.workers[s.worker].name + " attempt " + std::to_string(s.attempt);
    add(s.first_byte, s.received == kNever ? "sent in vain" : "sent", s.request, more);
    add(s.given_back, "given back", s.request, more);
  }
  for (const Run& r : records.runs) {
    add(r.began, "began", r.request, records.workers[r.worker].name);
    add(r.ended, "ended", r.request, records.workers[r.worker].name);
  }
  for (const Told& t : records.told)
    add(t.at,
        t.phase == Phase::serving    ? "told ready"
        : t.phase == Phase::draining ? "told draining"
                                     : "told gone",
        0, records.workers[t.worker].name + " to dispatcher " + std::to_string(t.dispatcher));
  std::stable_sort(lines.begin(), lines.end(), [](auto& a, auto& b) { return a.first < b.first; });
  std::string csv = "at_us,event,request,more\n";
  for (const auto& [at, line] : lines) csv += line + "\n";
  return csv;
}

}  // namespace woadridge::lab
