// Where operators' calls come in: HTTP/1.1, several requests on a connection, each answered in its own time.
#pragma once

#include <functional>
#include <memory>
#include <set>
#include <string>
#include <string_view>

#include "net/asio.h"
#include "net/budget.h"
#include "net/http.h"
#include "toolbox/settings.h"

namespace woadridge::anvil {

struct Request {  // its texts are good until the handler returns
  std::string_view method, path, body;
};

struct Answer {
  int status = 200;
  std::string headers;  // whole lines, each with its end
  std::shared_ptr<const std::string> body;
  std::size_t skip = 0;  // bytes of `body` that are not sent
};
Answer answer(int status, std::string json, std::string headers = {});

class Desk {
 public:
  using Reply = std::function<void(Answer)>;  // once; late or to nobody any more: nothing happens
  using OnRequest = std::function<void(const Request&, Reply)>;

  Desk(net::Strand strand, std::int64_t memory_mb, OnRequest on_request);
  toolbox::Result<void> open(const toolbox::Place& place);
  void close();  // takes no more; open answers go out
  std::size_t unanswered() const { return unanswered_; }

 private:
  class Visit;
  void accept();

  net::Strand strand_;
  net::Acceptor acceptor_;
  net::Timer again_;
  net::BufferSpace space_;
  OnRequest on_request_;
  std::set<std::shared_ptr<Visit>> visits_;
  std::size_t unanswered_ = 0;
  bool closed_ = false;
};

}  // namespace woadridge::anvil
