// Dispatcher processes of the lab's own, each ended with its object at the latest.
#pragma once

#include <sys/types.h>

#include <string>
#include <vector>

#include "net/asio.h"

namespace woadridge::lab {

std::uint16_t free_port();  // one that nobody has now

class Process {
 public:
  Process() = default;
  Process(const Process&) = delete;
  Process& operator=(const Process&) = delete;
  ~Process();

  bool start(const std::string& program, const std::string& config, const std::string& log,
             const std::vector<std::string>& words = {}, int listener = -1);  // handed over as descriptor 3
  bool running();
  int status() const { return status_; }  // of its last end, as wait(2) tells it
  void signal(int number);
  void end(int number);
  // CPU since the last look in microseconds, resident memory in MiB, descriptors.
  bool look(double& cpu_us, double& memory_mb, int& descriptors);
  long long processor_ns() const;  // since its start; 0: not running
  int threads() const;             // 0: not running

 private:
  pid_t pid_ = 0;
  int status_ = 0;
  double ticks_ = 0;
};

bool healthy(const net::Address& address);
std::string body_of(const net::Address& address,
                    const std::string& path);  // empty: nobody has answered in time

}  // namespace woadridge::lab
