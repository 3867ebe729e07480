#include "lab/scenario.h"

#include <toml++/toml.h>

#include <algorithm>
#include <charconv>
#include <filesystem>
#include <fstream>
#include <functional>
#include <limits>
#include <set>
#include <sstream>

#include "lab/clients.h"

namespace woadridge::lab {
namespace {

template <typename Value>
using Words = std::vector<std::pair<const char*, Value>>;

const Words<Policy> kPolicies{
    {"module", Policy::module},           {"module-unhinted", Policy::unhinted},   {"random", Policy::random},
    {"round-robin", Policy::round_robin}, {"least-of-two", Policy::least_of_two},  {"least", Policy::least},
    {"central", Policy::central},         {"central-split", Policy::central_split}};
const Words<TroubleKind> kTroubles{{"die", TroubleKind::die},
                                   {"hang", TroubleKind::hang},
                                   {"slow", TroubleKind::slow},
                                   {"reset", TroubleKind::reset},
                                   {"trickle", TroubleKind::trickle},
                                   {"refuse", TroubleKind::refuse},
                                   {"silent", TroubleKind::silent},
                                   {"fail", TroubleKind::fail},
                                   {"drain", TroubleKind::drain},
                                   {"partition", TroubleKind::partition},
                                   {"list-outage", TroubleKind::list_outage},
                                   {"release", TroubleKind::release},
                                   {"flood", TroubleKind::flood},
                                   {"burst", TroubleKind::burst},
                                   {"kill-dispatcher", TroubleKind::kill_dispatcher},
                                   {"restart-dispatcher", TroubleKind::restart_dispatcher},
                                   {"reload-dispatcher", TroubleKind::reload_dispatcher}};
const Words<Effect> kEffects{{"safe", Effect::safe}, {"keyed", Effect::keyed}, {"unsafe", Effect::unsafe}};
const Words<Scope> kScopes{{"all", Scope::all}, {"zone", Scope::zone}, {"group", Scope::group}};
const Words<Sizes::Kind> kSizes{{"fixed", Sizes::Kind::fixed},
                                {"exponential", Sizes::Kind::exponential},
                                {"pareto", Sizes::Kind::pareto},
                                {"lognormal", Sizes::Kind::lognormal},
                                {"table", Sizes::Kind::table}};
const Words<bool> kFollows{{"watch", true}, {"poll", false}};

constexpr double kLargest = 1e9;

class Faults {
 public:
  explicit Faults(std::string file) : file_(std::move(file)) {}
  void add(const toml::source_region& where, std::string what) {
    all_.push_back({where.begin.line, where.begin.column, std::move(what)});
  }
  bool none() const { return all_.empty(); }
  std::vector<Fault> sorted() {
    std::stable_sort(all_.begin(), all_.end(), [](auto& a, auto& b) {
      return std::pair(a.line, a.column) < std::pair(b.line, b.column);
    });
    std::vector<Fault> told;
    for (auto& f : all_)  // line 0: a key that was set from outside has no place in the file
      told.push_back({f.line == 0 ? file_ + ":set"
                                  : file_ + ":" + std::to_string(f.line) + ":" + std::to_string(f.column),
                      std::move(f.what)});
    return told;
  }

