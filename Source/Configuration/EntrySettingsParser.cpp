#include "Configuration/EntrySettingsParser.h"

#include "Configuration/TomlTable.h"

#include <algorithm>

namespace acaciacross::configuration {

namespace {

void readVm(const TomlTable &Table, EntrySettings &Settings) {
  Table.rejectUnknownKeys({"id", "zone", "failure_domain"});
  Settings.Vm = common::VmId(Table.name("id"));
  Settings.Zone = Table.name("zone");
  Settings.FailureDomain = Table.name("failure_domain");
}

// These addresses are announced to other processes, which cannot connect to the
// wildcard address.
common::Address readListen(const TomlTable &Table, std::string_view Key) {
  common::Address Listen = Table.address(Key);
  if (Listen.Host == "0.0.0.0")
    Table.throwError(Key, "an address that callers and peers can connect to");
  return Listen;
}

void readListenTable(const TomlTable &Table, EntrySettings &Settings) {
  Table.rejectUnknownKeys({"callers", "peers"});
  Settings.CallerAddress = readListen(Table, "callers");
  Settings.PeerAddress = readListen(Table, "peers");
  if (Settings.CallerAddress == Settings.PeerAddress)
    Table.throwError("peers", "an address other than listen.callers");
}

void readPlatform(const TomlTable &Table, EntrySettings &Settings) {
  Table.rejectUnknownKeys({"configuration", "vm_list"});
  Settings.ConfigurationServiceAddress = Table.address("configuration");
  Settings.VmListAddress = Table.address("vm_list");
}

void readPeers(const TomlTable &Table, EntrySettings &Settings) {
  Table.rejectUnknownKeys({"seeds"});
  for (const std::string &Text : Table.strings("seeds")) {
    const auto Seed = common::Address::parse(Text);
    if (!Seed)
      Table.throwError("seeds", "IPv4 addresses with ports, \"a.b.c.d:port\"");
    const bool IsKnown =
        std::find(Settings.SeedAddresses.begin(), Settings.SeedAddresses.end(),
                  *Seed) != Settings.SeedAddresses.end();
    if (IsKnown)
      Table.throwError("seeds", "each address once");
    Settings.SeedAddresses.push_back(*Seed);
  }
}

} // namespace

EntrySettings EntrySettingsParser::parse(const std::string &Text,
                                         const std::string &Source) {
  const TomlContext Context{Source, common::ResultCode::SettingInvalid};
  const toml::table Parsed = TomlTable::parse(Context, Text);
  const TomlTable Root(Context, Parsed, "");
  Root.rejectUnknownKeys({"vm", "listen", "platform", "peers"});

  EntrySettings Settings;
  readVm(Root.table("vm"), Settings);
  readListenTable(Root.table("listen"), Settings);
  readPlatform(Root.table("platform"), Settings);
  readPeers(Root.table("peers"), Settings);
  return Settings;
}

} // namespace acaciacross::configuration
