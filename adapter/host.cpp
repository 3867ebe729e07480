#include "host.h"

#include <istream>
#include <ostream>

namespace woadridge::wire {
namespace {

constexpr std::int64_t kLists = 16;  // list numbers run from 0 to 15
constexpr std::int64_t kNoteStarted = 1;
constexpr std::int64_t kNoteProgress = 2;

}  // namespace

int Host::run(std::istream& in, std::ostream& out, std::ostream& errors) {
  std::string text;
  std::uint64_t number = 0;
  try {
    while (std::getline(in, text)) {
      ++number;
      if (text.empty() && !in_batch_) continue;
      take(text, out);
    }
    if (in_batch_) throw Malformed("input ended inside a batch");
  } catch (const Malformed& fault) {
    errors << "woadridge_adapter: line " << number << ": " << fault.what() << "\n";
    return 1;
  }
  return 0;
}

void Host::take(const std::string& text, std::ostream& out) {
  if (text == "END" && workers_due_ > 0) throw Malformed("list shorter than announced");
  const Line line(text);
  if (line.name == "TICK") return begin_batch(line);
  if (!in_batch_) throw Malformed("outside a batch: " + std::string(line.name));
  if (workers_due_ > 0) {
    if (line.name != "WORKER") throw Malformed("list shorter than announced");
    return add_worker(line);
  }
  if (line.name == "END") return end_batch(out);
  if (line.name == "LEDGER") return open_list(line);
  if (line.name == "WORKER") throw Malformed("more workers than announced");
  if (line.name == "PROVISION") return provision(line);
  if (line.name == "BACKENDS_CHANGED") {
    const auto kind = read_list_kind(line.text("kind"));
    if (kind == ListKind::failed) return give(line, WorkerList{kind, {}});
    return give(line, WorkerList{kind, list(line)});
  }
  if (line.name == "ORDER") return give(line, read_arrival(line));
  if (line.name == "RESOLVED") return give(line, read_outcome(line, instance(line).fields));
  if (line.name == "WAKEUP") return give(line, TimerFired{line.natural("tag")});
  if (line.name == "HANGUP") return give(line, ClientLeft{line.natural("job")});
  if (line.name == "POWER_OFF") return give(line, Stop{});
  if (line.name == "CHECKED") {
    Probed probed{std::string(line.text("worker")), line.whole_or("spent", 0), false, {}};
    probed.ok = read_result(line.text("verdict")) == Result::ok;
    probed.report = read_report(line.text_or("telemetry", ""), instance(line).fields);
    return give(line, probed);
  }
  if (line.name == "NOTE_FROM")
    return give(line, PeerTold{static_cast<int>(line.whole("neighbour")), from_base64(line.text("body"))});
  if (line.name == "CHANGE") {
    const auto id = line.natural("job");
    const auto attempt = static_cast<int>(line.whole_or("round-no", 0));
    const auto topic = line.whole("topic");
    if (topic == kNoteStarted) return give(line, Started{id, attempt});
    if (topic == kNoteProgress) return give(line, Progress{id, attempt, line.number_or("value", 0)});
  }
  // Anything else is news of a later wire, for services that this project doesn't know: ignored.
}

void Host::begin_batch(const Line& line) {
  if (in_batch_) throw Malformed("a batch inside a batch");
  now_ = line.whole("at-time");
  sequence_ = std::to_string(line.whole("seq"));
  reply_.clear();
  in_batch_ = true;
}

void Host::end_batch(std::ostream& out) {
  reply_.append("EOR seq=").append(sequence_).append("\n");
  out << reply_ << std::flush;
  in_batch_ = false;
}

void Host::open_list(const Line& line) {
  open_list_ = line.whole("slot");
  if (open_list_ < 0 || open_list_ >= kLists) throw Malformed("list number out of range");
  workers_due_ = line.whole("elements");
  if (workers_due_ < 0) throw Malformed("negative number of workers");
  lists_[open_list_].clear();
}

void Host::add_worker(const Line& line) {
  lists_[open_list_].push_back(read_worker(line));
  --workers_due_;
}

const std::vector<WorkerInfo>& Host::list(const Line& line) const {
  const auto found = lists_.find(line.whole("slot"));
  if (found == lists_.end()) throw Malformed("unknown list number");
  return found->second;
}

void Host::provision(const Line& line) {
  const auto id = line.whole("dispatcher-id");
  auto read = read_provision(line);
  Instance& fresh = instances_[id] = Instance{};
  fresh.fields = std::move(read.fields);
  give(line, Start{std::move(read.settings)});
}

Host::Instance& Host::instance(const Line& line) {
  const auto found = instances_.find(line.whole("dispatcher-id"));
  if (found == instances_.end()) throw Malformed("event for an instance that was not started");
  return found->second;
}

void Host::give(const Line& line, const Event& event) {
  Instance& to = instance(line);
  actions_.clear();
  to.dispatcher.handle(now_, event, actions_);
  if (std::holds_alternative<Stop>(event)) instances_.erase(line.whole("dispatcher-id"));
  for (const auto& action : actions_) write_action(line.whole("dispatcher-id"), action, reply_);
}

}  // namespace woadridge::wire
