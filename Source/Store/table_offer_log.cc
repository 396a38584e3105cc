#include "Store/table_offer_log.h"

#include <cstdint>
#include <memory>
#include <string>
#include <utility>

#include "Observe/event_log.h"
#include "Proxy/mesh_state.h"

namespace lacewingbridge {

namespace {

void LogProblems(const RouteIndex& index) {
  using Kind = WorkspaceProblem::Kind;
  const RouteTable& table = index.GetTable();
  for (const WorkspaceProblem& problem : index.GetWorkspaces().GetProblems()) {
    if (problem.kind == Kind::kUnusableName) {
      EventLog::Write(Event::kWorkspaceLeftOut, "version={} position={} reason=unusable_name",
                      table.version, problem.first);
      continue;
    }
    const std::string& first = table.workspaces[problem.first].name;
    const std::string& second = table.workspaces[problem.second].name;
    if (problem.kind == Kind::kNameTaken) {
      EventLog::Write(Event::kWorkspaceLeftOut,
                      "version={} position={} reason=name_taken workspace={}", table.version,
                      problem.second, first);
    } else {
      EventLog::Write(Event::kKeyShared, "version={} workspace={} other={}", table.version, first,
                      second);
    }
  }
}

}  // namespace

void OfferAndLog(MeshState& state, RouteTable table, std::string_view source) {
  const std::uint64_t version = table.version;
  const std::uint64_t before = state.GetTableVersion();
  const std::size_t routes = table.routes.size();
  const Result<TableOffer> offered = state.OfferTable(std::move(table));
  if (!IsOk(offered)) {
    EventLog::Write(Event::kTableRejected, "version={} source={} held={} reason=\"{}\"", version,
                    source, before, GetError(offered).GetMessage());
  } else if (GetValue(offered) == TableOffer::kApplied) {
    EventLog::Write(Event::kTableInForce, "version={} source={} before={} routes={}", version,
                    source, before, routes);
    const std::shared_ptr<const RouteIndex> index = state.GetIndex();
    if (index->GetTable().version == version) {
      LogProblems(*index);
    }
  }
}

}  // namespace lacewingbridge
