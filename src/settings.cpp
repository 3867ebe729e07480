#include "settings.h"

#include <algorithm>

namespace woadridge {
namespace {

constexpr Micros kAnswerAhead = 5'000;  // way back to the client, and a busy core's delay of the timer ...
constexpr Micros kAheadPart = 10;       // ... but no more than a tenth of a short patience
constexpr Micros kLeastTime = 1'000;

// The part of a list setting that belongs to item i; empty when the list is shorter.
std::string_view item(const std::vector<std::string_view>& list, std::size_t i) {
  return i < list.size() ? list[i] : std::string_view();
}

ClassSettings read_class(const Fields& values, std::size_t i) {
  const std::string at = "grades." + std::to_string(i) + ".";
  ClassSettings c;
  c.name = values.text(at + "name");
  c.effect =
      choose<Effect>("effect", values.text_or(at + "effect", "repeatable"),
                     {{"repeatable", Effect::safe}, {"by_key", Effect::keyed}, {"once", Effect::unsafe}});
  c.scope = choose<Scope>("key scope", values.text_or(at + "key-scope", "all"),
                          {{"all", Scope::all}, {"zone", Scope::zone}, {"cell", Scope::group}});
  c.memory = values.whole_or(at + "memory-span", 0);
  c.aim = values.whole_or(at + "target", 0);
  c.stretch = values.number_or(at + "aim-stretch", 0);
  c.deadline = values.whole_or(at + "hard-limit", 0);
  c.late_worth = values.number_or(at + "late-worth", 0);
  c.worth = values.number_or(at + "worth", 1);
  const auto stretches = split(values.text_or("domain.class-stretch", ""), ',');
  if (!item(stretches, i).empty()) c.stretch = parse_real("domain.class-stretch", stretches[i]);
  // The kind is named, or counted in the list of kinds; -1 stands for any.
  const auto needed = split(values.text_or("domain.class-kind", ""), ',');
  const auto word = item(needed, i);
  if (!word.empty() && word != "-1") {
    const auto kinds = split(values.text_or("kinds", ""), ',');
    std::size_t number = 0;
    const auto [stop, fault] = std::from_chars(word.data(), word.data() + word.size(), number);
    const bool counted = fault == std::errc() && stop == word.data() + word.size() && number < kinds.size();
    c.worker_kind = counted ? kinds[number] : word;
  }
  return c;
}

TenantSettings read_tenant(const Fields& values, std::size_t i) {
  const std::string at = "accounts." + std::to_string(i) + ".";
  return {std::string(values.text(at + "name")), values.number_or(at + "share", 0),
          values.number_or(at + "quota-per-s", 0)};
}

void read_limits(const Fields& values, Settings& s) {
  s.max_attempts = static_cast<int>(values.whole_or("limits.max-attempts", 1));
  s.may_cancel = values.flag_or("limits.cancelling", false);
  s.may_probe = values.flag_or("limits.probes", false);
  s.may_copy = values.flag_or("limits.second-copies", false);
  s.may_tell = values.flag_or("limits.peers", false);
  s.may_hold_off = values.flag_or("limits.retry-after", false);
  s.max_hold_off = values.whole_or("limits.max-retry-after", 0);
  s.connect_timeout = values.whole_or("limits.dial-timeout", 0);
  s.drain_grace = values.whole_or("obligations.drain-grace", 0);
  s.must_ask_in = values.whole_or("obligations.must-ask-in", 0);
  s.cold_from = values.number_or("obligations.cold-from", 1);
  s.warm_after = values.whole_or("obligations.warm-after", 0);
  s.overload_factor = values.number_or("obligations.overload-factor", 0);
  s.overload_span = values.whole_or("obligations.overload-for", 0);
}

}  // namespace

Micros time_to_answer(Micros told, Micros on_the_way) {
  return std::max(kLeastTime, told - on_the_way - std::min(kAnswerAhead, told / kAheadPart));
}

// The report value with the given meaning: "x0" or "x1" by what the settings say of them.
ReportFields read_report_fields(const Fields& values) {
  ReportFields fields;
  for (const auto name : split(values.text_or("load-info.fields", ""), ','))
    if (values.text_or("domain.report-" + std::string(name), "") == "free_slots") fields.free_slots = name;
  return fields;
}

Settings read_settings(const Fields& values) {
  Settings s;
  s.fleet_size = static_cast<int>(values.whole_or("fleet-size", 1));
  s.zone = values.text_or("az", "");
  for (std::int64_t i = 0; i < values.whole_or("grades.count", 0); ++i)
    s.classes.push_back(read_class(values, i));
  for (std::int64_t i = 0; i < values.whole_or("accounts.count", 0); ++i)
    s.tenants.push_back(read_tenant(values, i));
  s.over_share_worth = values.number_or("over-share-worth", 1);
  s.list_mode = choose<ListMode>("list mode", values.text_or("membership-mode", "push"),
                                 {{"push", ListMode::pushed}, {"ask", ListMode::asked}});
  s.weights = choose<Weights>("weight-source", values.text_or("weight-source", "nominal"),
                              {{"none", Weights::none},
                               {"nominal", Weights::nominal},
                               {"rough", Weights::rough},
                               {"live", Weights::live}});
  s.reports = choose<ReportSource>(
      "report source", values.text_or("load-info.via", "none"),
      {{"none", ReportSource::none}, {"answers", ReportSource::answers}, {"probe", ReportSource::probes}});
  s.tells_start = values.flag_or("domain.tells-start", false);
  s.progress_every = values.whole_or("domain.progress", 0);
  s.tick = values.whole_or("tick", 0);
  read_limits(values, s);
  return s;
}

NetworkSettings read_network_settings(const Fields& values) {
  NetworkSettings n;
  n.idle_limit = values.whole_or("limits.conn-idle", 0);
  for (std::int64_t i = 0; i < values.whole_or("grades.count", 0); ++i)
    n.longest_deadline =
        std::max(n.longest_deadline, values.whole_or("grades." + std::to_string(i) + ".hard-limit", 0));
  return n;
}

}  // namespace woadridge
