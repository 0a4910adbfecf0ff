#include "Common/Error.h"
#include "StandIns/Http/HttpServer.h"
#include "StandIns/Http/TerminationSignals.h"
#include "StandIns/Http/UnlimitedConnections.h"
#include "StandIns/Platform/DocumentFolder.h"
#include "StandIns/Platform/PlatformHandler.h"

#include <gflags/gflags.h>

#include <iostream>

DEFINE_string(listen, "127.0.0.1:7001", "address and port");
DEFINE_string(documents, "", "folder of documents published at the start");
DEFINE_uint64(history, 1000, "changes that readers can get one by one");
DEFINE_uint64(calls_per_second, 2000, "limit on configuration calls");
DEFINE_uint64(vm_list_lag_ms, 0, "age of the VM list that readers get");

namespace acaciacross::standins {

namespace {

int run() {
  TerminationSignals Termination;
  const auto Listen = common::Address::parse(FLAGS_listen);
  if (!Listen) {
    std::cerr << "standin-platform: --listen=" << FLAGS_listen
              << ": a.b.c.d:port is allowed\n";
    return 2;
  }
  PlatformState State(FLAGS_history, FLAGS_calls_per_second);
  State.Mode.VmListLag = std::chrono::milliseconds(FLAGS_vm_list_lag_ms);
  if (!FLAGS_documents.empty())
    DocumentFolder(FLAGS_documents).publishAll(State.Log);
  PlatformHandler Handler(State);
  UnlimitedConnections Connections;
  const HttpServer Server(*Listen, Handler, Connections);
  std::cout << "standin-platform: listening on " << FLAGS_listen << std::endl;
  Termination.wait();
  return 0;
}

} // namespace

} // namespace acaciacross::standins

int main(int ArgumentCount, char **Arguments) {
  gflags::SetUsageMessage("test scaffolding: configuration service, VM list");
  gflags::ParseCommandLineFlags(&ArgumentCount, &Arguments, true);
  try {
    return acaciacross::standins::run();
  } catch (const std::exception &Failure) {
    std::cerr << "standin-platform: " << Failure.what() << '\n';
    return 1;
  }
}
