#ifndef LACEWINGBRIDGE_SOURCE_VERSION_SNAPSHOT_BUILDER_H_
#define LACEWINGBRIDGE_SOURCE_VERSION_SNAPSHOT_BUILDER_H_

#include <memory>
#include <span>

#include "membership.h"
#include "rules.h"

namespace lacewingbridge {

class RouteSnapshot;
struct RulesDocument;

// Builds route snapshots from a rules version and the known members of the mesh.
class SnapshotBuilder {
 public:
  // The document must not be null. The snapshot omits services that no route names and targets of
  // dead members. The result does not depend on the order of the members.
  static std::shared_ptr<const RouteSnapshot> Build(VersionStamp version,
                                                    std::shared_ptr<const RulesDocument> document,
                                                    std::span<const MemberRecord> members);
};

}  // namespace lacewingbridge

#endif  // LACEWINGBRIDGE_SOURCE_VERSION_SNAPSHOT_BUILDER_H_
