#include "answers_world.h"

#include <algorithm>
#include <charconv>
#include <cstring>

#include "text.h"

namespace woadridge::proxy::played {
namespace {

constexpr double kCut = 0.01;  // of the steps of a connection that is in use
constexpr Micros kLong = 1'000'000;
constexpr int kMostSendings = 5, kMostPassings = 3;

std::uint64_t number(std::string_view text) {
  std::uint64_t value = 0;
  std::from_chars(text.data(), text.data() + text.size(), value);
  return value;
}

std::string answer_text(int status, const std::string& headers, const std::string& body) {
  std::string out;
  net::write_answer_head(out, status, headers, body.size(), true);
  return out + body;
}

struct Waits : Asker {  // a peer's connection that waits for an answer
  std::weak_ptr<Line> line;
  std::string id;
  std::uint64_t boot = 0;
  void reply(Reply reply) override {
    const auto to = line.lock();
    if (!to) return;
    std::string headers = reply.head;
    if (reply.own) net::write_header(headers, kAttemptId, id);
    if (reply.used) net::write_header(headers, kUsed, std::to_string(*reply.used));
    if (reply.never_read) net::write_header(headers, kNeverRead, "1");
    net::write_header(headers, kBoot, std::to_string(boot));
    to->say(answer_text(reply.status, headers, reply.body));
  }
};

}  // namespace

void Line::begin(const std::string& id, std::size_t head, std::string text, Told on_end) {
  for (const auto at : extras)
    if (at <= delivered) world.broken("KEPT");
  request = std::move(text);
  told = std::move(on_end);
  busy = true;
  exchange.begin(id, {head, request.size()}, false);
}

void Line::say(const std::string& bytes, bool extra) {
  if (!open) return;
  down += bytes;
  produced += bytes.size();
  if (extra) extras.push_back(produced);
}

bool Line::send_some() {
  if (!busy || exchange.all_sent()) return false;
  const auto from = exchange.sent();
  const auto bytes = 1 + world.draw(request.size() - from);
  up += request.substr(from, bytes);
  exchange.sent(bytes);
  return true;
}

bool Line::deliver_up() {
  if (up.empty()) return false;
  const auto bytes = 1 + world.draw(up.size());
  const auto room = server.room();
  const auto fits = std::min(bytes, room.size());
  std::memcpy(room.data(), up.data(), fits);
  up.erase(0, fits);
  server.arrived(fits);
  if (server.state() == net::HttpReader::State::complete && !served) {
    served = true;
    end.serve(shared_from_this());
    served = false;
    server.next();
  }
  return true;
}

bool Line::deliver_down() {
  if (down.empty() && !down_ends) return false;
  if (down.empty()) {
    down_ends = false;
    follow(exchange.ended());
    return true;
  }
  const auto room = exchange.room();
  const auto fits = std::min(1 + world.draw(down.size()), room.size());
  std::memcpy(room.data(), down.data(), fits);
  down.erase(0, fits);
  delivered += fits;
  follow(exchange.arrived(fits));
  return true;
}

void Line::deliver_answers() {
  const auto self = shared_from_this();
  while (open && !orphan && !down.empty()) deliver_down();
}

void Line::follow(Exchange::State state) {
  if (state == Exchange::State::failed) return fail(exchange.unanswered());
  if (state != Exchange::State::answered) return;
  auto result = exchange.take();
  busy = false;
  if (!exchange.reusable()) close();
  std::exchange(told, nullptr)(std::move(result));
}

void Line::fail(OutboundResult::How how) {
  const bool waited = std::exchange(busy, false);
  close();
  if (!waited) return;
  OutboundResult result;
  result.how = how;
  std::exchange(told, nullptr)(std::move(result));
}

// What the system has taken may still arrive, or any part of it.
void Line::cut() {
  const auto self = shared_from_this();
  const auto arrives = world.chance(0.5) ? up.size() : world.draw(up.size() + 1);
  up.resize(arrives);
  if (world.chance(0.5)) {  // later, behind what is sent after it
    orphan = true;
    const bool waited = std::exchange(busy, false);
    OutboundResult result;
    result.how = exchange.unanswered();
    if (waited) std::exchange(told, nullptr)(std::move(result));
    return;
  }
  while (deliver_up()) continue;
  end.cut_off(self);
  fail(exchange.unanswered());
}

bool Line::step() {
  const auto self = shared_from_this();
  if (!open) return false;
  constexpr double kOrphanMoves = 0.1;  // rarely: what is sent after it overtakes it
  if (orphan && !world.chance(kOrphanMoves)) return false;
  if (orphan) {
    if (deliver_up()) return true;
    end.cut_off(self);
    close();
    return true;
  }
  if (busy && world.chance(kCut)) return cut(), true;
  const auto first = world.draw(3);
  for (std::size_t n = 0; n < 3; ++n) {
    const auto what = (first + n) % 3;
    if (what == 0 ? send_some() : what == 1 ? deliver_up() : deliver_down()) return true;
  }
  return false;
}

LineRef Sender::line(End& to, const std::string& id) {
  auto& all = lines_to(to);
  std::erase_if(all, [](const LineRef& line) { return !line->open; });
  for (const auto& line : all)
    if (!line->busy && line->exchange.may_carry(id)) return line;
  auto fresh = std::make_shared<Line>(world_, to);
  all.push_back(fresh);
  world_.lines.push_back(fresh);
  return fresh;
}

std::vector<LineRef>& Sender::lines_to(End& to) {
  const auto found =
      std::find_if(lines_.begin(), lines_.end(), [&](auto& entry) { return entry.first == &to; });
  return found != lines_.end() ? found->second : lines_.emplace_back(&to, std::vector<LineRef>{}).second;
}

void Sender::drop_all() {
  for (auto& [to, all] : lines_)
    for (auto& line : all) {
      line->told = nullptr;
      if (line->open && line->busy) line->told = [](OutboundResult) {};
      if (line->open) line->cut();
    }
  lines_.clear();
}

std::string Instance::answer(const std::string& id, bool named) const {
  std::string headers;
  if (named) net::write_header(headers, kAttemptId, id);
  net::write_header(headers, kSeal, "s.1");
  return answer_text(200, headers, id + "|" + name_ + "|a body of some length;end");
}

void Instance::serve(const LineRef& line) {
  const std::string id(line->server.header(kAttemptId));
  line->say(std::exchange(line->late, {}), true);
  if (line->extras.size() > 0 && line->extras.back() == line->produced && line->down.empty())
    line->extras.pop_back();
  std::string not_run;
  net::write_header(not_run, kAttemptId, id);
  net::write_header(not_run, kNotExecuted, "1");
  if (world_.chance(0.5)) net::write_header(not_run, kSeal, "s.0");
  const auto shed = answer_text(503, not_run, "");
  const auto dice = world_.draw(100);
  if (dice < 14) {
    line->say(shed);
    if (dice < 7) line->late = shed;
    return;
  }
  auto& record = world_.ledger.at(id);
  ++record.runs;
  record.ran_on.insert(name_);
  const auto good = answer(id, true);
  if (dice < 20) return;  // its answer is lost
  if (dice < 26) {        // breaks off at any byte
    line->say(good.substr(0, world_.draw(good.size())));
    line->down_ends = true;
  } else if (dice < 32) {  // the same once more
    line->say(good);
    line->say(good, true);
  } else if (dice < 38) {  // an answer that names no request, later
    line->say(good);
    line->late = answer(id, false);
  } else if (dice < 44) {  // only the end says that it is whole, and the end comes early
    const std::string body = id + "|" + name_ + "|a body of some length;end";
    line->say("HTTP/1.1 200 OK\r\nX-Woadridge-Attempt-Id: " + id +
              "\r\nX-Woadridge-Instance-Seal: s.1\r\n\r\n" + body.substr(0, world_.draw(body.size())));
    line->down_ends = true;
  } else if (dice < 48) {  // spoilt from any byte of its first line on
    line->say(good.substr(0, world_.draw(8)) + "\x01\x02junk\r\n\r\n");
  } else if (dice < 54) {  // a promise that it did not keep
    line->say(answer_text(503, "X-Woadridge-Attempt-Id: " + id + "\r\n", ""));
  } else if (dice < 60) {
    line->say("HTTP/1.1 100 Continue\r\n\r\n" + good);
  } else if (dice < 65) {  // a failure of its own, which it doesn't seal
    line->say(answer_text(410, "X-Woadridge-Attempt-Id: " + id + "\r\n", ""));
  } else {
    line->say(good);
  }
}

// The worst of them begin with what they have.
void Instance::cut_off(const LineRef& line) {
  if (line->server.state() != net::HttpReader::State::body || !world_.chance(0.7)) return;
  auto& record = world_.ledger.at(std::string(line->server.header(kAttemptId)));
  ++record.runs;
  record.ran_on.insert(name_);
}

void Proxy::take(const std::string& id, const std::string& body, Tries tries, Done done) {
  auto job = std::make_shared<Job>(Job{id, body, tries, 0, 0, std::move(done)});
  Proxy& home = *world_.proxies[world_.draw(world_.proxies.size())];
  if (&home == this) return attempt(job);
  pass(job, home);
}

void Proxy::attempt(std::shared_ptr<Job> job) {
  const auto fail = [&](int status) {
    if (status == 503 && !job->tries.may_promise()) status = 502;
    Reply reply;
    reply.status = status;
    job->done(std::move(reply), job->tries);
  };
  if (!job->tries.may_run()) return fail(502);
  if (++job->sendings > kMostSendings) return fail(503);
  auto& to = *world_.instances[world_.draw(world_.instances.size())];
  std::string head = "POST /x HTTP/1.1\r\n";
  net::write_header(head, kAttemptId, job->id);
  net::write_header(head, "Content-Length", std::to_string(job->body.size()));
  head += "\r\n";
  job->tries.begin();
  at_work_.push_back(job);
  lines_.line(to, job->id)->begin(job->id, head.size(), head + job->body, [this, job](OutboundResult end) {
    std::erase(at_work_, job);
    const auto judged = judge_attempt(end);
    if (judged == AttemptEnd::answered || judged == AttemptEnd::may_have_run) job->tries.ran();
    else job->tries.not_run();
    if (judged != AttemptEnd::answered) return attempt(job);
    job->done(instance_reply(end), job->tries);
  });
}

void Proxy::pass(std::shared_ptr<Job> job, Proxy& home) {
  if (++job->passings > kMostPassings) return attempt(job);
  auto passing = std::make_shared<Passing>();
  passing->job = job;
  passing->home = &home;
  passing->count = ++passes_;
  passing->boot = known_[&home];
  passing->so_far.grant = job->tries.grant_to_peer();
  passing->so_far.life_known = passing->boot != 0;
  send(passing);
}

void Proxy::send(const std::shared_ptr<Passing>& passing) {
  const auto& tries = passing->job->tries;
  std::string head = "POST /x HTTP/1.1\r\n";
  net::write_header(head, kAttemptId, passing->job->id);
  net::write_header(head, kVia,
                    (tries.repeatable() ? "r;" : "m;") + std::to_string(tries.most()) + ";" +
                        std::to_string(tries.used()) + ";" + std::to_string(passing->so_far.grant));
  net::write_header(head, kPass, std::to_string(boot_) + "." + std::to_string(passing->count));
  if (passing->so_far.rejoined > 0) net::write_header(head, kRejoin, std::to_string(passing->boot));
  net::write_header(head, "Content-Length", std::to_string(passing->job->body.size()));
  head += "\r\n";
  const auto& id = passing->job->id;
  lines_.line(*passing->home, id)
      ->begin(id, head.size(), head + passing->job->body,
              [this, passing](OutboundResult end) { ended(passing, std::move(end)); });
}

void Proxy::ended(const std::shared_ptr<Passing>& passing, OutboundResult end) {
  const auto& job = passing->job;
  if (end.boot != 0) known_[passing->home] = end.boot;
  const auto next = judge_pass(job->tries, passing->so_far, end);
  Reply reply;
  switch (next) {
    case PassEnd::rejoin:
      ++passing->so_far.rejoined;
      return send(passing);
    case PassEnd::pass_along:
      reply = instance_reply(end);
      reply.own = !end.sealed;
      break;
    case PassEnd::again:
    case PassEnd::unreachable:
      return pass(job, *passing->home);
    case PassEnd::refuse:
      reply.status = 503;
      break;
    case PassEnd::fail:
      break;
  }
  job->done(std::move(reply), job->tries);
}

void Proxy::serve(const LineRef& line) {
  const auto& read = line->server;
  auto waits = std::make_shared<Waits>();
  waits->line = line;
  waits->id = std::string(read.header(kAttemptId));
  waits->boot = boot_;
  askers_.push_back(waits);
  const auto via = split(read.header(kVia), ';');
  const Tries tries(via[0] == "r", static_cast<std::uint32_t>(number(via[1])),
                    static_cast<std::uint32_t>(number(via[2])), static_cast<std::uint32_t>(number(via[3])));
  const auto pass = split(read.header(kPass), '.');
  const PassNumber mark{number(pass[0]), number(pass[1])};
  Reply unknown, never;
  unknown.used = tries.granted();
  never.status = kNeverReadStatus;
  never.never_read = true;
  if (const auto life = read.header(kRejoin); !life.empty()) {
    if (number(life) != boot_ && !planted(Planted::any_life)) return waits->reply(unknown);
    const auto search = calls_->find(mark, kLong, 0);
    if (search.found == PeerCalls::Found::never_read) return waits->reply(never);
    if (search.found == PeerCalls::Found::unknown) return waits->reply(unknown);
    if (!search.call->answered()) return search.call->wait(waits);
    return waits->reply(search.call->kept() ? *search.call->kept() : unknown);
  }
  const auto call = calls_->read(mark, kLong, 0);
  if (!call) return waits->reply(unknown);
  call->wait(waits);
  const auto job = std::make_shared<Job>(
      Job{waits->id, std::string(read.body()), tries, 0, 0, [call](Reply reply, Tries counted) {
            reply.used = counted.used();
            call->reply(std::move(reply));
          }});
  attempt(job);
}

void Proxy::end(std::uint64_t boot) {
  for (const auto& job : std::exchange(at_work_, {})) job->done(Reply{}, job->tries);
  const auto all = world_.lines;
  for (const auto& line : all)
    if (line->open && &line->end == this) line->deliver_answers();
  die(boot);
}

void Proxy::die(std::uint64_t boot) {
  const auto all = world_.lines;
  for (const auto& line : all)
    if (line->open && &line->end == this) line->cut();
  lines_.drop_all();
  at_work_.clear();
  calls_ = std::make_unique<PeerCalls>();
  boot_ = boot;
}

void World::call(int number) {
  const std::string id = "c" + std::to_string(number) + "x";
  auto& record = ledger[id];
  record.repeatable = chance(0.5);
  record.most = static_cast<std::uint32_t>(1 + draw(3));
  const std::string body(draw(40), 'b');
  proxies[draw(proxies.size())]->take(id, body, Tries(record.repeatable, record.most),
                                      [&record](Reply reply, const Tries&) {
                                        record.told = reply.status;
                                        record.body = reply.body;
                                      });
}

void World::run(int calls) {
  for (int n = 0; n < 4; ++n) instances.push_back(std::make_unique<Instance>(*this, "i" + std::to_string(n)));
  for (int n = 0; n < 3; ++n)
    proxies.push_back(std::make_unique<Proxy>(*this, static_cast<std::uint64_t>(n + 1)));
  std::uint64_t boots = 10;
  int begun = 0;
  while (true) {
    if (begun < calls && chance(0.1)) call(begun++);
    if (chance(0.0005)) proxies[draw(proxies.size())]->die(++boots);
    if (chance(0.0005)) proxies[draw(proxies.size())]->end(++boots);
    std::erase_if(lines, [](const LineRef& line) { return !line->open; });
    bool moved = false;
    const auto all = lines;
    const auto first = all.empty() ? 0 : draw(all.size());
    for (std::size_t n = 0; n < all.size() && !moved; ++n) moved = all[(first + n) % all.size()]->step();
    if (moved || begun < calls) continue;
    // Silence: the deadline of one that waits.
    const auto waits =
        std::find_if(all.begin(), all.end(), [](auto& line) { return line->open && line->busy; });
    if (waits == all.end()) break;
    (*waits)->cut();
  }
  judge();
}

void World::judge() {
  for (const auto& [id, record] : ledger) {
    if (!record.repeatable && record.runs > 1) broken("TWICE");
    if (record.ran_on.size() > record.most) broken("BUDGET");
    if (is_promise(record.told) && record.runs > 0) broken("REFUSED");
    if (record.told != 200) continue;
    ++served;
    if (!record.body.starts_with(id + "|") || !record.body.ends_with(";end")) broken("MIXED");
  }
}

}  // namespace woadridge::proxy::played
