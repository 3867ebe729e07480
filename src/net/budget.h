// Descriptors: how many the process may hold, and the shares of clients and workers in them.
#pragma once

namespace woadridge::net {

class Budget {
 public:
  explicit Budget(int descriptors);

  int most_clients() const { return most_clients_; }
  int most_workers() const { return most_workers_; }

 private:
  int most_clients_;
  int most_workers_;
};

}  // namespace woadridge::net
