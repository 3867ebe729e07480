// The bench's wire: text lines to and from the decision module's events and actions. Translates only.
#pragma once

#include <string>
#include <string_view>

#include "decide.h"
#include "settings.h"

namespace woadridge::wire {

using woadridge::Malformed;

// One line: the message's name and its name=value pairs. Views into the line's own text.
struct Line : Fields {
  std::string_view name;

  explicit Line(std::string_view text);
};

struct Provision {
  Settings settings;
  ReportFields fields;
};

Provision read_provision(const Line& line);
WorkerInfo read_worker(const Line& line);
ListKind read_list_kind(std::string_view word);
Result read_result(std::string_view word);
Report read_report(std::string_view telemetry, const ReportFields& fields);
Arrival read_arrival(const Line& line);
Outcome read_outcome(const Line& line, const ReportFields& fields);

std::string from_base64(std::string_view text);  // "-" stands for no bytes
// Appends the action's line, or nothing for an action that the wire has no word for.
void write_action(std::int64_t instance, const Action& action, std::string& out);

}  // namespace woadridge::wire
