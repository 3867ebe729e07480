#include "group/options.h"

#include <gtest/gtest.h>

namespace woadridge::group {
namespace {

const std::string kGood = R"(
name = "n0"
zone = "a"
machine = "m0"
listen = "127.0.0.1:7400"
folder = "/tmp/n0"
[[voters]]
name = "n0"
address = "127.0.0.1:7400"
[[voters]]
name = "n1"
address = "127.0.0.2:7400"
[[voters]]
name = "n2"
address = "127.0.0.3:7400"
)";

std::string fault_of(std::string text, const std::string& from = {}, const std::string& to = {}) {
  if (!from.empty()) text.replace(text.find(from), from.size(), to);
  const auto read = read_options(text, "group.toml");
  const auto* fault = std::get_if<std::string>(&read);
  return fault == nullptr ? "" : *fault;
}

TEST(GroupOptions, AGoodFileIsRead) {
  const auto read = read_options(kGood, "group.toml");
  const auto* options = std::get_if<Options>(&read);
  ASSERT_NE(options, nullptr) << std::get<std::string>(read);
  EXPECT_TRUE(options->votes());
  EXPECT_EQ(options->address, "127.0.0.1:7400");
  EXPECT_EQ(options->voters.size(), 3u);
}

TEST(GroupOptions, WhatIsAtFaultIsNamedInOneLine) {
  EXPECT_EQ(fault_of(kGood, "zone = \"a\"\n"), "group.toml: zone is missing");
  EXPECT_EQ(fault_of(kGood, "folder = \"/tmp/n0\"\n"),
            "group.toml: folder is missing: a voter keeps what it may not forget");
  EXPECT_EQ(fault_of(kGood, "127.0.0.3:7400", "nowhere"),
            "group.toml: voters.address is not address:port: nowhere");
  EXPECT_EQ(fault_of(kGood, "name = \"n2\"", "name = \"n1\""), "group.toml: voters names n1 twice");
  EXPECT_EQ(fault_of(kGood, "machine", "mashine"), "group.toml: machine is missing");
  EXPECT_EQ(fault_of(kGood + "[times]\nlease_ms = 500\n"),
            "group.toml: times.lease_ms is less than two elections");
  EXPECT_EQ(fault_of(kGood + "[times]\nleese_ms = 500\n"), "group.toml: times.leese_ms is unknown");
  EXPECT_EQ(fault_of(kGood + "[times]\ndrift = 2.0\n"), "group.toml: times.drift is out of range");
  EXPECT_EQ(fault_of(kGood.substr(0, kGood.rfind("[[voters]]"))),
            "group.toml: voters has to name 3, 5 or 7 members");
  EXPECT_TRUE(fault_of(kGood + "[times\n").starts_with("group.toml:16: "));
  EXPECT_EQ(std::get<std::string>(load_options("/nowhere/g.toml")), "/nowhere/g.toml: cannot be read");
}

}  // namespace
}  // namespace woadridge::group
