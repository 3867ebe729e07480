// The one reader of the operators' settings, over path -> value. The simulator's flat text has that form
// already; src/net/config turns the nested JSON into it.
#pragma once

#include "decide.h"
#include "text.h"

namespace woadridge {

// Where a load report's figures stand among the settings' own names.
struct ReportFields {
  std::string free_slots;  // the report value that counts free slots; empty: none
};

// What only a dispatcher on real sockets needs.
struct NetworkSettings {
  Micros idle_limit = 0;        // workers close a connection that stood idle for so long; 0: never
  Micros longest_deadline = 0;  // of all classes
  bool operator==(const NetworkSettings&) const = default;
};

// What is left to a dispatcher of the time that a client told it to wait: the answer must be with the client
// before it gives up, not on its way. `told` counts from when the client sent the request.
Micros time_to_answer(Micros told, Micros on_the_way);

Settings read_settings(const Fields& values);  // the seed stays 0: it comes beside the settings
ReportFields read_report_fields(const Fields& values);
NetworkSettings read_network_settings(const Fields& values);

}  // namespace woadridge
