#ifndef LACEWINGBRIDGE_SOURCE_STORE_TABLE_OFFER_LOG_H_
#define LACEWINGBRIDGE_SOURCE_STORE_TABLE_OFFER_LOG_H_

#include <string_view>

namespace lacewingbridge {

class MeshState;
struct RouteTable;

// Offers a version to the state and logs what became of it.
void OfferAndLog(MeshState& state, RouteTable table, std::string_view source);

}  // namespace lacewingbridge

#endif  // LACEWINGBRIDGE_SOURCE_STORE_TABLE_OFFER_LOG_H_
