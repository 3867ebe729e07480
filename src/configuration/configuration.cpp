#include "configuration/configuration.h"

#include <jansson.h>

#include <algorithm>
#include <cmath>
#include <memory>
#include <optional>
#include <set>
#include <unordered_set>
#include <utility>

#include "common/host.h"
#include "common/log.h"
#include "common/saturate.h"

namespace woadridge::configuration {
namespace {

using Json = std::unique_ptr<json_t, decltype(&json_decref)>;
constexpr std::size_t kNameShown = 64;  // of a name, in a fault: the answer stays small whatever was sent

std::string quoted(std::string_view name) {
  return common::in_json(name.substr(0, std::min(name.size(), kNameShown)));
}

// null is the same as a field that is absent.
const json_t* field(const json_t* in, const char* key) {
  const json_t* value = json_object_get(in, key);
  return json_is_null(value) ? nullptr : value;
}

std::optional<std::string> text(const json_t* value) {
  if (!json_is_string(value)) return std::nullopt;
  return std::string(json_string_value(value), json_string_length(value));
}

// Beyond what a plan can hold is as good as the most that it can hold; a fraction is rounded up, so that more
// than nothing stays more than nothing.
std::optional<std::uint32_t> natural(const json_t* value) {
  if (!json_is_number(value)) return std::nullopt;
  const double number = json_number_value(value);
  if (!std::isfinite(number) || number < 0) return std::nullopt;
  return common::saturated<std::uint32_t>(std::ceil(number));
}

enum class Origin { sent, stored };  // by the operator now; on disk, taken before

class Reader {
 public:
  explicit Reader(Origin origin) : origin_(origin) {}

  Reading read(std::string_view json) {
    json_error_t fault{};
    const Json whole(json_loadb(json.data(), json.size(), JSON_REJECT_DUPLICATES, &fault), &json_decref);
    if (!whole) {
      tell("line " + std::to_string(fault.line) + ", column " + std::to_string(fault.column),
           std::string("cannot be read whole: ") + fault.text);
    } else if (!json_is_object(whole.get())) {
      tell("configuration", "is not an object");
    } else {
      read_version(whole.get());
      if (const json_t* list = list_of(whole.get(), "services")) read_services(list);
      if (const json_t* list = list_of(whole.get(), "routes")) read_routes(list);
      read_limits(field(whole.get(), "limits"));
    }
    if (!out_.good()) out_.plan = {};
    return std::move(out_);
  }

 private:
  void tell(const std::string& place, const std::string& what) { out_.faults.push_back(place + ": " + what); }

  const json_t* list_of(const json_t* whole, const char* key) {
    const json_t* list = field(whole, key);
    if (json_is_array(list)) return list;
    tell(key, list ? "is not a list" : "is missing");
    return nullptr;
  }

  void read_version(const json_t* whole) {
    const json_t* version = field(whole, "version");
    if (!version) tell("version", "is missing");
    else if (!json_is_integer(version) || json_integer_value(version) <= 0)
      tell("version", "is not a positive integer");
    else out_.plan.version = static_cast<common::Version>(json_integer_value(version));
  }

  // A number that may be absent. Present, it must be one, and at least `least`.
  void number(const std::string& place, const json_t* in, const char* key, std::uint32_t least,
              std::uint32_t& to) {
    const json_t* value = field(in, key);
    if (!value) return;
    const auto read = natural(value);
    if (!read) tell(place, std::string(key) + " is not a number from 0 up");
    else if (*read < least) tell(place, std::string(key) + " is " + std::to_string(*read));
    else to = *read;
  }

  std::string place_of(const char* list, std::size_t at, const json_t* entry) {
    std::string place = std::string(list) + "[" + std::to_string(at) + "]";
    if (const auto name = text(field(entry, "name"))) place += " " + quoted(*name);
    return place;
  }

  // Each name once: it is what people call the entry by.
  std::string name_of(const std::string& place, const json_t* entry, std::unordered_set<std::string>& names) {
    auto name = text(field(entry, "name"));
    if (!name || name->empty()) {
      tell(place, "has no name");
      return {};
    }
    if (!names.insert(*name).second) tell(place, "its name is taken by an earlier one");
    return std::move(*name);
  }

