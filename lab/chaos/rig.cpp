#include "lab/chaos/rig.h"

#include <signal.h>
#include <unistd.h>

#include <algorithm>
#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <chrono>
#include <filesystem>
#include <fstream>
#include <future>
#include <nlohmann/json.hpp>
#include <queue>
#include <sstream>
#include <thread>

#include "lab/chaos/relay.h"
#include "lab/chaos/stand_ins.h"
#include "lab/process.h"
#include "lab/scenario.h"
#include "lab/sockets.h"

namespace woadridge::lab {
namespace {

namespace fs = std::filesystem;
using Json = nlohmann::json;

constexpr Micros kChangeEvery = 400'000;   // of the list
constexpr Micros kStaffEvery = 1'000'000;  // staff look for voters that take no part
constexpr Micros kPatience = 60'000'000;   // for all to be well again after the last fault
constexpr Micros kLookEvery = 5'000;
constexpr Micros kLagBound = 1'000'000;  // the relay itself came later than that: no verdict on times
constexpr Micros kFlap = 300'000;
// On addresses of the run's own, below those that the system deals out: nobody else can have them.
constexpr std::uint16_t kGroupPort = 7400, kClientPort = 8000, kOpsPort = 9800;

Micros wall() {
  return std::chrono::duration_cast<std::chrono::microseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

// Two nets of addresses that nobody else uses now: other runs may go on beside this one. The claim is held as
// long as the run lasts.
std::string claim_net(net::Tcp::acceptor& claim) {
  for (int tries = 0, second = 20 + static_cast<int>(::getpid()) % 200; tries < 230;
       ++tries, second = second % 230 + 20) {
    const std::string net = "127." + std::to_string(second) + ".";
    net::Fault fault;
    claim.open(net::Tcp::v4(), fault);
    claim.bind(net::endpoint_of({net + "9.9", kGroupPort}), fault);
    if (!fault) claim.listen(1, fault);
    if (!fault) return net;
    claim.close(fault);
  }
  throw std::runtime_error("no free loopback addresses");
}

std::optional<Json> ask(const net::Address& address) {
  const Json tree = Json::parse(body_of(address, "/group"), nullptr, false);
  if (tree.is_discarded() || !tree.value("on", false)) return std::nullopt;
  return tree;
}

class Rig {
 public:
  Rig(const ChaosScenario& s, const std::vector<ChaosFault>& schedule, const RigOptions& options)
      : s_(s),
        options_(options),
        strand_(io_.get_executor()),
        looker_(strand_),
        changer_(strand_),
        claim_(io_),
        keep_(boost::asio::make_work_guard(io_)) {
    report_.schedule = schedule;
    fs::remove_all(options_.folder);
    fs::create_directories(options_.folder);
    const std::string net = claim_net(claim_);
    for (int i = 0; i < s.members; ++i) {
      const std::string host = std::to_string(i / 250 * 2 + 1) + "." + std::to_string(i % 250 + 1);
      const std::string other = std::to_string(i / 250 * 2 + 2) + "." + std::to_string(i % 250 + 1);
      inner_.push_back(net + host);
      outer_.push_back(net + other);
      listens_.push_back({inner_.back(), kClientPort});
      ops_.push_back({inner_.back(), kOpsPort});
      processes_.push_back(std::make_unique<Process>());
    }
    stand_ins_ = std::make_unique<StandIns>(strand_, s.workers, s.zones, options_.call_takes);
    relay_ = std::make_unique<Relay>(strand_, inner_, outer_, port_, s.seed);
  }
  ~Rig() {
    for (auto& p : processes_) p->end(SIGKILL);
    keep_.reset();
    io_.stop();
    if (thread_.joinable()) thread_.join();
  }

  ChaosReport play() {
    if (const std::string fault = relay_->open(); !fault.empty()) {
      report_.no_verdict = "the relay can't listen at " + fault;
      return report_;
    }
    stand_ins_->run();
    look();
    change();
    thread_ = std::thread([this] { io_.run(); });
    for (int i = 0; i < s_.members; ++i) prepare(i);
    begin_ = wall();
    for (int i = 0; i < s_.members; ++i) start(i);
    for (std::size_t f = 0; f < report_.schedule.size(); ++f) {
      at(report_.schedule[f].at, [this, f] { fault(report_.schedule[f], false); });
      at(report_.schedule[f].at + report_.schedule[f].span, [this, f] { fault(report_.schedule[f], true); });
    }
    for (Micros t = kStaffEvery; t < s_.length && options_.with_group; t += kStaffEvery)
      at(t, [this] { staff(); });
    run_until(s_.length - s_.calm);
    await_well();
    finish();
    return std::move(report_);
  }

 private:
  // ---- the schedule ----

  struct Due {
    Micros at;
    std::uint64_t order;
    std::function<void()> what;
    bool operator>(const Due& o) const { return std::pair(at, order) > std::pair(o.at, o.order); }
  };
  void at(Micros when, std::function<void()> what) { dues_.push({when, ++orders_, std::move(what)}); }
  Micros gone() const { return wall() - begin_; }
  bool stopped() const { return options_.stop != nullptr && *options_.stop; }

  void run_until(Micros end) {
    while (!stopped()) {
      const Micros now = gone();
      if (!dues_.empty() && dues_.top().at <= now) {
        const auto what = dues_.top().what;
        dues_.pop();
        what();
        continue;
      }
      if (now >= end && (dues_.empty() || dues_.top().at > end)) return;
      if (options_.progress) options_.progress(static_cast<double>(now) / static_cast<double>(s_.length));
      const Micros next = dues_.empty() ? end : std::min(end, dues_.top().at);
      std::this_thread::sleep_for(std::chrono::microseconds(std::clamp<Micros>(next - now, 100, 20'000)));
    }
  }
  template <typename Do>
  void on_strand(Do what) {  // and waits for it
    std::promise<void> done;
    boost::asio::post(strand_, [&] {
      what();
      done.set_value();
    });
    done.get_future().wait();
  }

  // ---- processes ----

  std::string path(int i, const std::string& ending) const {
    return options_.folder + "/n" + std::to_string(i) + ending;
  }
  std::string folder(int i) const { return path(i, "-folder"); }

  void prepare(int i) {
    Scenario s;
    s.classes.emplace_back().rules.name = "any";
    s.classes[0].rules.deadline = 1'000'000;
    s.tenants.push_back({"any", 1});
    s.dispatchers = s_.members;
    s.fleet.workers = s_.workers;
    s.fleet.zones.clear();
    for (int z = 0; z < s_.zones; ++z) s.fleet.zones.push_back("z" + std::to_string(z));
    s.fleet.kinds = {{"box", 1, 2, 1, 1}};
    Json config =
        Json::parse(dispatcher_config(s, static_cast<DispatcherId>(i), net::to_text(listens_[index(i)]),
                                      net::to_text(stand_ins_->discovery())));
    config["ops"] = net::to_text(ops_[index(i)]);
    config["settings"]["limits"]["peers"] = true;
    config["settings"]["limits"]["probes"] = true;
    std::ofstream(path(i, ".json")) << config.dump(1) << "\n";
    std::ofstream(path(i, ".toml")) << group_file(i);
    if (i < s_.voters && options_.with_group) {
      Process founder;
      founder.start(options_.program, "", path(i, ".log"), {"group", "found", "--group", path(i, ".toml")});
      while (founder.running()) std::this_thread::sleep_for(std::chrono::milliseconds(2));
      fs::copy(folder(i), folder(i) + "-old", fs::copy_options::recursive);
    }
  }
  static std::size_t index(int i) { return static_cast<std::size_t>(i); }

  std::string group_file(int i) const {
    const group::Options o = options_of(s_, i);
    std::ostringstream t;
    const auto q = [](const std::string& text) { return "\"" + text + "\""; };
    const auto outer = [&](int m) { return q(outer_[index(m)] + ":" + std::to_string(port_)); };
    t << "group = " << q(o.group) << "\nname = " << q(o.name) << "\nzone = " << q(o.zone)
      << "\nmachine = " << q(o.machine) << "\nlisten = " << q(inner_[index(i)] + ":" + std::to_string(port_))
      << "\naddress = " << outer(i) << "\n";
    if (i < s_.voters) t << "folder = " << q(folder(i)) << "\n";
    t << "seeds = [" << outer(0) << ", " << outer(1) << "]\n";
    for (int v = 0; v < s_.voters; ++v)
      t << "[[voters]]\nname = " << q("n" + std::to_string(v)) << "\naddress = " << outer(v) << "\n";
    t << "[times]\nprobe_every_ms = " << o.probe_every / 1000
      << "\nprobe_timeout_ms = " << o.probe_timeout / 1000 << "\nelection_ms = " << o.election / 1000
      << "\nheartbeat_ms = " << o.heartbeat / 1000 << "\nlease_ms = " << o.lease / 1000
      << "\n[list]\nsilence_ms = " << o.list_silence / 1000 << "\nspread_ms = " << o.list_spread / 1000
      << "\n[probes]\nevery_ms = " << o.probe_workers / 1000 << "\n";
    return t.str();
  }

  void start(int i) {
    wanted_.insert(i);
    if (processes_[index(i)]->running()) return;
    std::vector<std::string> words = options_.words;
    if (options_.with_group) {
      words.push_back("--group");
      words.push_back(path(i, ".toml"));
    }
    ::setenv("WOADRIDGE_LOG", "debug", 1);
    ::setenv("TMPDIR", options_.folder.c_str(), 1);
    processes_[index(i)]->start(options_.program, path(i, ".json"), path(i, ".log"), words);
  }
  void kill(int i) {
    wanted_.erase(i);
    if (!processes_[index(i)]->running()) return;
    processes_[index(i)]->end(SIGKILL);
    stops_.emplace_back(i, wall());
    if (i < s_.voters && !fs::exists(folder(i) + "-copy")) copy_folder(i);
  }
  void copy_folder(int i) {
    std::error_code ignored;
    fs::copy(folder(i), folder(i) + "-copy", fs::copy_options::recursive, ignored);
  }
  void disk(int i, const std::string& word) {
    std::error_code ignored;
    if (word.empty()) fs::remove(folder(i) + "/faults", ignored);
    else std::ofstream(folder(i) + "/faults") << word << "\n";
  }
  void put_old_folder(int i, bool in_place) {  // in place: into the very files, as a disk that is set back
    std::error_code ignored;
    if (!in_place) fs::remove_all(folder(i), ignored);
    const std::string copy = fs::exists(folder(i) + "-copy") ? folder(i) + "-copy" : folder(i) + "-old";
    if (!in_place) return fs::copy(copy, folder(i), fs::copy_options::recursive, ignored);
    for (const auto& entry : fs::directory_iterator(folder(i), ignored)) {
      const std::ifstream from(copy + "/" + entry.path().filename().string(), std::ios::binary);
      std::ofstream to(entry.path(), std::ios::binary | std::ios::trunc);
      if (from) to << from.rdbuf();
    }
  }

  // What the machine's supervisor does: a process that has ended by itself is started again.
  void supervise() {
    for (const int i : std::set<int>(wanted_))
      if (!processes_[index(i)]->running()) {
        stops_.emplace_back(i, wall());
        start(i);
      }
  }

  // What staff do: a voter whose folder is too old or could not be written is started anew, the one without
  // it.
  void staff() {
    supervise();
    for (int v = 0; v < s_.voters; ++v) {
      const auto told = busy_.contains(v) ? std::nullopt : ask(ops_[index(v)]);
      if (!told || !told->contains("voter")) continue;
      const bool stale = (*told)["voter"]["stale"], failed = (*told)["voter"]["failed"];
      if (!stale && !failed) continue;
      kill(v);
      std::error_code ignored;
      if (stale) fs::remove_all(folder(v), ignored);
      else disk(v, {});
      start(v);
    }
  }

  // ---- faults ----

  template <typename Change>
  void links(Change change) {
    on_strand([&] {
      change(*relay_);
      relay_->changed();
    });
  }
  void all_links(int a, int by, bool in, bool out) {
    links([&](Relay& r) {
      for (int j = 0; j < s_.members; ++j) {
        if (j == a) continue;
        if (in) r.link(j, a).cut += by;
        if (out) r.link(a, j).cut += by;
      }
    });
  }
  void flap(const ChaosFault& f, int turn) {
    const Micros when = f.at + turn * kFlap;
    if (when >= f.at + f.span) return;
    at(when, [this, f, turn] {
      links([&](Relay& r) { r.link(f.a, f.b).cut += turn % 2 == 1 ? -1 : 1; });
      flap(f, turn + 1);
    });
  }

  void fault(const ChaosFault& f, bool over) {
    const int by = over ? -1 : 1;
    if (!over) ++report_.faults[name_of(f.kind)];
    switch (f.kind) {
      case ChaosKind::kill:
        return over ? start(f.a) : kill(f.a);
      case ChaosKind::terminate:
        if (!over) {
          wanted_.erase(f.a);
          return processes_[index(f.a)]->signal(SIGTERM);
        }
        kill(f.a);  // should it still be there
        return start(f.a);
      case ChaosKind::lose_disk:
        if (over) return start(f.a);
        kill(f.a);
        fs::remove_all(folder(f.a));
        return;
      case ChaosKind::old_disk:
      case ChaosKind::set_back:
        if (over) return start(f.a);
        kill(f.a);
        return put_old_folder(f.a, f.kind == ChaosKind::set_back);
      case ChaosKind::all_down:
        for (int i = 0; i < s_.members; ++i) over ? start(i) : kill(i);
        return;
      case ChaosKind::pause:
        processes_[index(f.a)]->signal(over ? SIGCONT : SIGSTOP);
        over ? void(busy_.erase(f.a)) : void(busy_.insert(f.a));
        return;
      case ChaosKind::cut:
        return links([&](Relay& r) { r.link(f.a, f.b).cut += by; });
      case ChaosKind::flap: {
        if (!over) {
          links([&](Relay& r) { r.link(f.a, f.b).cut += 1; });
          return flap(f, 1);
        }
        const bool is_cut = ((f.span - 1) / kFlap) % 2 == 0;
        if (is_cut) links([&](Relay& r) { r.link(f.a, f.b).cut -= 1; });
        return;
      }
      case ChaosKind::isolate:
        return all_links(f.a, by, true, true);
      case ChaosKind::deaf:
        return all_links(f.a, by, true, false);
      case ChaosKind::halves:
        return links([&](Relay& r) {
          for (int a = 0; a < s_.members; ++a)
            for (int b = 0; b < s_.members; ++b)
              if (a % 2 != b % 2) r.link(a, b).cut += by;
        });
      case ChaosKind::slow_link:
        return links([&](Relay& r) { r.link(f.a, f.b).slow += by; });
      case ChaosKind::lossy_link:
        return links([&](Relay& r) { r.link(f.a, f.b).lossy += by; });
      case ChaosKind::repeat_link:
        return links([&](Relay& r) { r.link(f.a, f.b).repeat += by; });
      case ChaosKind::reorder_link:
        return links([&](Relay& r) { r.link(f.a, f.b).reorder += by; });
      case ChaosKind::thin_link:
        return links([&](Relay& r) { r.link(f.a, f.b).thin += by; });
      case ChaosKind::break_frame:
        return links([&](Relay& r) { r.link(f.a, f.b).break_frame += by; });
      case ChaosKind::silent_link:
        return links([&](Relay& r) { r.link(f.a, f.b).silent += by; });
      case ChaosKind::slow_sync:
        return disk(f.a, over ? "" : "slow");
      case ChaosKind::full_disk:
        return disk(f.a, over ? "" : "full");
      case ChaosKind::failed_sync:
        return disk(f.a, over ? "" : "fail");
    }
  }

  // ---- the relay's thread ----

  void look() {
    const auto wanted = std::chrono::steady_clock::now() + std::chrono::microseconds(kLookEvery);
    looker_.expires_at(wanted);
    looker_.async_wait([this, wanted](net::Fault f) {
      if (f) return;
      const auto late = std::chrono::steady_clock::now() - wanted;
      worst_lag_ =
          std::max<Micros>(worst_lag_, std::chrono::duration_cast<std::chrono::microseconds>(late).count());
      look();
    });
  }
  void change() {
    changer_.expires_after(std::chrono::microseconds(kChangeEvery));
    changer_.async_wait([this](net::Fault f) {
      if (f || !stand_ins_changes_) return;
      stand_ins_->change();
      change();
    });
  }

  // ---- the end ----

  // All are there, each duty has one holder that says so itself, and all voters take part.
  std::string what_is_wrong() {
    std::map<std::string, std::set<std::string>> holders;
    int voters = 0;
    for (int i = 0; i < s_.members; ++i) {
      const auto told = ask(ops_[index(i)]);
      if (!told) return "n" + std::to_string(i) + " is not there";
      if ((*told)["has_session"] != true) return "n" + std::to_string(i) + " has no session";
      if (told->contains("held"))
        for (const auto& h : (*told)["held"]) holders[h["duty"]].insert("n" + std::to_string(i));
      if (told->contains("voter") && (*told)["voter"]["leader"] != "") ++voters;
    }
    if (voters < s_.voters) return "only " + std::to_string(voters) + " voters take part";
    for (int z = 0; z < s_.zones; ++z) {
      const std::string duty = "list/z" + std::to_string(z);
      if (holders[duty].empty()) return duty + " has no holder";
    }
    for (const auto& [duty, names] : holders)
      if (names.size() > 1) return duty + " has " + std::to_string(names.size()) + " holders";
    return {};
  }

  void await_well() {
    if (!options_.with_group) return run_until(s_.length);
    const Micros until = gone() + kPatience;
    std::string wrong = "nobody has looked";
    while (!wrong.empty() && gone() < until && !stopped()) {
      run_until(gone() + 200'000);
      staff();
      wrong = what_is_wrong();
    }
    if (!wrong.empty()) report_.violations.push_back("not well again: " + wrong);
    else await_lists(until);
  }

  // With the last change everybody hears of it, through whichever holder.
  void await_lists(Micros until) {
    std::int64_t newest = 0;
    on_strand([&] {
      stand_ins_changes_ = false;
      changer_.cancel();
      newest = stand_ins_->version();
    });
    std::string behind = "nobody has looked";
    while (!behind.empty() && gone() < until && !stopped()) {
      run_until(gone() + 200'000);
      supervise();
      behind.clear();
      for (int i = 0; i < s_.members; ++i) {
        const auto told = ask(ops_[index(i)]);
        const std::int64_t version = told ? (*told)["list"]["version"].get<std::int64_t>() : -1;
        if (version != newest)
          behind = "n" + std::to_string(i) + " holds version " + std::to_string(version) + " of " +
                   std::to_string(newest);
      }
    }
    if (!behind.empty()) report_.violations.push_back("list not heard: " + behind);
  }

  void finish() {
    sample_costs();
    on_strand([this] {
      looker_.cancel();
      changer_.cancel();
      for (const auto& act : stand_ins_->acts()) judge_.judge(act, report_);
      report_.figures["probes_at_workers"] = static_cast<double>(stand_ins_->acts().size());
      report_.figures["calls_at_discovery"] = stand_ins_->calls();
      report_.figures["frames_through_relay"] = static_cast<double>(relay_->frames());
      stand_ins_->stop();
      relay_->stop();
    });
    const Micros end = wall();
    for (auto& p : processes_) p->end(SIGKILL);
    for (int i = 0; i < s_.members; ++i) read_log(i);
    make_spans(end);
    tell_first_lists();
    if (stopped()) report_.no_verdict = "stopped";
    report_.figures["worst_lag_ms"] = static_cast<double>(worst_lag_) / 1e3;
    report_.figures["gap_bound_ms"] = static_cast<double>(gap_bound(s_.times)) / 1e3;
  }

  void sample_costs() {
    const double seconds = static_cast<double>(gone()) / 1e6;
    double voter_in = 0, member_in = 0, voter_out = 0, member_out = 0;
    for (int i = 0; i < s_.members; ++i) {
      double cpu = 0, memory = 0;
      int descriptors = 0;
      processes_[index(i)]->look(cpu, memory, descriptors);
      const std::string kind = i < s_.voters ? "voter" : "member";
      auto& most = report_.figures[kind + "_memory_mb"];
      most = std::max(most, memory);
      report_.figures[kind + "_cpu_ms_per_s"] +=
          cpu / 1e3 / seconds / (i < s_.voters ? s_.voters : std::max(1, s_.members - s_.voters));
      const auto told = options_.with_group ? ask(ops_[index(i)]) : std::nullopt;
      if (!told) continue;
      (i < s_.voters ? voter_in : member_in) += (*told)["traffic"]["bytes_in"].get<double>();
      (i < s_.voters ? voter_out : member_out) += (*told)["traffic"]["bytes_out"].get<double>();
    }
    report_.figures["voter_bytes_per_s"] = (voter_in + voter_out) / s_.voters / seconds;
    report_.figures["member_bytes_per_s"] =
        (member_in + member_out) / std::max(1, s_.members - s_.voters) / seconds;
  }

  static Micros time_of(const std::string& line) {  // since midnight; a run over midnight is put right below
    int h = 0, m = 0, s = 0, us = 0;
    if (std::sscanf(line.c_str(), "%*d-%*d-%*dT%d:%d:%d.%d", &h, &m, &s, &us) != 4) return -1;
    return ((h * 60LL + m) * 60 + s) * 1'000'000 + us;
  }

  // A receiver's own order; a process that was started anew is a new receiver, as it has forgotten.
  void read_log(int i) {
    std::ifstream log(path(i, ".log"));
    const std::string name = "n" + std::to_string(i);
    int life = 0;
    bool has_list = false;
    for (std::string line; std::getline(log, line);) {
      std::istringstream words(line);
      std::string time, level, what;
      words >> time >> level >> what;
      if (what == "group" && line.find(" is on: ") != std::string::npos) ++life;
      if (what == "list" && !has_list) {
        std::string known;
        for (std::string word; words >> word && word != "known";) known = word;
        if (std::atoi(known.c_str()) > 0) has_list = true, first_lists_.push_back(time_of(line));
      }
      if (what == "act") {
        ChaosAct act;
        std::string number, from, taken;
        words >> act.duty >> number >> act.number >> from >> act.holder >> taken;
        act.receiver = name + "/" + std::to_string(life);
        act.taken = taken == "taken";
        judge_.judge(act, report_);
      }
      if (what == "duty") {
        std::string duty, word, state;
        std::uint64_t number = 0;
        words >> duty >> word >> number >> state;
        moves_.push_back({time_of(line), i, duty, number, state == "held"});
      }
    }
  }

  void tell_first_lists() {
    constexpr Micros kDay = 86'400'000'000;
    for (auto& t : first_lists_) t = ((t - begin_) % kDay + kDay) % kDay;
    report_.figures["have_a_list"] = static_cast<double>(first_lists_.size());
    report_.figures["first_list_p50_ms"] = static_cast<double>(percentile(first_lists_, 0.5)) / 1e3;
    report_.figures["first_list_longest_ms"] = static_cast<double>(percentile(first_lists_, 1)) / 1e3;
    std::map<Micros, int> by_second;
    for (const auto& [at, count] : stand_ins_->calls_by_time()) by_second[at / 1'000'000] += count;
    for (const auto& [second, count] : by_second) {
      auto& most = report_.figures["calls_at_discovery_most_a_second"];
      most = std::max(most, static_cast<double>(count));
    }
  }

  struct MoveLine {
    Micros at;
    int member;
    std::string duty;
    std::uint64_t number;
    bool held;
  };

  void make_spans(Micros end) {
    const Micros day = 86'400'000'000;
    const auto since = [&](Micros t) { return ((t - begin_) % day + day) % day; };
    for (auto& m : moves_) m.at = since(m.at);
    std::stable_sort(moves_.begin(), moves_.end(), [](const auto& a, const auto& b) { return a.at < b.at; });
    std::map<std::pair<std::string, int>, std::pair<std::uint64_t, Micros>> open;
    std::size_t stop = 0;
    const auto close = [&](auto at, Micros when) {
      report_.spans.push_back({at->first.first, "n" + std::to_string(at->first.second), at->second.first,
                               at->second.second, when});
      return open.erase(at);
    };
    const auto stops_until = [&](Micros when) {
      for (; stop < stops_.size() && stops_[stop].second - begin_ <= when; ++stop)
        for (auto o = open.begin(); o != open.end();)
          o = o->first.second == stops_[stop].first ? close(o, stops_[stop].second - begin_) : std::next(o);
    };
    for (const auto& m : moves_) {
      stops_until(m.at);
      const auto found = open.find({m.duty, m.member});
      if (found != open.end()) close(found, m.at);
      if (m.held) open[{m.duty, m.member}] = {m.number, m.at};
    }
    stops_until(end - begin_);
    while (!open.empty()) close(open.begin(), end - begin_);
    gaps_between();
  }

  void gaps_between() {
    std::map<std::string, std::vector<std::pair<Micros, Micros>>> by_duty;
    for (const auto& s : report_.spans)
      if (s.duty.starts_with("list/")) by_duty[s.duty].emplace_back(s.from, s.to);
    for (auto& [duty, spans] : by_duty) {
      std::sort(spans.begin(), spans.end());
      Micros until = spans.front().second;
      for (const auto& [from, to] : spans) {
        if (from > until) report_.gaps.push_back(from - until);
        until = std::max(until, to);
      }
    }
  }

  const ChaosScenario& s_;
  const RigOptions& options_;
  boost::asio::io_context io_{1};
  net::Strand strand_;
  net::Timer looker_, changer_;
  net::Tcp::acceptor claim_;
  boost::asio::executor_work_guard<boost::asio::io_context::executor_type> keep_;
  const std::uint16_t port_ = kGroupPort;
  std::vector<std::string> inner_, outer_;
  std::vector<net::Address> listens_, ops_;
  std::unique_ptr<StandIns> stand_ins_;
  std::unique_ptr<Relay> relay_;
  std::vector<std::unique_ptr<Process>> processes_;
  std::thread thread_;
  std::priority_queue<Due, std::vector<Due>, std::greater<>> dues_;
  std::uint64_t orders_ = 0;
  Micros begin_ = 0, worst_lag_ = 0;
  bool stand_ins_changes_ = true;
  std::set<int> wanted_;  // to be up
  std::set<int> busy_;    // stopped: nobody asks them
  std::vector<std::pair<int, Micros>> stops_;
  std::vector<MoveLine> moves_;
  std::vector<Micros> first_lists_;
  ActJudge judge_;
  ChaosReport report_;
};

}  // namespace

ChaosReport play_processes(const ChaosScenario& scenario, const std::vector<ChaosFault>& schedule,
                           const RigOptions& options) {
  return Rig(scenario, schedule, options).play();
}

}  // namespace woadridge::lab
