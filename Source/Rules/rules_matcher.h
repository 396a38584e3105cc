#ifndef LACEWINGBRIDGE_SOURCE_RULES_RULES_MATCHER_H_
#define LACEWINGBRIDGE_SOURCE_RULES_RULES_MATCHER_H_

#include <cstdint>
#include <string_view>
#include <vector>

#include "Rules/http_method.h"
#include "Rules/route_rule.h"

namespace lacewingbridge {

struct RulesDocument;

// Finds the route of a request in a tree of path segments. The matcher refers to the routes of the
// document that it was created from, so the document must outlive it and must not change. Lookups
// may run on several threads at the same time.
class RulesMatcher {
 public:
  static RulesMatcher Create(const RulesDocument& document);

  // Returns the route with the longest path among those that match whole segments of `path` from
  // its start and accept the method. Of two routes with the same path, the one that lists the
  // method is returned. The query string is ignored. Returns nullptr if no route matches. Does not
  // allocate memory.
  const RouteRule* FindRoute(std::string_view method, std::string_view path) const;

 private:
  // A path segment below a node, and the index of its node in `nodes`.
  struct Child {
    std::string_view segment;
    std::uint32_t node;
  };

  // A path. The root, which is the first node, stands for "/".
  struct Node {
    // Sorted by segment.
    std::vector<Child> children;
    // The routes with this path, as a range of `route_entries`. Empty if no route has this path.
    std::uint32_t first_entry = 0;
    std::uint32_t entry_count = 0;
  };

  // A route and the methods that it accepts.
  struct RouteEntry {
    HttpMethodSet methods;
    const RouteRule* route;
  };

  RulesMatcher() = default;

  // Returns the index of the node for the path. The paths must come in the order of the tree.
  std::uint32_t GetOrAddNode(std::string_view path);
  // Returns nullptr if the node has no child for the segment.
  const Node* FindChild(const Node& node, std::string_view segment) const;
  // Returns the route with the path of the node that accepts the method, or nullptr.
  const RouteRule* FindRouteAt(const Node& node, HttpMethod method) const;

  std::vector<Node> nodes;
  std::vector<RouteEntry> route_entries;
};

}  // namespace lacewingbridge

#endif  // LACEWINGBRIDGE_SOURCE_RULES_RULES_MATCHER_H_