 private:
  struct Placed {
    toml::source_index line = 0, column = 0;
    std::string what;
  };
  std::string file_;
  std::vector<Placed> all_;
};

// Number and unit of a text such as "250ms"; no unit, no value.
std::optional<double> with_unit(std::string_view text,
                                std::initializer_list<std::pair<std::string_view, double>> units) {
  double number = 0;
  const char* end = text.data() + text.size();
  const auto [stop, bad] = std::from_chars(text.data(), end, number);
  if (bad != std::errc()) return std::nullopt;
  const std::string_view unit(stop, static_cast<std::size_t>(end - stop));
  for (const auto& [name, factor] : units)
    if (unit == name) return number * factor;
  return std::nullopt;
}

std::string plain(double number) {
  std::ostringstream text;
  text << number;
  return text.str();
}

std::string span_text(Micros span) {
  if (span % 1'000'000 == 0) return std::to_string(span / 1'000'000) + "s";
  if (span % 1'000 == 0) return std::to_string(span / 1'000) + "ms";
  return std::to_string(span) + "us";
}

// One table of the file: reads its keys by type and range, and tells of those that nobody asked for.
class Reader {
 public:
  Reader(const toml::table* table, std::string path, Faults& faults)
      : table_(table), path_(std::move(path)), faults_(faults) {}
  Reader(const Reader&) = delete;
  Reader& operator=(const Reader&) = delete;
  ~Reader() {
    if (table_ == nullptr) return;
    for (const auto& [key, node] : *table_)
      if (!known_.contains(std::string(key.str()))) {
        std::string names;
        for (const auto& k : known_) names += (names.empty() ? "" : ", ") + k;
        faults_.add(key.source().begin.line != 0 ? key.source() : node.source(),
                    "unknown key \"" + full(key.str()) + "\"; known here: " + names);
      }
  }

  Micros span(std::string_view key, Micros otherwise, Micros least = 0, Micros most = 86'400'000'000) {
    const toml::node* node = find(key);
    if (node == nullptr) return otherwise;
    std::optional<double> us;
    if (const auto text = node->value_exact<std::string>())
      us = with_unit(*text, {{"us", 1}, {"ms", 1e3}, {"s", 1e6}, {"min", 60e6}, {"h", 3600e6}});
    if (!us || *us < static_cast<double>(least) || *us > static_cast<double>(most))
      return wrong(key, *node,
                   "a span from " + span_text(least) + " to " + span_text(most) + ", such as \"250ms\""),
             otherwise;
    return static_cast<Micros>(*us);
  }

  double number(std::string_view key, double otherwise, double least, double most) {
    const toml::node* node = find(key);
    if (node == nullptr) return otherwise;
    std::optional<double> value;
    if (node->is_floating_point() || node->is_integer()) value = node->value<double>();
    if (const auto text = node->value_exact<std::string>()) value = with_unit(*text, {{"%", 0.01}});
    if (!value || !(*value >= least && *value <= most))
      return wrong(key, *node, "a number from " + plain(least) + " to " + plain(most) + " (or \"23%\")"),
             otherwise;
    return *value;
  }

  double share(std::string_view key, double otherwise) { return number(key, otherwise, 0, 1); }

  int whole(std::string_view key, int otherwise, int least, int most) {
    const toml::node* node = find(key);
    if (node == nullptr) return otherwise;
    const auto value = node->value_exact<std::int64_t>();
    if (!value || *value < least || *value > most)
      return wrong(key, *node,
                   "a whole number from " + std::to_string(least) + " to " + std::to_string(most)),
             otherwise;
    return static_cast<int>(*value);
  }

  bool flag(std::string_view key, bool otherwise) {
    const toml::node* node = find(key);
    if (node == nullptr) return otherwise;
    const auto value = node->value_exact<bool>();
    if (!value) return wrong(key, *node, "true or false"), otherwise;
    return *value;
  }

  std::string text(std::string_view key, std::string otherwise = {}) {
    const toml::node* node = find(key);
    if (node == nullptr) return otherwise;
    const auto value = node->value_exact<std::string>();
    if (!value) return wrong(key, *node, "a text"), otherwise;
    return *value;
  }

  template <typename Value>
  Value word(std::string_view key, Value otherwise, const Words<Value>& words) {
    const toml::node* node = find(key);
    return node == nullptr ? otherwise : one_word(key, *node, otherwise, words);
  }

  template <typename Value>
  std::vector<Value> word_list(std::string_view key, const Words<Value>& words) {
    std::vector<Value> list;
    const toml::node* node = find(key);
    if (node == nullptr) return list;
    if (!node->is_array()) return wrong(key, *node, "a list of names"), list;
    for (const auto& item : *node->as_array())
      list.push_back(one_word(key, item, words.front().second, words));
    return list;
  }

