#include "controller/provider.h"

#include <jansson.h>

#include <algorithm>
#include <boost/asio/write.hpp>
#include <optional>
#include <utility>

#include "common/frames.h"
#include "common/log.h"
#include "common/saturate.h"
#include "net/http.h"

namespace woadridge::controller {
namespace {

constexpr std::chrono::milliseconds kPatience{
    1000};                                  // for one call: slower is as good as down, the next poll is due
constexpr std::uint32_t kSilenceMs = 1500;  // a provider behind a cut says nothing
constexpr std::size_t kLines = 8;           // connections: as many calls as are out at once
constexpr std::size_t kMostWaiting = 256;   // calls: a flood means that nobody reads the answers
constexpr net::HttpLimits kLimits{16 * 1024, 2 * 1024 * 1024};  // bytes: a page of some thousand instances
constexpr std::size_t kMostPages = 200;  // guards against pages that go round in circles

struct Json {
  explicit Json(std::string_view text)
      : root(json_loadb(text.data(), text.size(), JSON_REJECT_DUPLICATES, nullptr)) {}
  ~Json() { json_decref(root); }
  Json(const Json&) = delete;
  Json& operator=(const Json&) = delete;
  json_t* root;
};

std::string text_of(const json_t* object, const char* key) {
  const json_t* value = json_object_get(object, key);
  return json_is_string(value) ? std::string(json_string_value(value), json_string_length(value))
                               : std::string();
}

std::uint32_t number_of(const json_t* object, const char* key) {
  const json_t* value = json_object_get(object, key);
  return json_is_number(value) ? common::saturated<std::uint32_t>(json_number_value(value)) : 0;
}

ProviderFault fault_of(int status) {
  switch (status) {
    case 0:
      return {ProviderTrouble::silent, "no answer"};
    case 429:
      return {ProviderTrouble::too_many, "over the rate"};
    case 409:
      return {ProviderTrouble::no_room, "no room there"};
    case 400:
    case 404:
      return {ProviderTrouble::unknown, "not known there"};
    case 401:
    case 403:
    case 412:
    case 421:
    case 423:
      return {ProviderTrouble::fenced, "the fence token is not taken: status " + std::to_string(status)};
    default:
      if (status >= 500) return {ProviderTrouble::silent, "status " + std::to_string(status)};
      return {ProviderTrouble::senseless, "status " + std::to_string(status)};
  }
}

ProviderFault senseless(const char* what) {
  return {ProviderTrouble::senseless, what};
}

ProviderResult<std::string> read_page(std::string_view body, std::vector<autoscaler::Listed>& instances) {
  const Json json(body);
  const json_t* list = json_object_get(json.root, "instances");
  if (!json_is_array(list)) return senseless("a list without instances");
  for (std::size_t at = 0; at < json_array_size(list); ++at) {
    const json_t* entry = json_array_get(list, at);
    autoscaler::Listed shown;
    shown.id = text_of(entry, "id");
    shown.service = text_of(entry, "service");
    shown.address = text_of(entry, "address");
    shown.zone = text_of(entry, "zone");
    shown.machine = text_of(entry, "machine");
    shown.capacity = std::max(1u, number_of(entry, "capacity"));
    shown.draining = text_of(entry, "state") == "draining";
    if (shown.id.empty() || shown.service.empty() || shown.address.empty())
      return senseless("an instance without id");
    instances.push_back(std::move(shown));
  }
  return text_of(json.root, "next-token");
}

ProviderResult<std::vector<autoscaler::Machine>> read_machines(std::string_view body) {
  const Json json(body);
  const json_t* list = json_object_get(json.root, "fleet");
  if (!json_is_array(list)) return senseless("an answer without machines");
  std::vector<autoscaler::Machine> machines;
  for (std::size_t at = 0; at < json_array_size(list); ++at) {
    const json_t* entry = json_array_get(list, at);
    autoscaler::Machine machine;
    machine.name = text_of(entry, "name");
    machine.zone = text_of(entry, "zone");
    machine.memory_mb = number_of(entry, "memory-mb");
    machine.spare_mb = number_of(entry, "spare-mb");
    machine.draining = text_of(entry, "state") != "ready";
    if (machine.name.empty()) return senseless("a machine without name");
    machines.push_back(std::move(machine));
  }
  return machines;
}

// Page tokens are the provider's own text; all but the plainest characters are escaped.
std::string escaped(std::string_view text) {
  constexpr const char* kDigits = "0123456789ABCDEF";
  std::string out;
  for (const char c : text) {
    const bool plain = (c >= '0' && c <= '9') || (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') ||
                       c == '-' || c == '_' || c == '.' || c == '~';
    const auto byte = static_cast<unsigned char>(c);
    if (plain) out += c;
    else out += {'%', kDigits[byte >> 4], kDigits[byte & 15]};
  }
  return out;
}

}  // namespace

// One connection, with one call on it at a time.
class Provider::Line : public std::enable_shared_from_this<Provider::Line> {
 public:
  Line(Provider& owner, net::Strand strand) : owner_(&owner), socket_(strand), limit_(strand) {}

