#ifndef LACEWINGBRIDGE_SOURCE_RULES_RULES_MATCHER_H_
#define LACEWINGBRIDGE_SOURCE_RULES_RULES_MATCHER_H_

#include <cstdint>
#include <string_view>
#include <vector>

#include "Rules/http_method.h"
#include "Rules/route_rule.h"

namespace lacewingbridge {

struct RulesDocument;

// Finds the route of a request in a tree of path segments. It refers to the routes of
// the document it was created from, which must outlive it unchanged.
class RulesMatcher {
 public:
  static RulesMatcher Create(const RulesDocument& document);

  // The route with the longest path, by whole segments, among those that accept the
  // method; of two with the same path, the one that names the method. The query string
  // is ignored. nullptr if no route matches. Allocates nothing.
  const RouteRule* FindRoute(std::string_view method, std::string_view path) const;

 private:
  struct Child {
    std::string_view segment;
    std::uint32_t node;
  };

  struct Node {
    // In the order of their segments.
    std::vector<Child> children;
    // Range of this node in `targets`; empty if no route has this path.
    std::uint32_t first_target = 0;
    std::uint32_t target_count = 0;
  };

  struct Target {
    HttpMethodSet methods;
    const RouteRule* route;
  };

  RulesMatcher() = default;

  std::uint32_t GetOrAddNode(std::string_view path);
  const Node* FindChild(const Node& node, std::string_view segment) const;
  const RouteRule* FindTarget(const Node& node, HttpMethod method) const;

  std::vector<Node> nodes;
  std::vector<Target> targets;
};

}  // namespace lacewingbridge

#endif  // LACEWINGBRIDGE_SOURCE_RULES_RULES_MATCHER_H_
