#include "lab/platform/provider.h"

#include <charconv>

namespace woadridge::lab::platform {
namespace {

using Json = nlohmann::json;

void say(const Door::VisitRef& visit, int status, const Json& body) {
  visit->answer(status, "Content-Type: application/json\r\n", body.dump());
}

void refuse(const Door::VisitRef& visit, int status, const std::string& why) {
  say(visit, status, Json{{"error", why}});
}

// Of a target "/path?a=b&c=d"; no escapes, as no token or zone of this stand-in needs any.
std::string query(const std::string& target, const std::string& key) {
  auto at = target.find('?');
  while (at != std::string::npos) {
    const auto from = at + 1;
    at = target.find('&', from);
    const auto pair = target.substr(from, at == std::string::npos ? at : at - from);
    if (pair.starts_with(key + "=")) return pair.substr(key.size() + 1);
  }
  return {};
}

std::string text(const Json& asked, const char* key) {
  const auto found = asked.find(key);
  return found != asked.end() && found->is_string() ? found->get<std::string>() : std::string();
}

std::uint32_t figure(const Json& of, const char* key, std::uint32_t otherwise) {
  const auto found = of.find(key);
  return found != of.end() && found->is_number() ? found->get<std::uint32_t>() : otherwise;
}

}  // namespace

Provider::Provider(net::Strand strand, Endpoint endpoint, ProviderOptions options)
    : strand_(strand),
      options_(std::move(options)),
      ledger_(options_.ledger, options_.machines, options_.addresses),
      instances_(
          strand, clock_, options_.work, [this](const std::string& id) { ledger_.freed(clock_.now(), id); },
          options_.on_arrival),
      door_(strand, std::move(endpoint), {}, [this](const Door::VisitRef& visit) { take(visit); }) {
  for (const auto& [service, work] : options_.work_of) instances_.work_of(service, work);
}

void Provider::close() {
  closed_ = true;
  door_.drop();
  instances_.drop();
}

void Provider::functions(const Json& configuration) {
  std::vector<Function> all;
  for (const auto& service : configuration.at("services")) {
    Function function;
    function.name = service.at("name").get<std::string>();
    function.memory_mb = figure(service, "memory-mb", function.memory_mb);
    function.startup_ms = figure(service, "startup-ms", function.startup_ms);
    function.concurrency = figure(service, "concurrency", function.concurrency);
    function.max_conns = figure(service, "max-conns", function.max_conns);
    most_conns_[function.name] = function.max_conns;
    all.push_back(std::move(function));
  }
  ledger_.functions(std::move(all));
}

void Provider::suffer(ProviderTrouble trouble, Micros lasts) {
  const std::chrono::microseconds span(lasts);
  if (trouble == ProviderTrouble::hold_back) return door_.hold_back(span);
  if (trouble == ProviderTrouble::refuse) {
    refuses_until_ = std::max(refuses_until_, clock_.now() + lasts);
    return;
  }
  door_.drop();
  auto timer = std::make_shared<net::Timer>(strand_, span);
  timer->async_wait([this, timer](net::Fault) {
    if (!closed_) door_.open();
  });
}

void Provider::take(const Door::VisitRef& visit) {
  if (clock_.now() < refuses_until_) return refuse(visit, 503, "out of service");
  const std::string target = visit->target(), path = target.substr(0, target.find('?'));
  const bool get = visit->method() == "GET", post = visit->method() == "POST";
  if (get && path == "/instances") return list(visit);
  if (get && path == "/api/workers") return fleet(visit);
  const Json asked = post ? Json::parse(visit->body(), nullptr, false) : Json();
  if (post && !asked.is_object()) return refuse(visit, 400, "the body is no JSON object");
  if (post && path == "/api/begin") return begin(visit, asked);
  if (post && path == "/api/stop") return stop(visit, asked);
  if (post && path == "/stand-in/drain") return take_drain(visit, asked);
  refuse(visit, 404, "no such call");
}

void Provider::list(const Door::VisitRef& visit) {
  const Micros now = clock_.now();
  ++tally_.reads;
  if (!ledger_.may_read(now)) return ++tally_.too_many, refuse(visit, 429, "over the rate");
  const auto page = ledger_.list(now, query(visit->target(), "zone"), query(visit->target(), "page-token"));
  Json shown = Json::array();
  for (const auto& [life, draining] : page.lives)
    shown.push_back({{"id", life->id},
                     {"service", life->service},
                     {"address", life->address},
                     {"zone", life->zone},
                     {"machine", life->machine},
                     {"version", "v1"},
                     {"capacity", life->capacity},
                     {"state", draining ? "draining" : "ready"},
                     {"cold-left-ms", 0}});
  say(visit, 200, {{"instances", shown}, {"next-token", page.next.empty() ? Json() : Json(page.next)}});
}

void Provider::fleet(const Door::VisitRef& visit) {
  const Micros now = clock_.now();
  ++tally_.reads;
  if (!ledger_.may_read(now)) return ++tally_.too_many, refuse(visit, 429, "over the rate");
  Json shown = Json::array();
  for (const auto& at : ledger_.fleet(now))
    shown.push_back({{"name", at.machine->name},
                     {"zone", at.machine->zone},
                     {"memory-mb", at.machine->memory_mb},
                     {"spare-mb", at.spare_mb},
                     {"state", at.draining ? "draining" : "ready"}});
  say(visit, 200, {{"fleet", shown}});
}

bool Provider::turned_away(const Door::VisitRef& visit) {
  const std::string word = visit->header("X-Woadridge-Fence-Token");
  std::uint64_t token = 0;
  const char* end = word.data() + word.size();
  const auto [stopped, bad] = std::from_chars(word.data(), end, token);
  if (word.empty() || bad != std::errc() || stopped != end) {
    ++tally_.fenced;
    refuse(visit, 403, "X-Woadridge-Fence-Token is missing or no number");
    return true;
  }
  if (ledger_.fenced(token)) {
    ++tally_.fenced;
    refuse(visit, 403, "a later holder has called");
    return true;
  }
  if (ledger_.may_act(clock_.now())) return false;
  ++tally_.too_many;
  refuse(visit, 429, "over the rate");
  return true;
}

void Provider::begin(const Door::VisitRef& visit, const Json& asked) {
  ++tally_.begins;
  if (turned_away(visit)) return;
  const auto service = text(asked, "service");
  const auto begun = ledger_.begin(clock_.now(), service, text(asked, "machine"), text(asked, "nonce"));
  if (begun.status == 409) ++tally_.no_room;
  if (begun.life == nullptr) return refuse(visit, begun.status, begun.why);
  if (begun.anew) instances_.begin(*begun.life, most_conns_[service]);
  say(visit, 200, {{"id", begun.life->id}, {"address", begun.life->address}});
}

void Provider::stop(const Door::VisitRef& visit, const Json& asked) {
  ++tally_.stops;
  if (turned_away(visit)) return;
  const auto id = text(asked, "id");
  if (ledger_.life(id) == nullptr) return refuse(visit, 404, "no such instance ever was");
  ledger_.left(clock_.now(), id);
  instances_.stop(id);
  say(visit, 200, Json::object());
}

std::optional<std::vector<std::string>> Provider::drain(const std::string& machine) {
  auto leaving = ledger_.drain(clock_.now(), machine);
  if (!leaving) return leaving;
  for (const auto& id : *leaving) {
    auto timer = std::make_shared<net::Timer>(strand_);
    timer->expires_after(std::chrono::microseconds(options_.drain));
    timer->async_wait([this, id, timer](net::Fault stopped) {
      if (stopped) return;
      ledger_.left(clock_.now(), id);
      instances_.stop(id);
    });
  }
  return leaving;
}

void Provider::take_drain(const Door::VisitRef& visit, const Json& asked) {
  const auto leaving = drain(text(asked, "machine"));
  if (!leaving) return refuse(visit, 404, "no such machine");
  say(visit, 200, {{"leaving", *leaving}});
}

}  // namespace woadridge::lab::platform
