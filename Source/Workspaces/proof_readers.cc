#include "Workspaces/proof_readers.h"

#include <algorithm>
#include <string>

#include "Core/hash.h"

namespace lacewingbridge {

std::size_t CountProofReaders(std::size_t hosts) {
  constexpr std::size_t kMinReaders = 2;
  constexpr std::size_t kHostsPerReader = 32;
  return std::max(kMinReaders, hosts / kHostsPerReader);
}

std::vector<HostRecord> ChooseProofReaders(std::span<const HostRecord> hosts) {
  std::vector<std::string> names;
  names.reserve(hosts.size());
  for (const HostRecord& host : hosts) {
    names.push_back(host.host);
  }
  std::vector<std::size_t> ranked = RankByHash("proof_readers", names);
  ranked.resize(std::min(CountProofReaders(hosts.size()), ranked.size()));
  std::vector<HostRecord> readers;
  readers.reserve(ranked.size());
  for (const std::size_t index : ranked) {
    readers.push_back(hosts[index]);
  }
  return readers;
}

}  // namespace lacewingbridge
