#include "Store/table_offer_log.h"

#include <cstdint>
#include <utility>

#include "Observe/event_log.h"
#include "Proxy/mesh_state.h"

namespace lacewingbridge {

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
  }
}

}  // namespace lacewingbridge
