#ifndef LACEWINGBRIDGE_SOURCE_STORE_TABLE_OFFER_LOG_H_
#define LACEWINGBRIDGE_SOURCE_STORE_TABLE_OFFER_LOG_H_

#include <string_view>

namespace lacewingbridge {

class MeshState;
struct RouteTable;

// Offers a route table to the state and logs the result. source names where the table came from:
// the store or the address of a daemon.
void OfferAndLog(MeshState& state, RouteTable table, std::string_view source);

}  // namespace lacewingbridge

#endif  // LACEWINGBRIDGE_SOURCE_STORE_TABLE_OFFER_LOG_H_
