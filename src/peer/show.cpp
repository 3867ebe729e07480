#include "peer/show.h"

#include <algorithm>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <cstdio>
#include <iostream>
#include <map>
#include <nlohmann/json.hpp>

#include "duty/planted.h"
#include "peer/group.h"

namespace woadridge::peer {
namespace {

using Json = nlohmann::json;

// The body of the answer; none if nobody answers, with the reason told.
std::optional<std::string> ask(const net::Address& address) {
  boost::asio::io_context io;
  net::Tcp::socket socket(io);
  net::Fault fault;
  socket.connect(net::endpoint_of(address), fault);
  const std::string call = "GET /group HTTP/1.1\r\nHost: ops\r\n\r\n";
  if (!fault) boost::asio::write(socket, boost::asio::buffer(call), fault);
  std::string answer;
  if (!fault) boost::asio::read(socket, boost::asio::dynamic_buffer(answer), fault);
  if (fault && fault != boost::asio::error::eof) {
    std::cerr << "woadridge: " << net::to_text(address) << ": " << fault.message() << "\n";
    return std::nullopt;
  }
  const auto body = answer.find("\r\n\r\n");
  if (body == std::string::npos || !answer.starts_with("HTTP/1.1 200")) {
    std::cerr << "woadridge: " << net::to_text(address) << " is no member of a group\n";
    return std::nullopt;
  }
  return answer.substr(body + 4);
}

std::string text_of(const Json& value) {
  return value.is_string() ? value.get<std::string>() : value.dump();
}

void print_table(const std::vector<std::string>& heads, const std::vector<std::vector<std::string>>& rows) {
  std::vector<std::size_t> widths;
  for (std::size_t c = 0; c < heads.size(); ++c) {
    widths.push_back(heads[c].size());
    for (const auto& row : rows) widths[c] = std::max(widths[c], row[c].size());
  }
  const auto line = [&](const std::vector<std::string>& cells) {
    for (std::size_t c = 0; c < cells.size(); ++c)
      std::printf("%-*s%s", static_cast<int>(widths[c]), cells[c].c_str(),
                  c + 1 < cells.size() ? "  " : "\n");
  };
  line(heads);
  for (const auto& row : rows) line(row);
}

void print(const Json& j) {
  std::printf("group %s as %s sees it: leader %s, session %s, list %s, %s ms old\n\n",
              text_of(j["group"]).c_str(), text_of(j["name"]).c_str(),
              j["leader"] == "" ? "unknown" : text_of(j["leader"]).c_str(),
              j["has_session"] == true ? "open" : "none",
              j["list"]["watches"] == true ? "read at discovery" : "heard from the reader",
              text_of(j["list"]["age_ms"]).c_str());
  std::vector<std::vector<std::string>> rows;
  for (const auto& m : j["members"])
    rows.push_back({text_of(m["name"]), text_of(m["state"]), text_of(m["zone"]), text_of(m["machine"]),
                    text_of(m["address"]), text_of(m["link"]), m["slow"] == true ? "slow" : ""});
  print_table({"member", "state", "zone", "machine", "address", "link", ""}, rows);
  std::puts("");
  rows.clear();
  if (j.contains("duties")) {
    for (const auto& d : j["duties"])
      rows.push_back(
          {text_of(d["duty"]), text_of(d["number"]), d["holder"] == "" ? "-" : text_of(d["holder"])});
    print_table({"duty", "number", "holder"}, rows);
  } else if (j.contains("held")) {
    for (const auto& d : j["held"])
      rows.push_back({text_of(d["duty"]), text_of(d["number"]), text_of(j["name"])});
    print_table({"duty", "number", "holder"}, rows);
    std::puts("\n(only what this member holds: ask a voter for all)");
  } else {
    std::puts("this member holds no duty; ask a voter for all");
  }
}

#ifdef WOADRIDGE_PLANTED
const std::map<std::string, duty::Planted>& plants() {
  using duty::Planted;
  static const std::map<std::string, Planted> all{{"lease-from-answer", Planted::lease_from_answer},
                                                  {"act-on-timer", Planted::act_on_timer},
                                                  {"old-holder-taken", Planted::old_holder_taken},
                                                  {"no-wait-after-election", Planted::no_wait_after_election},
                                                  {"keep-without-quorum", Planted::keep_without_quorum},
                                                  {"give-before-stop", Planted::give_before_stop}};
  return all;
}
#endif

}  // namespace

net::CompanionCall companion_for(const group::Options& options) {
  return {Group::kDescriptors, [options](net::Strand strand, net::Engine& engine, const net::Config& config) {
            return std::make_unique<Group>(std::move(strand), engine, config, options);
          }};
}

int show_group(const std::string& text, bool json) {
  const auto address = net::parse_address(text);
  if (!address) {
    std::cerr << "woadridge: --at is not address:port: " << text << "\n";
    return 2;
  }
  const auto answer = ask(*address);
  if (!answer) return 1;
  if (json) {
    std::cout << *answer;
    return 0;
  }
  const Json tree = Json::parse(*answer, nullptr, false);
  if (tree.is_discarded() || tree.value("on", false) == false) {
    std::cerr << "woadridge: the group is not on yet there\n";
    return 1;
  }
  print(tree);
  return 0;
}

int found_group(const group::Options& options) {
  if (!options.votes()) {
    std::cerr << "woadridge: " << options.name << " is none of the voters: it needs no folder\n";
    return 2;
  }
  if (const std::string fault = found_folder(options); !fault.empty()) {
    std::cerr << "woadridge: " << fault << "\n";
    return 1;
  }
  std::cout << "folder " << options.folder << ": made for " << options.name << "\n";
  return 0;
}

#ifdef WOADRIDGE_PLANTED
PlantCall::PlantCall(CLI::App& app) {
  app.add_option("--plant", name_, "a planted fault, of this test build only")->check(CLI::IsMember([] {
    std::vector<std::string> names;
    for (const auto& [name, fault] : plants()) names.push_back(name);
    return names;
  }()));
}
void PlantCall::set() const {
  if (!name_.empty()) duty::planted_now = plants().at(name_);
}
#else
PlantCall::PlantCall(CLI::App&) {}
void PlantCall::set() const {}
#endif

}  // namespace woadridge::peer
