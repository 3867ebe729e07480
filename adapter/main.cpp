#include <iostream>

#include "host.h"

int main() {
  std::ios::sync_with_stdio(false);
  return woadridge::wire::Host().run(std::cin, std::cout, std::cerr);
}
