#include "common/log.h"

#include <boost/core/null_deleter.hpp>
#include <boost/log/core.hpp>
#include <boost/log/sinks/sync_frontend.hpp>
#include <boost/log/sinks/text_ostream_backend.hpp>
#include <boost/log/sources/logger.hpp>
#include <boost/log/sources/record_ostream.hpp>
#include <boost/make_shared.hpp>
#include <chrono>
#include <cstdio>
#include <iostream>

namespace woadridge::common {
namespace {

namespace logging = boost::log;

Level least_level = Level::info;
std::string origin;  // what each line says of where it comes from

logging::sources::logger& logger() {
  static logging::sources::logger one;
  return one;
}

const char* word(Level level) {
  switch (level) {
    case Level::debug:
      return "debug";
    case Level::info:
      return "info";
    case Level::warning:
      return "warning";
    case Level::error:
      return "error";
  }
  return "error";
}

}  // namespace

std::optional<Level> level_named(std::string_view text) {
  for (const auto level : {Level::debug, Level::info, Level::warning, Level::error})
    if (text == word(level)) return level;
  return std::nullopt;
}

std::string in_json(std::string_view text) {
  std::string out = "\"";
  for (const char c : text) {
    if (c == '"' || c == '\\') {
      out += '\\';
      out += c;
    } else if (static_cast<unsigned char>(c) < 0x20) {
      char escaped[8];
      std::snprintf(escaped, sizeof escaped, "\\u%04x", static_cast<unsigned>(static_cast<unsigned char>(c)));
      out += escaped;
    } else {
      out += c;
    }
  }
  return out += '"';
}

void open_log(const std::string& program, const std::string& node, Level least) {
  least_level = least;
  origin = "\"program\":" + in_json(program) + ",\"node\":" + in_json(node);
  using Backend = logging::sinks::text_ostream_backend;
  auto backend = boost::make_shared<Backend>();
  backend->add_stream(boost::shared_ptr<std::ostream>(&std::cerr, boost::null_deleter()));
  backend->auto_flush(true);
  logging::core::get()->add_sink(boost::make_shared<logging::sinks::synchronous_sink<Backend>>(backend));
}

bool logs(Level level) {
  return level >= least_level;
}

void log(Level level, std::string_view what, Fields fields) {
  if (!logs(level)) return;
  using namespace std::chrono;
  const auto ms = duration_cast<milliseconds>(system_clock::now().time_since_epoch()).count();
  std::string line = "{\"ms\":" + std::to_string(ms) + ",\"level\":\"" + word(level) + "\"," + origin;
  line += ",\"what\":" + in_json(what);
  for (const auto& [name, value] : fields) line += "," + in_json(name) + ":" + in_json(value);
  BOOST_LOG(logger()) << line << '}';
}

}  // namespace woadridge::common
