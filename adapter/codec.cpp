#include "codec.h"

#include <charconv>
#include <cmath>

namespace woadridge::wire {
namespace {

template <typename Number>
Number parse(std::string_view key, std::string_view value) {
  Number number{};
  const char* end = value.data() + value.size();
  const auto [stop, fault] = std::from_chars(value.data(), end, number);
  if (fault != std::errc() || stop != end)
    throw Malformed(std::string(key) + " is not a number: " + std::string(value));
  return number;
}

double parse_real(std::string_view key, std::string_view value) {
  const double number = parse<double>(key, value);
  if (!std::isfinite(number)) throw Malformed(std::string(key) + " is not finite");
  return number;
}

bool parse_flag(std::string_view key, std::string_view value) {
  if (value == "1" || value == "true") return true;
  if (value == "0" || value == "false") return false;
  throw Malformed(std::string(key) + " is not a truth value: " + std::string(value));
}

std::vector<std::string_view> split(std::string_view text, char mark) {
  std::vector<std::string_view> parts;
  while (!text.empty()) {
    const auto at = text.find(mark);
    parts.push_back(text.substr(0, at));
    if (at == std::string_view::npos) break;
    text.remove_prefix(at + 1);
  }
  return parts;
}

template <typename Value>
Value choose(std::string_view what, std::string_view word,
             std::initializer_list<std::pair<std::string_view, Value>> options) {
  for (const auto& [name, value] : options)
    if (name == word) return value;
  throw Malformed("unknown " + std::string(what) + ": " + std::string(word));
}

// The part of a list setting that belongs to item i; empty when the list is shorter.
std::string_view item(const std::vector<std::string_view>& list, std::size_t i) {
  return i < list.size() ? list[i] : std::string_view();
}

ClassSettings read_class(const Line& line, std::size_t i) {
  const std::string at = "grades." + std::to_string(i) + ".";
  ClassSettings c;
  c.name = line.text(at + "name");
  c.effect =
      choose<Effect>("effect", line.text_or(at + "effect", "repeatable"),
                     {{"repeatable", Effect::safe}, {"by_key", Effect::keyed}, {"once", Effect::unsafe}});
  c.scope = choose<Scope>("key scope", line.text_or(at + "key-scope", "all"),
                          {{"all", Scope::all}, {"zone", Scope::zone}, {"cell", Scope::group}});
  c.memory = line.whole_or(at + "memory-span", 0);
  c.aim = line.whole_or(at + "target", 0);
  c.stretch = line.number_or(at + "aim-stretch", 0);
  c.deadline = line.whole_or(at + "hard-limit", 0);
  c.late_worth = line.number_or(at + "late-worth", 0);
  c.worth = line.number_or(at + "worth", 1);
  c.streamed = line.flag_or(at + "streamed", false);
  const auto stretches = split(line.text_or("domain.class-stretch", ""), ',');
  if (!item(stretches, i).empty()) c.stretch = parse_real("domain.class-stretch", stretches[i]);
  // The kind is named, or counted in the list of kinds; -1 stands for any.
  const auto needed = split(line.text_or("domain.class-kind", ""), ',');
  const auto word = item(needed, i);
  if (!word.empty() && word != "-1") {
    const auto kinds = split(line.text_or("kinds", ""), ',');
    std::size_t number = 0;
    const auto [stop, fault] = std::from_chars(word.data(), word.data() + word.size(), number);
    const bool counted = fault == std::errc() && stop == word.data() + word.size() && number < kinds.size();
    c.worker_kind = counted ? kinds[number] : word;
  }
  return c;
}

TenantSettings read_tenant(const Line& line, std::size_t i) {
  const std::string at = "accounts." + std::to_string(i) + ".";
  return {std::string(line.text(at + "name")), line.number_or(at + "share", 0),
          line.number_or(at + "quota-per-s", 0)};
}

void read_limits(const Line& line, Settings& s) {
  s.max_attempts = static_cast<int>(line.whole_or("limits.max-attempts", 1));
  s.may_cancel = line.flag_or("limits.cancelling", false);
  s.may_probe = line.flag_or("limits.probes", false);
  s.may_copy = line.flag_or("limits.second-copies", false);
  s.may_hold_off = line.flag_or("limits.retry-after", false);
  s.max_hold_off = line.whole_or("limits.max-retry-after", 0);
  s.connect_timeout = line.whole_or("limits.dial-timeout", 0);
  s.drain_grace = line.whole_or("obligations.drain-grace", 0);
  s.must_ask_in = line.whole_or("obligations.must-ask-in", 0);
  s.cold_from = line.number_or("obligations.cold-from", 1);
  s.warm_after = line.whole_or("obligations.warm-after", 0);
  s.overload_factor = line.number_or("obligations.overload-factor", 0);
  s.overload_span = line.whole_or("obligations.overload-for", 0);
}

// The report value with the given meaning: "x0" or "x1" by what the settings say of them.
ReportFields read_fields(const Line& line) {
  ReportFields fields;
  for (const auto name : split(line.text_or("load-info.fields", ""), ',')) {
    if (line.text_or("domain.report-" + std::string(name), "") == "free_slots") fields.free_slots = name;
    if (name == "cpu") fields.busy_share = name;
  }
  return fields;
}

}  // namespace

Line::Line(std::string_view text) {
  auto parts = split(text, ' ');
  if (parts.empty() || parts[0].empty()) throw Malformed("empty line");
  name = parts[0];
  for (std::size_t i = 1; i < parts.size(); ++i) {
    const auto at = parts[i].find('=');
    if (at == std::string_view::npos) throw Malformed("not a name=value pair: " + std::string(parts[i]));
    fields.emplace_back(parts[i].substr(0, at), parts[i].substr(at + 1));
  }
}

const std::string_view* Line::find(std::string_view key) const {
  for (const auto& field : fields)
    if (field.first == key) return &field.second;
  return nullptr;
}

std::string_view Line::text(std::string_view key) const {
  const auto* value = find(key);
  if (value == nullptr || value->empty()) throw Malformed("missing " + std::string(key));
  return *value;
}

std::string_view Line::text_or(std::string_view key, std::string_view fallback) const {
  const auto* value = find(key);
  return value == nullptr ? fallback : *value;
}

std::int64_t Line::whole(std::string_view key) const {
  return parse<std::int64_t>(key, text(key));
}

std::int64_t Line::whole_or(std::string_view key, std::int64_t fallback) const {
  const auto* value = find(key);
  return value == nullptr ? fallback : parse<std::int64_t>(key, *value);
}

std::uint64_t Line::natural(std::string_view key) const {
  return parse<std::uint64_t>(key, text(key));
}

double Line::number_or(std::string_view key, double fallback) const {
  const auto* value = find(key);
  return value == nullptr ? fallback : parse_real(key, *value);
}

bool Line::flag_or(std::string_view key, bool fallback) const {
  const auto* value = find(key);
  return value == nullptr ? fallback : parse_flag(key, *value);
}

Provision read_provision(const Line& line) {
  Provision p;
  Settings& s = p.settings;
  s.seed = line.natural("init-seed");
  s.fleet_size = static_cast<int>(line.whole_or("fleet-size", 1));
  s.zone = line.text_or("az", "");
  for (std::int64_t i = 0; i < line.whole_or("grades.count", 0); ++i)
    s.classes.push_back(read_class(line, i));
  for (std::int64_t i = 0; i < line.whole_or("accounts.count", 0); ++i)
    s.tenants.push_back(read_tenant(line, i));
  s.over_share_worth = line.number_or("over-share-worth", 1);
  s.list_mode = choose<ListMode>("list mode", line.text_or("membership-mode", "push"),
                                 {{"push", ListMode::pushed}, {"ask", ListMode::asked}});
  s.reports = choose<ReportSource>(
      "report source", line.text_or("load-info.via", "none"),
      {{"none", ReportSource::none}, {"answers", ReportSource::answers}, {"probe", ReportSource::probes}});
  s.tells_start = line.flag_or("domain.tells-start", false);
  s.progress_every = line.whole_or("domain.progress", 0);
  s.tick = line.whole_or("tick", 0);
  read_limits(line, s);
  p.fields = read_fields(line);
  return p;
}

WorkerInfo read_worker(const Line& line) {
  WorkerInfo w;
  w.id = line.text("worker");
  w.kind = line.text_or("shape", "");
  w.zone = line.text_or("zone", "");
  w.group = line.whole_or("stripe", 0);
  w.size = line.number_or("share", 1);
  w.started = line.whole_or("online-since", 0);
  w.phase = choose<Phase>("phase", line.text_or("phase", "on"),
                          {{"on", Phase::serving}, {"fading", Phase::draining}, {"off", Phase::gone}});
  return w;
}

ListKind read_list_kind(std::string_view word) {
  return choose<ListKind>("list kind", word,
                          {{"delta", ListKind::changes},
                           {"full", ListKind::full},
                           {"cached", ListKind::remembered},
                           {"failed", ListKind::failed}});
}

Result read_result(std::string_view word) {
  return choose<Result>("verdict", word,
                        {{"pass", Result::ok},
                         {"fault", Result::error},
                         {"no_room", Result::full},
                         {"too_slow", Result::timed_out},
                         {"no_route", Result::no_connection},
                         {"cut", Result::broken},
                         {"undone", Result::cancelled},
                         {"stale_send", Result::never_sent}});
}

Report read_report(std::string_view telemetry, const ReportFields& fields) {
  Report report;
  for (const auto pair : split(telemetry, ',')) {
    const auto at = pair.find(':');
    if (at == std::string_view::npos) throw Malformed("not a name:value pair: " + std::string(pair));
    const auto name = pair.substr(0, at);
    if (!fields.free_slots.empty() && name == fields.free_slots)
      report.free_slots = parse_real(name, pair.substr(at + 1));
    if (!fields.busy_share.empty() && name == fields.busy_share)
      report.busy_share = parse_real(name, pair.substr(at + 1));
  }
  return report;
}

Arrival read_arrival(const Line& line) {
  Arrival a;
  a.id = line.natural("job");
  a.class_name = line.text("tier-class");
  a.tenant = line.text_or("org", "");
  a.time_left = line.whole("ttl");
  if (line.find("cost-guess") != nullptr) a.hint = line.whole("cost-guess");
  a.slots = line.number_or("needs", 1);
  a.repeated = line.flag_or("resent", false);
  return a;
}

Outcome read_outcome(const Line& line, const ReportFields& fields) {
  Outcome o;
  o.id = line.natural("job");
  o.attempt = static_cast<int>(line.whole_or("round-no", 0));
  o.worker = line.text("worker");
  o.result = read_result(line.text("verdict"));
  o.finished = line.flag_or("last", false);
  o.report = read_report(line.text_or("telemetry", ""), fields);
  return o;
}

namespace {

struct Writer {
  std::string& out;
  std::string instance;