  void read_services(const json_t* list) {
    std::size_t at = 0;
    json_t* entry = nullptr;
    json_array_foreach(const_cast<json_t*>(list), at, entry) {
      const std::string place = place_of("services", at, entry);
      if (!json_is_object(entry)) {
        tell(place, "is not an object");
        continue;
      }
      common::Service service;
      service.name = name_of(place, entry, services_);
      if (const json_t* path = field(entry, "health-path")) {
        const auto read = text(path);
        if (!read || (!read->empty() && read->front() != '/')) tell(place, "health-path is not a path");
        else service.health_path = *read;
      }
      if (const json_t* protocol = field(entry, "protocol"); protocol && text(protocol) != "h1")
        tell(place, "protocol is not supported, only h1 is");
      if (json_is_true(field(entry, "tls"))) tell(place, "tls is not supported");
      number(place, entry, "max-conns", 0, service.max_conns);
      number(place, entry, "memory-mb", 1, service.memory_mb);
      number(place, entry, "startup-ms", 0, service.startup_ms);
      number(place, entry, "concurrency", 1, service.concurrency);
      out_.plan.services.push_back(std::move(service));
    }
  }

  // A share of a route. Deployments that split routes name it in one of these ways:
  //   "weights": {"a": 3, "b": 1}    "weights" or "services" or "service": [{"service" or "name": "a",
  //   "weight": 3}] "services": ["a", "b"], with "weights": [3, 1] or without
  struct Share {
    std::string service;
    std::optional<double> weight;
  };

  void read_share(const std::string& place, const json_t* value, std::vector<Share>& shares) {
    if (const auto name = text(value)) {
      shares.push_back({*name, std::nullopt});
    } else if (json_is_object(value)) {
      const json_t* weight = field(value, "weight");
      if (weight && !json_is_number(weight)) tell(place, "a weight is not a number");
      auto named = text(field(value, "service"));
      if (!named) named = text(field(value, "name"));
      if (!named) tell(place, "a share names no service");
      else
        shares.push_back(
            {*named, json_is_number(weight) ? std::optional(json_number_value(weight)) : std::nullopt});
    } else {
      tell(place, "a service is not a name");
    }
  }

  void read_shares(const std::string& place, const json_t* value, std::vector<Share>& shares) {
    std::size_t at = 0;
    json_t* one = nullptr;
    if (!json_is_array(value)) read_share(place, value, shares);
    else json_array_foreach(const_cast<json_t*>(value), at, one) read_share(place, one, shares);
  }

  void read_weights(const std::string& place, const json_t* weights, std::vector<Share>& shares) {
    if (json_is_object(weights)) {
      const char* name = nullptr;
      json_t* weight = nullptr;
      std::vector<Share> told;
      json_object_foreach(const_cast<json_t*>(weights), name, weight) {
        if (!json_is_number(weight)) tell(place, "the weight of " + quoted(name) + " is not a number");
        else told.push_back({name, json_number_value(weight)});
      }
      shares = std::move(told);
    } else if (json_is_number(json_array_get(weights, 0))) {
      if (json_array_size(weights) != shares.size())
        return tell(place, "has not one weight for each service");
      for (std::size_t at = 0; at < shares.size(); ++at) {
        const json_t* weight = json_array_get(weights, at);
        if (!json_is_number(weight)) tell(place, "a weight is not a number");
        else shares[at].weight = json_number_value(weight);
      }
    } else {
      shares.clear();
      read_shares(place, weights, shares);
    }
  }

