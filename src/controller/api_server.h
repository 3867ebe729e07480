// Where operators' calls come in: HTTP/1.1, several requests on a connection, each answered in its own time.
#pragma once

#include <functional>
#include <memory>
#include <set>
#include <string>
#include <string_view>

#include "common/settings.h"
#include "net/asio.h"
#include "net/budget.h"
#include "net/http.h"

namespace woadridge::controller {

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

class ApiServer {
 public:
  using Reply = std::function<void(Answer)>;  // once; late or to nobody any more: nothing happens
  using OnRequest = std::function<void(const Request&, Reply)>;

  ApiServer(net::Strand strand, std::int64_t memory_mb, OnRequest on_request);
  common::Result<void> open(const common::Endpoint& place);
  void close();  // takes no more; open answers go out
  std::size_t unanswered() const { return unanswered_; }

 private:
  class ApiConnection;
  void accept();

  net::Strand strand_;
  net::Acceptor acceptor_;
  net::Timer again_;
  net::BufferSpace space_;
  OnRequest on_request_;
  std::set<std::shared_ptr<ApiConnection>> connections_;
  std::size_t unanswered_ = 0;
  bool closed_ = false;
};

}  // namespace woadridge::controller
