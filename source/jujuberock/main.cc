#include <gflags/gflags.h>
#include <glog/logging.h>

#include <iostream>

int main(int argc, char** argv) {
  google::InitGoogleLogging(argv[0]);
  FLAGS_logtostderr = true;
  gflags::SetUsageMessage("jujuberock COMMAND");
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  std::cerr << "usage: jujuberock COMMAND\n";
  return 2;
}