  std::vector<std::string> texts(std::string_view key, std::vector<std::string> otherwise) {
    const toml::node* node = find(key);
    if (node == nullptr) return otherwise;
    std::vector<std::string> list;
    if (node->is_array())
      for (const auto& item : *node->as_array())
        if (const auto value = item.value_exact<std::string>()) list.push_back(*value);
    if (list.empty() || list.size() != node->as_array()->size())
      return wrong(key, *node, "a list of names"), otherwise;
    return list;
  }

  std::vector<double> numbers(std::string_view key) {
    const toml::node* node = find(key);
    std::vector<double> list;
    if (node == nullptr) return list;
    if (node->is_array())
      for (const auto& item : *node->as_array())
        if (const auto value = item.value<double>(); value && *value > 0) list.push_back(*value);
    if (list.empty() || list.size() != node->as_array()->size())
      return wrong(key, *node, "a list of numbers above 0"), std::vector<double>{};
    return list;
  }

  void table(std::string_view key, const std::function<void(Reader&)>& read) {
    const toml::node* node = find(key);
    if (node != nullptr && !node->is_table()) return wrong(key, *node, "a table");
    Reader inner(node == nullptr ? nullptr : node->as_table(), full(key), faults_);
    read(inner);
  }

  void tables(std::string_view key, const std::function<void(Reader&)>& read) {
    const toml::node* node = find(key);
    if (node == nullptr) return;
    if (!node->is_array()) return wrong(key, *node, "a list of tables");
    std::size_t i = 0;
    for (const auto& item : *node->as_array()) {
      const std::string name = full(key) + "." + std::to_string(i++);
      if (!item.is_table()) {
        faults_.add(item.source(), name + ": expected a table");
        continue;
      }
      Reader inner(item.as_table(), name, faults_);
      read(inner);
    }
  }

  bool has(std::string_view key) const { return table_ != nullptr && table_->contains(key); }
  void wrong_at(std::string_view key, const std::string& what) {
    const toml::node* node = table_ == nullptr ? nullptr : table_->get(key);
    faults_.add(node != nullptr     ? node->source()
                : table_ != nullptr ? table_->source()
                                    : toml::source_region{},
                full(key) + ": " + what);
  }

 private:
  std::string full(std::string_view key) const {
    return path_.empty() ? std::string(key) : path_ + "." + std::string(key);
  }
  const toml::node* find(std::string_view key) {
    known_.insert(std::string(key));
    return table_ == nullptr ? nullptr : table_->get(key);
  }
  void wrong(std::string_view key, const toml::node& node, const std::string& expected) {
    faults_.add(node.source(), full(key) + ": expected " + expected);
  }
  template <typename Value>
  Value one_word(std::string_view key, const toml::node& node, Value otherwise, const Words<Value>& words) {
    std::string names;
    const auto value = node.value_exact<std::string>();
    for (const auto& [name, meaning] : words) {
      if (value && *value == name) return meaning;
      names += std::string(names.empty() ? "" : ", ") + name;
    }
    wrong(key, node, "one of " + names);
    return otherwise;
  }

