#include <CppUTest/CommandLineTestRunner.h>

#include "toolbox/log.h"

int main(int argc, char** argv) {
  woadridge::toolbox::open_log("jig-tests", "here", woadridge::toolbox::Level::error);
  return CommandLineTestRunner::RunAllTests(argc, argv);
}