  std::string& begin(std::string_view name) {
    return out.append(name).append(" dispatcher-id=").append(instance);
  }
  void request(std::string_view name, RequestId id) {
    begin(name).append(" job=").append(std::to_string(id));
  }
  void operator()(const Send& a) {
    request("ATTEMPT", a.id);
    if (a.timeout != 0) out.append(" patience=").append(std::to_string(a.timeout));
    out.append(" worker=").append(a.worker).append("\n");
  }
  void operator()(const Refuse& a) {
    request("DECLINE", a.id);
    if (a.hold_off != 0) out.append(" hold-off=").append(std::to_string(a.hold_off));
    out.append("\n");
  }
  void operator()(const Fail& a) {
    request("FAIL", a.id);
    out.append("\n");
  }
  void operator()(const Cancel& a) {
    request("UNDO_SEND", a.id);
    out.append(" round-no=").append(std::to_string(a.attempt)).append("\n");
  }
  void operator()(const Probe& a) { begin("INSPECT").append(" worker=").append(a.worker).append("\n"); }
  void operator()(const Subscribe&) { begin("LISTEN").append(" active=1\n"); }
  void operator()(const SetTimer& a) {
    begin("DEFER").append(" at=").append(std::to_string(a.at));
    out.append(" tag=").append(std::to_string(a.token)).append("\n");
  }
  void operator()(const Remark& a) { begin("REMARK").append(" message=").append(a.text).append("\n"); }
};

}  // namespace

void write_action(std::int64_t instance, const Action& action, std::string& out) {
  std::visit(Writer{out, std::to_string(instance)}, action);
}

}  // namespace woadridge::wire
