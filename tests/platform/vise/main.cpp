#include <CppUTest/CommandLineTestRunner.h>
#include <CppUTest/MemoryLeakWarningPlugin.h>

int main(int argc, char** argv) {
  MemoryLeakWarningPlugin::turnOffNewDeleteOverloads();  // the log's own, made at its first line, would count
                                                         // as leaks
  return CommandLineTestRunner::RunAllTests(argc, argv);
}
