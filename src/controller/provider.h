// Calls to the provider of instances, over a few connections that are kept. Each call ends in one word: an
// answer, a refusal or silence; whether to repeat it is the caller's to know.
#pragma once

#include <boost/outcome/result.hpp>
#include <deque>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "autoscaler/autoscaler.h"
#include "common/settings.h"
#include "net/asio.h"

namespace woadridge::controller {

enum class ProviderTrouble {
  silent,     // no answer in time, or none to the end: the call may have been carried out
  too_many,   // over the rate
  no_room,    // the machine is full, down, draining or not known
  unknown,    // no such service or instance
  fenced,     // another term's token is newer, or this one's not taken
  senseless,  // an answer that can't be read
};

struct ProviderFault {
  ProviderTrouble trouble = ProviderTrouble::silent;
  std::string what;  // one line for a person
};

template <class T>
using ProviderResult =
    boost::outcome_v2::basic_result<T, ProviderFault, boost::outcome_v2::policy::terminate>;

struct Begun {
  std::string id, address;  // of a stop: empty
};

struct Listing {
  std::vector<autoscaler::Listed> instances;
  std::size_t pages = 0;
};

class Provider {
 public:
  template <class T>
  using On = std::function<void(const ProviderResult<T>&)>;

  // `may_act` is asked when a start or a stop goes onto the wire, which may be long after it was called for.
  Provider(net::Strand strand, const common::Endpoint& place, std::string node_name,
           std::function<bool()> may_act);
  ~Provider();
  Provider(const Provider&) = delete;
  Provider& operator=(const Provider&) = delete;

  void hold(std::uint64_t term) { term_ = term; }  // the fence token of calls from now on
  void instances(On<Listing> on);                  // all pages
  void machines(On<std::vector<autoscaler::Machine>> on);
  void begin(const autoscaler::Order& order, On<Begun> on);
  void stop(const std::string& id, On<Begun> on);
  void close();  // all calls end unanswered, and nobody is called back

 private:
  class Line;
  struct Call {
    std::string bytes;
    bool fenced = false;                                        // a start or a stop
    std::function<void(int status, std::string_view body)> on;  // status 0: silence
  };

  void page(std::string token, std::shared_ptr<Listing> so_far, On<Listing> on);
  void call(Call call, bool first);
  void look();  // gives waiting calls to free connections
  std::string request(std::string_view method, std::string_view target, std::string_view body,
                      bool fenced) const;

  net::Strand strand_;
  common::Endpoint place_;
  std::string node_name_;
  std::function<bool()> may_act_;
  std::uint64_t term_ = 0;
  std::deque<Call> waiting_;
  std::vector<std::shared_ptr<Line>> lines_;
};

}  // namespace woadridge::controller
