#include "codec.h"

namespace woadridge::wire {

Line::Line(std::string_view text) {
  auto parts = split(text, ' ');
  if (parts.empty() || parts[0].empty()) throw Malformed("empty line");
  name = parts[0];
  for (std::size_t i = 1; i < parts.size(); ++i) {
    const auto at = parts[i].find('=');
    if (at == std::string_view::npos) throw Malformed("not a name=value pair: " + std::string(parts[i]));
    fields.emplace_back(parts[i].substr(0, at), parts[i].substr(at + 1));
  }
}

Provision read_provision(const Line& line) {
  Provision p{read_settings(line), read_report_fields(line)};
  p.settings.seed = line.natural("init-seed");
  return p;
}

WorkerInfo read_worker(const Line& line) {
  WorkerInfo w;
  w.id = line.text("worker");
  w.kind = line.text_or("shape", "");
  w.zone = line.text_or("zone", "");
  w.group = line.whole_or("stripe", 0);
  w.size = line.number_or("share", 1);
  w.started = line.whole_or("online-since", 0);
  w.phase = choose<Phase>("phase", line.text_or("phase", "on"),
                          {{"on", Phase::serving}, {"fading", Phase::draining}, {"off", Phase::gone}});
  return w;
}

ListKind read_list_kind(std::string_view word) {
  return choose<ListKind>("list kind", word,
                          {{"delta", ListKind::changes},
                           {"full", ListKind::full},
                           {"cached", ListKind::remembered},
                           {"failed", ListKind::failed}});
}

Result read_result(std::string_view word) {
  return choose<Result>("verdict", word,
                        {{"pass", Result::ok},
                         {"fault", Result::error},
                         {"no_room", Result::full},
                         {"too_slow", Result::timed_out},
                         {"no_route", Result::no_connection},
                         {"cut", Result::broken},
                         {"undone", Result::cancelled},
                         {"stale_send", Result::never_sent}});
}

Report read_report(std::string_view telemetry, const ReportFields& fields) {
  Report report;
  for (const auto pair : split(telemetry, ',')) {
    const auto at = pair.find(':');
    if (at == std::string_view::npos) throw Malformed("not a name:value pair: " + std::string(pair));
    const auto name = pair.substr(0, at);
    if (!fields.free_slots.empty() && name == fields.free_slots)
      report.free_slots = parse_real(name, pair.substr(at + 1));
  }
  return report;
}

Arrival read_arrival(const Line& line) {
  Arrival a;
  a.id = line.natural("job");
  a.class_name = line.text("tier-class");
  a.tenant = line.text_or("org", "");
  a.time_left = line.whole("ttl");
  if (line.find("cost-guess") != nullptr) a.hint = line.whole("cost-guess");
  a.slots = line.number_or("needs", 1);
  if (line.find("name-key") != nullptr) a.key = line.natural("name-key");
  a.repeated = line.flag_or("resent", false);
  return a;
}

Outcome read_outcome(const Line& line, const ReportFields& fields) {
  Outcome o;
  o.id = line.natural("job");
  o.attempt = static_cast<int>(line.whole_or("round-no", 0));
  o.worker = line.text("worker");
  o.result = read_result(line.text("verdict"));
  o.finished = line.flag_or("last", false);
  o.report = read_report(line.text_or("telemetry", ""), fields);
  return o;
}

namespace {

constexpr std::string_view kBase64 = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

std::string to_base64(std::string_view bytes) {  // "-" stands for no bytes
  if (bytes.empty()) return "-";
  std::string text;
  for (std::size_t i = 0; i < bytes.size(); i += 3) {
    std::uint32_t three = 0;
    for (std::size_t j = i; j < i + 3; ++j)
      three = three << 8 | (j < bytes.size() ? static_cast<unsigned char>(bytes[j]) : 0u);
    for (std::size_t j = 0; j < 4; ++j)
      text += j <= std::min<std::size_t>(3, bytes.size() - i) ? kBase64[three >> (18 - 6 * j) & 63] : '=';
  }
  return text;
}

}  // namespace

std::string from_base64(std::string_view text) {
  if (text == "-") return {};
  std::string bytes;
  std::uint32_t bits = 0;
  int have = 0;
  for (const char c : text.substr(0, text.find('='))) {
    const auto value = kBase64.find(c);
    if (value == std::string_view::npos) throw Malformed("not base64: " + std::string(text));
    bits = bits << 6 | static_cast<std::uint32_t>(value);
    if ((have += 6) < 8) continue;
    have -= 8;
    bytes += static_cast<char>(bits >> have & 0xff);
  }
  return bytes;
}

namespace {

struct Writer {
  std::string& out;
  std::string instance;

  std::string& begin(std::string_view name) {
    return out.append(name).append(" dispatcher-id=").append(instance);
  }
  void request(std::string_view name, RequestId id) {
    begin(name).append(" job=").append(std::to_string(id));
  }
  void operator()(const Send& a) {
    request("ATTEMPT", a.id);
    if (a.timeout != 0) out.append(" patience=").append(std::to_string(a.timeout));
    out.append(" worker=").append(a.worker).append("\n");
  }
  void operator()(const Refuse& a) {
    request("DECLINE", a.id);
    if (a.hold_off != 0) out.append(" hold-off=").append(std::to_string(a.hold_off));
    out.append("\n");
  }
  void operator()(const Fail& a) {
    request("FAIL", a.id);
    out.append("\n");
  }
  void operator()(const Cancel& a) {
    request("UNDO_SEND", a.id);
    out.append(" round-no=").append(std::to_string(a.attempt)).append("\n");
  }
  void operator()(const Probe& a) { begin("INSPECT").append(" worker=").append(a.worker).append("\n"); }
  void operator()(const Tell& a) {
    begin("ANNOUNCE").append(" dest=-1 body=").append(to_base64(a.bytes)).append("\n");
  }
  void operator()(const Subscribe&) { begin("LISTEN").append(" active=1\n"); }
  void operator()(const SetTimer& a) {
    begin("DEFER").append(" at=").append(std::to_string(a.at));
    out.append(" tag=").append(std::to_string(a.token)).append("\n");
  }
  void operator()(const Remark& a) { begin("REMARK").append(" message=").append(a.text).append("\n"); }
};

}  // namespace

void write_action(std::int64_t instance, const Action& action, std::string& out) {
  std::visit(Writer{out, std::to_string(instance)}, action);
}

}  // namespace woadridge::wire