  // A plan's route leads to one service: of a split route that is the heaviest, the first of equals. Every
  // request may go there, as a share of the requests would; the other shares stay without.
  std::string service_of(const std::string& place, const json_t* entry) {
    std::vector<Share> shares;
    const std::size_t faults = out_.faults.size();
    for (const char* key : {"service", "services"})
      if (const json_t* value = field(entry, key); value && shares.empty()) read_shares(place, value, shares);
    const json_t* weights = field(entry, "weights");
    if (json_array_size(weights) + json_object_size(weights) == 0) weights = nullptr;  // empty: not split
    if (weights) read_weights(place, weights, shares);
    if (out_.faults.size() != faults) return {};
    bool weighed = weights != nullptr;
    double sum = 0;
    const Share* heaviest = nullptr;
    for (const auto& share : shares) {
      weighed = weighed || share.weight;
      const double weight = share.weight.value_or(1);
      if (!(weight >= 0)) tell(place, "the weight of " + quoted(share.service) + " is below 0");
      if (!services_.contains(share.service))
        tell(place, "names the unknown service " + quoted(share.service));
      sum += weight;
      if (!heaviest || weight > heaviest->weight.value_or(1)) heaviest = &share;
    }
    if (weighed && !(sum > 0)) tell(place, "its weights add up to 0");
    else if (!heaviest) tell(place, "names no service");
    if (out_.faults.size() != faults) return {};
    if (shares.size() > 1) common::debug("route split", {{"route", place}, {"leads to", heaviest->service}});
    return heaviest->service;
  }

  void read_routes(const json_t* list) {
    std::unordered_set<std::string> names;
    std::set<std::pair<std::string, std::string>> places;  // host and prefix
    std::size_t at = 0;
    json_t* entry = nullptr;
    json_array_foreach(const_cast<json_t*>(list), at, entry) {
      const std::string place = place_of("routes", at, entry);
      if (!json_is_object(entry)) {
        tell(place, "is not an object");
        continue;
      }
      common::Route route;
      route.name = name_of(place, entry, names);
      route.host = common::normal_host(text(field(entry, "host")).value_or(""));
      if (route.host.empty()) tell(place, "has no host");
      route.prefix = text(field(entry, "path-prefix")).value_or("");
      bool shares = false;
      if (route.prefix.empty() || route.prefix.front() != '/' || route.prefix.back() != '/')
        tell(place, "path-prefix does not begin and end with a slash");
      else shares = !route.host.empty() && !places.emplace(route.host, route.prefix).second;
      if (shares && origin_ == Origin::sent) tell(place, "shares host and path-prefix with an earlier route");
      if (const json_t* kind = field(entry, "kind")) {  // absent: what may be repeated least
        route.repeatable = text(kind) == "idempotent";
        if (!route.repeatable && text(kind) != "mutating")
          tell(place, "kind is neither idempotent nor mutating");
      }
      const auto deadline = natural(field(entry, "deadline-ms"));
      if (!field(entry, "deadline-ms")) tell(place, "deadline-ms is missing");
      else if (!deadline || *deadline == 0) tell(place, "deadline-ms is not above 0");
      else route.deadline_ms = *deadline;
      number(place, entry, "target-ms", 0, route.target_ms);
      if (route.target_ms == 0) route.target_ms = route.deadline_ms;
      number(place, entry, "priority", 0, route.priority);
      number(place, entry, "max-tries", 1, route.max_tries);
      route.service = service_of(place, entry);
      if (shares) out_.left_out.push_back(place);
      else out_.plan.routes.push_back(std::move(route));
    }
  }

  void read_limits(const json_t* limits) {
    if (!limits) return;
    if (!json_is_object(limits)) return tell("limits", "is not an object");
    auto& to = out_.plan.limits;
    number("limits", limits, "max-header-bytes", 1, to.max_header_bytes);
    number("limits", limits, "max-body-bytes", 1, to.max_body_bytes);
    number("limits", limits, "header-timeout-ms", 1, to.header_timeout_ms);
    number("limits", limits, "idle-timeout-ms", 1, to.idle_timeout_ms);
  }

  Origin origin_;
  Reading out_;
  std::unordered_set<std::string> services_;
};

}  // namespace

Reading read(std::string_view json) {
  return Reader(Origin::sent).read(json);
}

Reading read_stored(std::string_view json) {
  return Reader(Origin::stored).read(json);
}

}  // namespace woadridge::configuration