  bool free() const { return !call_; }
  bool dead() const { return dead_; }

  void take(Call call) {
    call_ = std::move(call);
    limit_.expires_after(kPatience);
    limit_.async_wait([self = shared_from_this(), number = ++number_](net::Fault fault) {
      if (!fault && self->number_ == number) self->end(0);
    });
    if (connected_) return write();
    net::Fault ignored;
    socket_.open(net::Tcp::v4(), ignored);
    common::watch_for_silence(socket_, kSilenceMs);
    socket_.async_connect(common::endpoint_of(owner_->place_), [self = shared_from_this()](net::Fault fault) {
      if (self->dead_) return;
      if (fault) return self->end(0);
      self->connected_ = true;
      net::Fault no_matter;
      self->socket_.set_option(net::Tcp::no_delay(true), no_matter);
      self->read();
      self->write();
    });
  }

  void close() {
    dead_ = true;
    call_.reset();
    limit_.cancel();
    net::Fault ignored;
    socket_.close(ignored);
  }

 private:
  void write() {
    if (call_->fenced && !owner_->may_act_()) return end(0);  // no byte of it has gone
    boost::asio::async_write(socket_, boost::asio::buffer(call_->bytes),
                             [self = shared_from_this()](net::Fault fault, std::size_t) {
                               if (fault && !self->dead_) self->end(0);
                             });
  }

  // Reads all the time: a kept connection that the provider closes is not used for the next call.
  void read() {
    const auto room = reader_.room();
    if (room.empty()) return end(0);
    socket_.async_read_some(boost::asio::buffer(room.data(), room.size()),
                            [self = shared_from_this()](net::Fault fault, std::size_t bytes) {
                              if (!self->dead_) self->got(fault, bytes);
                            });
  }

  void got(net::Fault fault, std::size_t bytes) {
    if (fault) reader_.ended();
    else reader_.arrived(bytes);
    using State = net::HttpReader::State;
    if (!call_ || reader_.state() == State::failed || (fault && reader_.state() != State::complete))
      return end(0);
    if (reader_.state() != State::complete) return read();
    const bool keep = !fault && reader_.keep_alive() && reader_.nothing_behind();
    const int status = reader_.status();
    const auto held = reader_.held();
    const auto body = reader_.body();
    if (!keep) return end(status, body);
    auto call = std::exchange(call_, std::nullopt);
    limit_.cancel();
    ++number_;
    const auto self = shared_from_this();
    call->on(status, body);
    if (dead_) return;
    reader_.next();
    read();
    owner_->look();
  }

  void end(int status, std::string_view body = {}) {
    const auto self = shared_from_this();
    auto call = std::exchange(call_, std::nullopt);
    auto* owner = owner_;
    const bool was_dead = std::exchange(dead_, true);
    close();
    if (was_dead) return;
    std::erase(owner->lines_, self);
    if (call) call->on(status, body);
    if (owner_) owner_->look();
  }

