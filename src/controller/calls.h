// The calls that operators may make, in one table: the server looks them up in it, and --help prints it.
#pragma once

#include <span>
#include <string>
#include <string_view>

#include "controller/api_server.h"

namespace woadridge::controller {

class Core;

struct Call {
  std::string_view method, path;
  void (Core::*handler)(const Request&, ApiServer::Reply);
  std::string_view answers, help;
};

std::span<const Call> calls();
const Call* find_call(std::string_view method, std::string_view path, int& status);  // null: 404 or 405
std::string calls_as_text();

}  // namespace woadridge::controller
