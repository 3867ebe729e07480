#include "controller/core.h"

#include <algorithm>
#include <boost/asio/post.hpp>
#include <chrono>
#include <random>

#include "common/log.h"
#include "configuration/configuration.h"
#include "controller/calls.h"
#include "controller/clock.h"

namespace woadridge::controller {
namespace {

using quorum::Micros;

constexpr Micros kCallLimit = 900'000;  // operators move on after a second of silence
constexpr std::size_t kVersionBytes = 8;
constexpr std::uint16_t kCorePort = 3;  // after the first of the internal ports
constexpr const char* kSoon = "Retry-After: 0.3\r\n";
constexpr Micros kStop = 950'000;
constexpr Micros kFlush = 60'000;

// How a configuration lies in its register: eight bytes of version, little endian, then what the operator
// sent.
std::string with_version(common::Version version, std::string_view body) {
  std::string value;
  value.reserve(kVersionBytes + body.size());
  for (std::size_t i = 0; i < kVersionBytes; ++i) value += static_cast<char>(version >> 8 * i & 0xff);
  return value.append(body);
}

common::Version version_of(std::string_view value) {
  common::Version version = 0;
  for (std::size_t i = 0; i < kVersionBytes && i < value.size(); ++i)
    version |= static_cast<common::Version>(static_cast<unsigned char>(value[i])) << 8 * i;
  return version;
}

quorum::Options options_of(const common::Settings& s) {
  quorum::Options o;
  o.self = {s.ip, s.control.text(), s.zone, 0};
  for (const auto& seed : s.seeds) o.seeds.push_back(seed.ip);
  o.bootstrap = s.bootstrap;
  o.votes = s.quorum_member;
  o.lease = Micros{s.contact_ms} * 400;
  o.losses = s.machine_losses;
  o.zone_losses = s.zone_losses;
  o.region_losses = s.region_losses;
  o.region_of = s.zones;
  return o;
}

const char* name_of(quorum::Member::Standing standing) {
  switch (standing) {
    case quorum::Member::Standing::founding:
      return "founding";
    case quorum::Member::Standing::blank:
      return "blank";
    case quorum::Member::Standing::voter:
      return "voter";
    case quorum::Member::Standing::learner:
      return "learner";
  }
  return "blank";
}

std::string digest_text(std::uint64_t digest) {  // as operators compare it
  constexpr const char* kDigits = "0123456789abcdef";
  std::string text;
  for (int shift = 60; shift >= 0; shift -= 4) text += kDigits[digest >> shift & 0xf];
  return text;
}

std::string named(const chain::Mark& mark) {  // members of a JSON object
  return "\"version\":" + std::to_string(mark.version) + ",\"digest\":\"" + digest_text(mark.digest) + '"';
}

std::string conflict_line(common::Version version, const chain::Mark& in_force) {
  return "version " + std::to_string(version) + " was taken with other bytes; in force is version " +
         std::to_string(in_force.version) + " with digest " + digest_text(in_force.digest);
}

// Of an order that is decided. Only conflict refuses: repeating it can't help, a new number can.
Answer answer_of(common::Version version, const quorum::Finished& decided) {
  const std::string in_force = "{" + named(decided.mark);
  switch (decided.outcome) {
    case chain::Outcome::applied:
    case chain::Outcome::superseded:
      return answer(200, in_force + ",\"applied\":true}");
    case chain::Outcome::conflict:
      return answer(409, in_force + ",\"applied\":false,\"faults\":[\"" +
                             conflict_line(version, decided.mark) + "\"]}");
    case chain::Outcome::stale:
      return answer(200, in_force + ",\"applied\":false}");
    case chain::Outcome::forgotten:
      break;
  }
  return answer(200, in_force + ",\"applied\":null}");  // nobody remembers
}

std::string in_json(const std::vector<std::string>& texts) {
  std::string out = "[";
  for (const auto& t : texts) out.append(out.size() > 1 ? "," : "").append(common::in_json(t));
  return out + "]";
}

}  // namespace

Core::Core(net::Strand strand, common::Settings settings)
    : strand_(strand),
      settings_(std::move(settings)),
      timer_(strand),
      stopping_timer_(strand),
      links_(strand, settings_.ip, static_cast<std::uint16_t>(settings_.first_port + kCorePort),
             std::clamp<std::uint32_t>(settings_.contact_ms / 4, 500, 2000),
             [this](const std::string& from, quorum::Message message) {
               if (!member_) return;
               // After a standstill the lease may be over: that comes before what has come meanwhile.
               if (holding_ && !member_->holds(steady_now())) member_->tick(steady_now());
               member_->heard(from, std::move(message), steady_now());
               pump();
             }),
      duty_holder_(strand, settings_, {[this] { return holding(); }, [this] { confirm(); }}),
      api_server_(strand, settings_.memory_mb, [this](const Request& request, ApiServer::Reply reply) {
        serve(request, std::move(reply));
      }) {}

common::Result<void> Core::open() {
  for (auto opened : {links_.open(), api_server_.open(settings_.control), duty_holder_.open()})
    if (!opened) return opened.error();
  store_.emplace(
      settings_.data_path,
      [this](quorum::Opened found) {
        boost::asio::post(strand_, [this, found = std::move(found)]() mutable { opened(std::move(found)); });
      },
      [this](std::uint64_t token, bool good) {
        boost::asio::post(strand_, [this, token, good] {
          if (good != disk_good_) common::warning(good ? "the disk writes again" : "the disk does not write");
          disk_good_ = good;
          if (member_) member_->persisted(token, good, steady_now());
          pump();
        });
      },
      [this](std::string trouble) {
        boost::asio::post(strand_, [trouble = std::move(trouble)] { common::warning(trouble); });
      });
  return boost::outcome_v2::success();
}

void Core::opened(quorum::Opened found) {
  std::random_device chance;
  const std::uint64_t seed = static_cast<std::uint64_t>(chance()) << 32 | chance();
  if (holding_) duty_holder_.end();
  holding_ = false;
  for (auto& [ticket, on_finished] : std::exchange(open_calls_, {}))
    on_finished({ticket, false, {}, nullptr});
  member_.emplace(options_of(settings_), found.rows, found.lost, seed, steady_now());
  common::info("the disk is read",
               {{"standing", name_of(member_->standing())}, {"lost", found.lost ? "yes" : "no"}});
  store_->begin();
  if (stopping_) member_->leave(steady_now());
  member_->tick(steady_now());
  pump();
}

void Core::pump() {
  if (pumping_ || !member_) return;
  pumping_ = true;
  for (quorum::Out out = member_->take();; out = member_->take()) {
    if (out.envelopes.empty() && out.writes.empty() && out.finished.empty() && out.learned.empty() &&
        out.duty.empty() && out.notes.empty() && out.refused.empty())
      break;
    for (auto& value : out.learned) {  // before the duty that was begun with it
      newest_ = value;
      acted_on_ = false;
      common::info("configuration in force", {{"version", std::to_string(version_of(*value))}});
      if (holding_) act();
    }
    for (auto& d : out.duty) {
      common::info(d.held ? "the duty is held" : "the duty is over", {{"term", std::to_string(d.term)}});
      holding_ = d.held;
      term_ = d.term;
      if (d.held) act();
      if (d.held) duty_holder_.begin(d.term);
      else duty_holder_.end();
    }
    for (auto& [token, rows] : out.writes) store_->write(token, std::move(rows));
    for (auto& [to, said] : out.envelopes) links_.send(to, std::move(said));
    for (const auto& note : out.notes)
      common::info(note, {{"members", std::to_string(member_->members().size())}});
    for (const auto& [from, why] : out.refused) {
      common::warning("a message is refused", {{"from", from}, {"why", why}});
      links_.hang_up(from);
    }
    for (const auto& f : out.finished) {
      const auto at = open_calls_.find(f.ticket);
      if (at == open_calls_.end()) continue;
      const OnFinished on_finished = std::move(at->second);
      open_calls_.erase(at);
      on_finished(f);
    }
  }
  tell_holder();
  pumping_ = false;
  arm();
}

// Only the holder needs the plan: others read it when the duty comes to them.
void Core::act() {
  if (acted_on_ || !newest_) return;
  acted_on_ = true;
  if (!read_ || read_->version != version_of(*newest_)) {
    auto reading = configuration::read_stored(std::string_view(*newest_).substr(kVersionBytes));
    if (!reading.good()) {  // guards against a roll-out in which this release is stricter than the one that
                            // took it
      common::error("the configuration in force can't be read", {{"fault", reading.faults.front()}});
      return;
    }
    for (const auto& route : reading.left_out)
      common::warning("a stored route is left out: an earlier one has its host and prefix",
                      {{"route", route}});
    read_ = std::make_shared<const common::Plan>(std::move(reading.plan));
  }
  duty_holder_.plan(read_);
}

void Core::tell_holder() {
  const auto duty = member_->duty_known();
  common::Elsewhere elsewhere;
  if (duty) elsewhere.term = duty->term;
  if (duty && duty->holder != settings_.ip && member_->seen(duty->holder, steady_now()))
    elsewhere.holder = settings_.core_link(duty->holder).text();
  for (const auto& m : member_->members()) elsewhere.core.push_back(settings_.core_link(m.ip).text());
  if (elsewhere == told_elsewhere_) return;
  told_elsewhere_ = elsewhere;
  duty_holder_.elsewhere(std::move(elsewhere));
}

Holding Core::holding() const {
  if (!member_ || !holding_) return {};
  Holding holding;
  holding.term = term_;
  holding.leased = member_->holds(steady_now()) && member_->term() == term_;
  holding.confirmed = confirmed_term_ == term_;
  holding.known = newest_ ? version_of(*newest_) : 0;
  holding.named = member_->chain().newest_named();
  return holding;
}

// What was acknowledged before this term is with the tail of a view that a majority says is in force: the
// answer to a read brings it here, if no member has.
void Core::confirm() {
  if (confirming_ || !holding_) return;
  confirming_ = true;
  const auto ticket = member_->read(kCallLimit, steady_now());
  open_calls_[ticket] = [this, term = term_](const quorum::Finished& f) {
    confirming_ = false;
    if (f.good && holding_ && term == term_) confirmed_term_ = term;
  };
  boost::asio::post(strand_, [this] { pump(); });
}

void Core::arm() {
  const Micros now = steady_now(), due = std::max(member_->due(), now + 1000);
  if (armed_ > now && armed_ <= due) return;
  armed_ = due;
  timer_.expires_at(std::chrono::steady_clock::time_point(std::chrono::microseconds(due)));
  timer_.async_wait([this](boost::system::error_code stopped) {
    if (stopped) return;
    armed_ = 0;
    member_->tick(steady_now());
    pump();
  });
}

// ---- operators' calls

void Core::serve(const Request& request, ApiServer::Reply reply) {
  int status = 404;
  const Call* call = find_call(request.method, request.path, status);
  if (call == nullptr) return reply(answer(status, R"({"faults":["no such call"]})"));
  (this->*call->handler)(request, std::move(reply));
}

Contact Core::contact() const {
  Contact contact;
  if (!member_) return contact;
  contact.takes_part = member_->standing() == quorum::Member::Standing::voter && !stopping_;
  contact.members = member_->members().size();
  for (const auto& m : member_->members())
    contact.heard_of += m.ip == settings_.ip || member_->seen(m.ip, steady_now()) ? 1 : 0;
  return contact;
}

// Of a machine that isn't heard of nobody knows whether it can answer.
std::optional<quorum::Machine> Core::better_placed() const {
  if (!member_) return std::nullopt;
  const auto other = member_->someone_else(steady_now());
  return other && member_->seen(other->ip, steady_now()) ? other : std::nullopt;
}

// One that no majority hears sends nobody on: those that it hears are cut off with it.
bool Core::elsewhere(const std::string& path, const ApiServer::Reply& reply) {
  const Contact here = contact();
  if (in_contact(here)) return false;
  const auto other = here.takes_part ? std::nullopt : better_placed();
  if (other) reply(answer(307, "{}", "Location: http://" + other->control + path + "\r\n"));
  else reply(answer(503, R"({"faults":["not in contact with the core"]})", kSoon));
  return true;
}

void Core::put_configuration(const Request& request, ApiServer::Reply reply) {
  if (elsewhere(std::string(request.path), reply)) return;
  auto reading = configuration::read(request.body);
  if (!reading.good()) return reply(answer(400, "{\"faults\":" + in_json(reading.faults) + "}"));
  const auto plan = std::make_shared<const common::Plan>(std::move(reading.plan));
  const auto wanted = std::make_shared<const std::string>(with_version(plan->version, request.body));
  const auto ticket = member_->put(wanted, plan->version, kCallLimit, steady_now());
  open_calls_[ticket] = [this, plan, wanted, reply = std::move(reply)](const quorum::Finished& f) {
    if (!f.good) return reply(answer(503, R"({"faults":["not on enough disks in time"]})", kSoon));
    if (f.value == wanted && (!read_ || read_->version < plan->version)) read_ = plan;
    reply(answer_of(plan->version, f));
  };
  pump();
}

void Core::get_configuration(const Request& request, ApiServer::Reply reply) {
  if (elsewhere(std::string(request.path), reply)) return;
  const auto ticket = member_->read(kCallLimit, steady_now());
  open_calls_[ticket] = [reply = std::move(reply)](const quorum::Finished& f) {
    if (!f.good) return reply(answer(503, R"({"faults":["the chain did not answer in time"]})", kSoon));
    if (!f.value) return reply(answer(404, R"({"faults":["there is no configuration yet"]})"));
    const std::string headers = "X-Woadridge-Configuration-Version: " + std::to_string(f.mark.version) +
                                "\r\nX-Woadridge-Configuration-Digest: " + digest_text(f.mark.digest) +
                                "\r\n";
    reply({200, headers, f.value, kVersionBytes});
  };
  pump();
}

// Only the holder of the duty goes the way from one list to the next.
void Core::replace_member(const Request& request, ApiServer::Reply reply) {
  if (elsewhere(std::string(request.path), reply)) return;
  const auto& members = member_->members();
  const auto named = [&members](const std::string& ip) {
    return std::find_if(members.begin(), members.end(), [&ip](const auto& m) { return m.ip == ip; });
  };
  const std::string ip(request.body);
  if (named(ip) == members.end()) return reply(answer(404, R"({"faults":["no member has that ip"]})"));
  if (member_->replace(ip, steady_now())) {
    pump();
    return reply(answer(202, "{\"replaces\":" + common::in_json(ip) + "}"));
  }
  const auto holder = named(member_->duty_known().value_or(quorum::Duty{}).holder);
  if (holder == members.end() || holder->ip == settings_.ip)
    return reply(answer(503, R"({"faults":["nobody holds the duty now"]})", kSoon));
  reply(answer(307, "{}", "Location: http://" + holder->control + std::string(request.path) + "\r\n"));
}

void Core::get_status(const Request&, ApiServer::Reply reply) {
  std::string out = "{\"node\":" + common::in_json(settings_.node_name);
  if (member_) {
    const Micros now = steady_now();
    out.append(",\"standing\":\"").append(name_of(member_->standing())).append("\",\"members\":[");
    bool first = true;
    for (const auto& m : member_->members()) {
      out.append(std::exchange(first, false) ? "" : ",").append("{\"ip\":" + common::in_json(m.ip));
      out.append(",\"control\":" + common::in_json(m.control)).append(",\"zone\":" + common::in_json(m.zone));
      out.append(",\"heard\":").append(m.ip == settings_.ip || member_->seen(m.ip, now) ? "true}" : "false}");
    }
    out.append("],\"epoch\":" + std::to_string(member_->list().epoch));
    out.append(",\"changing\":").append(member_->list().joint() ? "true" : "false").append(",\"learners\":[");
    first = true;
    for (const auto& m : member_->learners(now))
      out.append(std::exchange(first, false) ? "" : ",")
          .append("{\"ip\":" + common::in_json(m.ip))
          .append(",\"control\":" + common::in_json(m.control))
          .append(",\"zone\":" + common::in_json(m.zone) + "}");
    // Out of contact nobody knows who holds the duty: the last one heard of is no answer.
    const bool contacts = in_contact(contact());
    const auto duty = contacts ? member_->duty_known().value_or(quorum::Duty{}) : quorum::Duty{};
    out.append("],\"holder\":" + common::in_json(duty.holder))
        .append(",\"term\":" + std::to_string(duty.term));
    out.append(",\"in-contact\":").append(contacts ? "true" : "false");
    out.append(",\"holds\":").append(member_->holds(now) ? "true" : "false");
    out.append("," + named(member_->chain().in_force()));
    out.append(",\"whole\":").append(member_->chain().whole() ? "true" : "false");
    const auto& replica = member_->chain().replica();
    out.append(",\"version-on-disk\":" + std::to_string(replica.on_disk().version));
    out.append(",\"view\":" + std::to_string(replica.view().number)).append(",\"chain\":[");
    first = true;
    for (const auto& link : replica.view().chain)
      out.append(std::exchange(first, false) ? "" : ",").append(common::in_json(link.ip));
    out.append("]");
  }
  out.append(",\"disk\":")
      .append(!member_     ? "\"not open\"}"
              : disk_good_ ? "\"good\"}"
                           : "\"does not write\"}");
  reply(answer(200, std::move(out)));
}

// ---- changes and the end

void Core::reread(const common::Settings& settings) {
  if (settings.seeds == settings_.seeds) return;
  settings_.seeds = settings.seeds;
  if (member_) member_->seeds(options_of(settings_).seeds);
  common::info("other seeds", {{"count", std::to_string(settings.seeds.size())}});
}

void Core::stop(std::function<void()> over) {
  if (std::exchange(stopping_, true)) return;
  if (member_) {
    member_->leave(steady_now());
    pump();
  }
  duty_holder_.stop();
  api_server_.close();
  look_over(std::move(over), steady_now());
}

void Core::look_over(std::function<void()> over, Micros since) {
  const Micros gone = steady_now() - since;
  const bool hands_over = member_ && member_->handing_over(steady_now());
  const bool quiet = api_server_.unanswered() == 0 && links_.all_sent() && gone >= kFlush;
  // To one that stands by: half of the time that the platform leaves is enough for that.
  if (hands_over && gone < Micros{settings_.grace_s} * 500'000) return look_again(std::move(over), since);
  if (quiet || gone >= kStop) return over();
  look_again(std::move(over), since);
}

void Core::look_again(std::function<void()> over, Micros since) {
  stopping_timer_.expires_after(std::chrono::milliseconds(20));
  stopping_timer_.async_wait([this, over = std::move(over), since](boost::system::error_code) mutable {
    look_over(std::move(over), since);
  });
}

}  // namespace woadridge::controller