  friend class Provider;
  Provider* owner_;  // none: it has closed
  net::Socket socket_;
  net::Timer limit_;
  net::HttpReader reader_{net::HttpReader::Side::answers, kLimits};
  std::optional<Call> call_;
  std::uint64_t number_ = 0;
  bool connected_ = false, dead_ = false;
};

Provider::Provider(net::Strand strand, const common::Endpoint& place, std::string node_name,
                   std::function<bool()> may_act)
    : strand_(strand), place_(place), node_name_(std::move(node_name)), may_act_(std::move(may_act)) {}

Provider::~Provider() {
  close();
}

void Provider::close() {
  waiting_.clear();
  for (const auto& line : std::exchange(lines_, {})) {
    line->owner_ = nullptr;
    line->close();
  }
}

std::string Provider::request(std::string_view method, std::string_view target, std::string_view body,
                              bool fenced) const {
  std::string out;
  out.reserve(256 + body.size());
  out.append(method).append(" ").append(target).append(" HTTP/1.1\r\n");
  net::write_header(out, "Host", place_.text());
  if (fenced) {
    net::write_header(out, "X-Woadridge-Duty-Holder", node_name_);
    net::write_header(out, "X-Woadridge-Fence-Token", std::to_string(term_));
    net::write_header(out, "Content-Type", "application/json");
    net::write_header(out, "Content-Length", std::to_string(body.size()));
  }
  return out.append("\r\n").append(body);
}

void Provider::call(Call call, bool first) {
  if (waiting_.size() >= kMostWaiting) return call.on(0, {});
  if (first) waiting_.push_front(std::move(call));
  else waiting_.push_back(std::move(call));
  look();
}

void Provider::look() {
  while (!waiting_.empty()) {
    const auto at = std::find_if(lines_.begin(), lines_.end(), [](const auto& line) { return line->free(); });
    std::shared_ptr<Line> line;
    if (at != lines_.end()) {
      line = *at;
    } else {
      if (lines_.size() >= kLines) return;
      line = lines_.emplace_back(std::make_shared<Line>(*this, strand_));
    }
    auto call = std::move(waiting_.front());
    waiting_.pop_front();
    line->take(std::move(call));
  }
}

void Provider::instances(On<Listing> on) {
  page({}, std::make_shared<Listing>(), std::move(on));
}

void Provider::page(std::string token, std::shared_ptr<Listing> so_far, On<Listing> on) {
  std::string target = "/instances";
  if (!token.empty()) target += "?page-token=" + escaped(token);
  call({request("GET", target, {}, false), false,
        [this, so_far, on = std::move(on)](int status, std::string_view body) {
          if (status != 200) return on(fault_of(status));
          auto next = read_page(body, so_far->instances);
          if (!next) return on(next.error());
          if (++so_far->pages > kMostPages) return on(senseless("a list without end"));
          if (!next.value().empty()) return page(next.value(), so_far, on);
          on(std::move(*so_far));
        }},
       true);
}

void Provider::machines(On<std::vector<autoscaler::Machine>> on) {
  call({request("GET", "/api/workers", {}, false), false,
        [on = std::move(on)](int status, std::string_view body) {
          if (status != 200) return on(fault_of(status));
          on(read_machines(body));
        }},
       true);
}

void Provider::begin(const autoscaler::Order& order, On<Begun> on) {
  const auto body = "{\"service\":" + common::in_json(order.service) +
                    ",\"machine\":" + common::in_json(order.machine) +
                    ",\"nonce\":" + common::in_json(order.nonce) + "}";
  call({request("POST", "/api/begin", body, true), true,
        [on = std::move(on)](int status, std::string_view answer) {
          if (status != 200) return on(fault_of(status));
          const Json json(answer);
          Begun begun{text_of(json.root, "id"), text_of(json.root, "address")};
          if (begun.id.empty() || begun.address.empty()) return on(senseless("a start without id"));
          on(std::move(begun));
        }},
       false);
}

void Provider::stop(const std::string& id, On<Begun> on) {
  call({request("POST", "/api/stop", "{\"id\":" + common::in_json(id) + "}", true), true,
        [on = std::move(on)](int status, std::string_view) {
          if (status != 200) return on(fault_of(status));
          on(Begun{});
        }},
       false);
}

}  // namespace woadridge::controller