  const toml::table* table_;
  std::string path_;
  Faults& faults_;
  std::set<std::string> known_;
};

void read_size(Reader& r, Sizes& size) {
  size.kind = r.word("kind", size.kind, kSizes);
  size.mean = static_cast<double>(r.span("mean", 100'000, 1));
  const bool pareto = size.kind == Sizes::Kind::pareto;
  size.shape = r.number("shape", pareto ? 1.5 : 1.0, 0.01, 100);
  size.ratio = r.number("ratio", 1000, 1.001, kLargest);
  size.values = r.numbers("values");
  if (size.kind == Sizes::Kind::table && size.values.empty())
    r.wrong_at("values", "expected a list of numbers above 0");
}

void read_class(Reader& r, Scenario& s) {
  ClassSpec c;
  c.rules.name = r.text("name");
  if (c.rules.name.empty()) r.wrong_at("name", "expected the class's name");
  c.rules.effect = r.word("effect", Effect::safe, kEffects);
  c.rules.scope = r.word("scope", Scope::all, kScopes);
  c.rules.memory = r.span("memory", 0);
  if (c.rules.effect == Effect::keyed && c.rules.memory <= 0)
    r.wrong_at("memory", "expected how long a keyed class's repeats are dropped");
  c.rules.aim = r.span("aim", 200'000);
  c.rules.stretch = r.number("stretch", 2, 0, 1000);
  c.rules.deadline = r.span("deadline", 5'000'000, 10'000);
  c.rules.late_worth = r.share("late_worth", 0.5);
  c.rules.worth = r.number("worth", 1, 0, kLargest);
  c.share = r.number("share", 1, 0, kLargest);
  r.table("size", [&](Reader& in) { read_size(in, c.size); });
  s.classes.push_back(std::move(c));
}

void read_fleet(Reader& r, FleetSpec& f) {
  f.workers = r.whole("workers", 10, 1, 100'000);
  f.zones = r.texts("zones", {"a"});
  f.group_size = r.whole("group_size", 3, 1, 100'000);
  f.queue = r.whole("queue", 100, 0, 1'000'000);
  f.cold_from = r.number("cold_from", 0.35, 0.01, 1);
  f.warm_after = r.span("warm_after", 8'000'000);
  f.overload_factor = r.number("overload_factor", 2.5, 0, 1000);
  f.overload_for = r.span("overload_for", 2'000'000, 1'000);
  f.cancel_stops = r.flag("cancel_stops", false);
  f.cancel_drops = r.flag("cancel_drops", false);
  f.tells_start = r.flag("tells_start", true);
  f.progress_every = r.span("progress_every", 1'000'000);
  f.reports = r.flag("reports", false);
  f.connection_work = r.span("connection_work", 0);
  f.small_writes = r.flag("small_writes", false);
  r.tables("kinds", [&](Reader& in) {
    KindSpec k;
    k.name = in.text("name", "box");
    k.share = in.number("share", 1, 0, kLargest);
    k.slots = in.whole("slots", 2, 1, 1000);
    k.speed_low = in.number("speed_low", 1, 0.001, 1000);
    k.speed_high = in.number("speed_high", k.speed_low, k.speed_low, 1000);
    f.kinds.push_back(std::move(k));
  });
  if (f.kinds.empty()) f.kinds.emplace_back();
}

void read_list(Reader& r, ListSpec& l) {
  l.watched = r.word("follow", true, kFollows);
  l.poll_every = r.span("poll_every", 2'000'000, 10'000);
  l.lag_low = r.span("lag_low", 200'000, 1'000);
  l.lag_high = r.span("lag_high", std::max<Micros>(l.lag_low, 2'000'000), l.lag_low);
  l.notice = r.span("notice", 1'000'000);
}

void read_network(Reader& r, NetworkSpec& n) {
  n.local = r.span("local", 50, 1, 1'000);
  n.near = r.span("near", 250, 1);
  n.far = r.span("far", std::max<Micros>(n.near, 1'500), n.near);
  n.jitter = r.number("jitter", 0.2, 0, 10);
  n.connect_timeout = r.span("connect_timeout", 250'000, 1'000);
}

std::optional<TraceRow> trace_row(const std::string& line, const Scenario& s) {
  std::istringstream in(line);
  std::vector<std::string> cells;
  for (std::string cell; std::getline(in, cell, ',');) cells.push_back(cell);
  if (cells.size() < 4) return std::nullopt;
  TraceRow row;
  const auto number = [](const std::string& text, Micros& into) {
    const auto [stop, bad] = std::from_chars(text.data(), text.data() + text.size(), into);
    return bad == std::errc() && stop == text.data() + text.size() && into >= 0;
  };
  if (!number(cells[0], row.at) || !number(cells[3], row.work)) return std::nullopt;
  if (cells.size() > 4 && !cells[4].empty() && !number(cells[4], row.hint)) return std::nullopt;
  const auto c =
      std::find_if(s.classes.begin(), s.classes.end(), [&](auto& x) { return x.rules.name == cells[1]; });
  const auto t =
      std::find_if(s.tenants.begin(), s.tenants.end(), [&](auto& x) { return x.name == cells[2]; });
  if (c == s.classes.end() || t == s.tenants.end()) return std::nullopt;
  row.class_index = static_cast<int>(c - s.classes.begin());
  row.tenant_index = static_cast<int>(t - s.tenants.begin());
  return row;
}

void read_trace(Reader& r, const std::string& beside, Scenario& s) {
  const std::string name = r.text("trace");
  if (name.empty()) return;
  const auto path = std::filesystem::path(beside).parent_path() / name;
  std::ifstream file(path);
  if (!file) return r.wrong_at("trace", "cannot read " + path.string());
  std::string line;
  for (int number = 1; std::getline(file, line); ++number) {
    if (number == 1 || line.empty()) continue;  // the header
    const auto row = trace_row(line, s);
    if (!row)
      return r.wrong_at("trace",
                        path.string() + ":" + std::to_string(number) +
                            ": expected at_us,class,tenant,work_us[,hint_us], names as in this scenario");
    s.traffic.trace.push_back(*row);
  }
  std::stable_sort(s.traffic.trace.begin(), s.traffic.trace.end(),
                   [](auto& a, auto& b) { return a.at < b.at; });
}

void read_traffic(Reader& r, const std::string& beside, Scenario& s) {
  TrafficSpec& t = s.traffic;
  t.load = r.number("load", 0.6, 0, 100);
  t.rate = r.number("rate", 0, 0, kLargest);
  t.skew = r.number("skew", 0, 0, 10);
  t.daily_period = r.span("daily_period", 0);
  t.daily_depth = r.share("daily_depth", 0);
  t.hint_sigma = r.number("hint_sigma", 0.3, 0, 10);
  t.hint_missing = r.share("hint_missing", 0);
  t.hint_useless = r.share("hint_useless", 0);
  r.tables("steps", [&](Reader& in) {
    Step step;
    step.at = in.span("at", 0);
    step.factor = in.number("factor", 1, 0, 1000);
    t.steps.push_back(step);
  });
  std::stable_sort(t.steps.begin(), t.steps.end(), [](auto& a, auto& b) { return a.at < b.at; });
  read_trace(r, beside, s);
}

void read_clients(Reader& r, ClientSpec& c) {
  c.retries = r.whole("retries", 3, 0, 100);
  c.retry_wait = r.span("retry_wait", 0);
  c.backoff = r.number("backoff", 1, 1, 100);
  c.jitter = r.number("jitter", 0, 0, 100);
  c.heeds = r.flag("heed_retry_after", false);
  c.marks = r.flag("mark_retries", false);
  c.connections = r.whole("connections", 0, 0, 1'000'000);
}

void read_limits(Reader& r, LimitSpec& l) {
  l.max_attempts = r.whole("attempts", 5, 1, 1000);
  l.may_cancel = r.flag("cancel", true);
  l.may_copy = r.flag("copies", true);
  l.max_hold_off = r.span("retry_after", 2'000'000);
  l.drain_grace = r.span("drain_grace", 1'500'000);
  l.tick = r.span("tick", 2'000, 1);
}

bool strikes_workers(TroubleKind kind) {
  return kind <= TroubleKind::drain;
}

void read_trouble(Reader& r, Scenario& s) {
  Trouble t;
  t.kind = r.word("kind", TroubleKind::die, kTroubles);
  t.at = r.span("at", 0);
  t.span = r.span("for", 0);
  t.share = r.share("share", 0);
  t.worker = r.text("worker");
  t.zone = r.text("zone");
  t.group = r.whole("group", -1, 0, 1'000'000);
  t.factor = r.number("factor", 3, 0.01, 1000);
  t.tenant = r.text("tenant");
  t.drain_for = r.span("drain_for", 3'000'000, 1'000);
  t.batch = r.number("batch", 0.2, 0.0001, 1);
  const auto& zones = s.fleet.zones;
  const bool knows_zone = std::find(zones.begin(), zones.end(), t.zone) != zones.end();
  if (!t.zone.empty() && !knows_zone) r.wrong_at("zone", "no such zone in fleet.zones");
  if (t.kind == TroubleKind::partition && t.zone.empty())
    r.wrong_at("zone", "expected the zone that is cut off");
  if (strikes_workers(t.kind) && t.share <= 0 && t.worker.empty() && t.zone.empty() && t.group < 0)
    r.wrong_at("share", "expected whom it strikes: share, worker, zone or group");
  if (t.kind == TroubleKind::flood &&
      std::none_of(s.tenants.begin(), s.tenants.end(), [&](auto& x) { return x.name == t.tenant; }))
    r.wrong_at("tenant", "expected one of the scenario's tenants");
  if (t.span <= 0 && t.kind != TroubleKind::die && t.kind != TroubleKind::drain &&
      t.kind != TroubleKind::reload_dispatcher)
    r.wrong_at("for", "expected how long it lasts");
  s.troubles.push_back(std::move(t));
}

Scenario read(Reader& r, const std::string& file) {
  Scenario s;
  s.name = r.text("name", std::filesystem::path(file).stem().string());
  s.about = r.text("about");
  s.seed = static_cast<std::uint64_t>(r.whole("seed", 1, 0, std::numeric_limits<int>::max()));
  s.length = r.span("length", 30'000'000, 1'000);
  s.policy = r.word("policy", Policy::module, kPolicies);
  s.baselines = r.word_list("baselines", kPolicies);
  s.dispatchers = r.whole("dispatchers", 3, 1, 100'000);
  r.table("fleet", [&](Reader& in) { read_fleet(in, s.fleet); });
  r.table("list", [&](Reader& in) { read_list(in, s.list); });
  r.table("network", [&](Reader& in) { read_network(in, s.network); });
  r.table("clients", [&](Reader& in) { read_clients(in, s.clients); });
  r.table("limits", [&](Reader& in) { read_limits(in, s.limits); });
  r.tables("classes", [&](Reader& in) { read_class(in, s); });
  r.tables("tenants", [&](Reader& in) {
    s.tenants.push_back({in.text("name"), in.number("share", 1, 0, kLargest)});
    if (s.tenants.back().name.empty()) in.wrong_at("name", "expected the tenant's name");
  });
  if (s.classes.empty())
    s.classes.emplace_back().rules = {"job", Effect::safe, Scope::all, 0, 200'000, 2, 5'000'000, 0.5, 1, ""};
  if (s.tenants.empty()) s.tenants.push_back({"all", 1});
  r.table("traffic", [&](Reader& in) { read_traffic(in, file, s); });
  r.tables("troubles", [&](Reader& in) { read_trouble(in, s); });
  return s;
}

// Sets one dotted key, through tables and, by number, through lists. What is wrong with it, or nothing.
std::string set_key(toml::table& root, const Setting& setting) {
  toml::table parsed;
  try {
    parsed = toml::parse("v = " + setting.second);
  } catch (const toml::parse_error&) {
    try {  // a plain word: people leave out the quotes
      parsed = toml::parse("v = \"" + setting.second + "\"");
    } catch (const toml::parse_error&) {
      return setting.first + ": not a value: " + setting.second;
    }
  }
  toml::node* at = &root;
  std::string_view rest = setting.first;
  while (true) {
    const auto dot = rest.find('.');
    const std::string_view part = rest.substr(0, dot);
    const bool last = dot == std::string_view::npos;
    if (auto* list = at->as_array()) {
      std::size_t index = 0;
      const auto [stop, bad] = std::from_chars(part.data(), part.data() + part.size(), index);
      if (bad != std::errc() || stop != part.data() + part.size() || index >= list->size() || last)
        return setting.first + ": no item " + std::string(part) + " in that list";
      at = list->get(index);
    } else if (auto* table = at->as_table()) {
      if (last) {
        table->insert_or_assign(part, *parsed.get("v"));
        return {};
      }
      if (!table->contains(part)) table->insert(part, toml::table{});
      at = table->get(part);
    } else {
      return setting.first + ": leads through a plain value";
    }
    rest.remove_prefix(dot + 1);
  }
}

}  // namespace

double Scenario::mean_work() const {
  double shares = 0;
  double work = 0;
  for (const auto& c : classes) {
    shares += c.share;
    work += c.share * c.size.mean;
  }
  return work / shares;
}

std::variant<Scenario, std::vector<Fault>> read_scenario(const std::string& text, const std::string& file,
                                                         const std::vector<Setting>& settings) {
  toml::table root;
  Faults faults(file);
  try {
    root = toml::parse(text, file);
  } catch (const toml::parse_error& fault) {
    faults.add(fault.source(), std::string(fault.description()));
    return faults.sorted();
  }
  for (const auto& setting : settings)
    if (auto wrong = set_key(root, setting); !wrong.empty()) faults.add({}, std::move(wrong));
  Scenario scenario;
  {
    Reader reader(&root, "", faults);
    scenario = read(reader, file);
  }
  if (!faults.none()) return faults.sorted();
  return scenario;
}

std::variant<Scenario, std::vector<Fault>> load_scenario(const std::string& file,
                                                         const std::vector<Setting>& settings) {
  const std::ifstream in(file, std::ios::binary);
  if (!in) return std::vector<Fault>{{file, "cannot be read"}};
  std::ostringstream text;
  text << in.rdbuf();
  return read_scenario(text.str(), file, settings);
}

const char* name_of(Policy policy) {
  for (const auto& [name, p] : kPolicies)
    if (p == policy) return name;
  return "?";
}

const char* name_of(TroubleKind kind) {
  for (const auto& [name, k] : kTroubles)
    if (k == kind) return name;
  return "?";
}

Settings settings_for(const Scenario& s, const std::string& zone, std::uint64_t seed) {
  Settings set;
  set.seed = seed;
  set.fleet_size = s.dispatchers;
  set.zone = zone;
  for (const auto& c : s.classes) set.classes.push_back(c.rules);
  double shares = 0;
  for (const auto& t : s.tenants) shares += t.share;
  const double rate = rate_of(s);
  for (const auto& t : s.tenants) set.tenants.push_back({t.name, t.share / shares, rate * t.share / shares});
  set.over_share_worth = s.tenants.size() > 1 ? 0.1 : 1;
  set.list_mode = s.list.watched ? ListMode::asked : ListMode::pushed;
  set.reports = s.fleet.reports ? ReportSource::answers : ReportSource::none;
  set.tells_taken = true;
  set.tells_start = s.fleet.tells_start;
  set.progress_every = s.fleet.tells_start ? s.fleet.progress_every : 0;
  set.tick = s.limits.tick;
  set.max_attempts = s.limits.max_attempts;
  set.may_cancel = s.limits.may_cancel;
  set.may_copy = s.limits.may_copy;
  set.may_hold_off = s.limits.max_hold_off > 0;
  set.max_hold_off = s.limits.max_hold_off;
  set.connect_timeout = s.network.connect_timeout;
  set.drain_grace = s.limits.drain_grace;
  set.must_ask_in = 10'000'000;
  set.cold_from = s.fleet.cold_from;
  set.warm_after = s.fleet.warm_after;
  set.overload_factor = s.fleet.overload_factor;
  set.overload_span = s.fleet.overload_for;
  return set;
}

}  // namespace woadridge::lab
