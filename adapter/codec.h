// The bench's wire: text lines to and from the decision module's events and actions. Translates only.
#pragma once

#include <map>
#include <stdexcept>
#include <string>
#include <string_view>
#include <vector>

#include "decide.h"

namespace woadridge::wire {

// A line that can't be read; what() says what is wrong with it.
struct Malformed : std::runtime_error {
  using std::runtime_error::runtime_error;
};

// One line: the message's name and its name=value pairs. Views into the line's own text.
struct Line {
  std::string_view name;
  std::vector<std::pair<std::string_view, std::string_view>> fields;

  explicit Line(std::string_view text);
  const std::string_view* find(std::string_view key) const;
  std::string_view text(std::string_view key) const;  // required
  std::string_view text_or(std::string_view key, std::string_view fallback) const;
  std::int64_t whole(std::string_view key) const;  // required
  std::int64_t whole_or(std::string_view key, std::int64_t fallback) const;
  std::uint64_t natural(std::string_view key) const;  // required, never negative
  double number_or(std::string_view key, double fallback) const;
  bool flag_or(std::string_view key, bool fallback) const;
};

// Where the report's figures stand among the settings' own names.
struct ReportFields {
  std::string free_slots;  // the report value that counts free slots; empty: none
  std::string busy_share;
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

// Appends the action's line, or nothing for an action that the wire has no word for.
void write_action(std::int64_t instance, const Action& action, std::string& out);

}  // namespace woadridge::wire
