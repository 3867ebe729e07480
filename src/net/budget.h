// What the process may hold: descriptors, shared out between clients and workers, and bytes in buffers.
#pragma once

#include <cstddef>
#include <cstdint>

namespace woadridge::net {

class Budget {
 public:
  explicit Budget(int descriptors, int operators = 0);  // and those kept for operators

  int most_clients() const { return most_clients_; }
  // Of these so many are kept free for newcomers that can only be refused.
  int turnstile() const { return turnstile_; }
  int most_workers() const { return most_workers_; }

 private:
  int most_clients_;
  int turnstile_;
  int most_workers_;
};

// Bytes that the buffers of all connections may take together: each has its own limit, but hundreds of them
// at their limits would not fit.
class BufferSpace {
 public:
  explicit BufferSpace(std::int64_t memory_mb);  // of the whole process; 0: not told

  bool has(std::size_t bytes) const { return taken_ + bytes <= most_; }
  void take(std::size_t bytes) { taken_ += bytes; }
  // So many processes share the memory for now. What is taken beyond the part goes as messages end.
  void share(std::size_t processes) { most_ = whole_ / processes; }
  void give_back(std::size_t bytes) { taken_ -= bytes; }
  std::size_t taken() const { return taken_; }
  std::size_t most() const { return most_; }

 private:
  std::size_t whole_;
  std::size_t most_;
  std::size_t taken_ = 0;
};

}  // namespace woadridge::net
