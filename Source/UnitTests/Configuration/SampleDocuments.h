#ifndef ACACIACROSS_UNITTESTS_CONFIGURATION_SAMPLEDOCUMENTS_H
#define ACACIACROSS_UNITTESTS_CONFIGURATION_SAMPLEDOCUMENTS_H

#include <string>

namespace acaciacross::configuration {

/// A valid document of the key "classes".
inline const std::string SampleClasses = R"([budget]
max_entry_vms = 12
max_configuration_calls_per_second = 200

[class.crew-plots]
service = "crew-dispatch"
latency_target_ms = 80
target_percentile = 99.0
coverage_target = 0.99
extra_load_target = 0.05
repeatable = true
)";

/// A valid document of a key "service/<name>" with three searchers and one
/// snapshot of two shards.
inline const std::string SampleService = R"([[searcher]]
id = "crew-0"
address = "127.0.0.1:7301"
zone = "lake-1"
slots = 2
max_connections = 25

[[searcher]]
id = "crew-1"
address = "127.0.0.1:7302"
zone = "lake-2"
slots = 2
max_connections = 25

[[searcher]]
id = "crew-2"
address = "127.0.0.1:7303"
zone = "lake-3"
slots = 2
max_connections = 25

[[snapshot]]
id = "2026-12-04T06"

[[snapshot.shard]]
id = 0
range_begin = 0
range_end = 32768
documents = 1000
replicas = ["crew-0", "crew-1", "crew-2"]

[[snapshot.shard]]
id = 1
range_begin = 32768
range_end = 65536
documents = 500
replicas = ["crew-0", "crew-1", "crew-2"]
)";

/// A valid settings file of an entry VM.
inline const std::string SampleSettings = R"([vm]
id = "entry-1"
zone = "lake-1"
failure_domain = "lake-1-rack-a"

[listen]
callers = "127.0.0.1:7101"
peers = "127.0.0.1:7201"

[platform]
configuration = "127.0.0.1:7001"
vm_list = "127.0.0.1:7001"

[peers]
seeds = ["127.0.0.1:7202"]
)";

/// Text with the first occurrence of From replaced by To.
inline std::string replaceFirst(std::string Text, const std::string &From,
                                const std::string &To) {
  return Text.replace(Text.find(From), From.size(), To);
}

} // namespace acaciacross::configuration

#endif
