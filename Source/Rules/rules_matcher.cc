#include "Rules/rules_matcher.h"

#include <algorithm>

#include "Rules/rules_document.h"

namespace lacewingbridge {

namespace {

// Removes the first segment from a path that starts with "/", and returns it without the slash.
std::string_view TakeSegment(std::string_view& path) {
  const std::size_t end = std::min(path.find('/', 1), path.size());
  const std::string_view segment = path.substr(1, end - 1);
  path.remove_prefix(end);
  return segment;
}

// Orders routes by the segments of their paths, so that all routes below a path follow it directly.
// Of the routes with the same path, those that list methods come first.
bool PrecedesInTree(const RouteRule* left, const RouteRule* right) {
  std::string_view left_path = left->path;
  std::string_view right_path = right->path;
  while (!left_path.empty() && !right_path.empty()) {
    const int order = TakeSegment(left_path).compare(TakeSegment(right_path));
    if (order != 0) {
      return order < 0;
    }
  }
  if (left_path.empty() != right_path.empty()) {
    return left_path.empty();
  }
  return left->methods != kAllHttpMethods && right->methods == kAllHttpMethods;
}

}  // namespace

RulesMatcher RulesMatcher::Create(const RulesDocument& document) {
  std::vector<const RouteRule*> routes;
  routes.reserve(document.routes.size());
  for (const RouteRule& route : document.routes) {
    if (route.path.starts_with('/')) {
      routes.push_back(&route);
    }
  }
  std::stable_sort(routes.begin(), routes.end(), PrecedesInTree);
  RulesMatcher matcher;
  matcher.nodes.emplace_back();
  matcher.route_entries.reserve(routes.size());
  for (const RouteRule* route : routes) {
    Node& node = matcher.nodes[matcher.GetOrAddNode(route->path)];
    if (node.entry_count == 0) {
      node.first_entry = static_cast<std::uint32_t>(matcher.route_entries.size());
    }
    ++node.entry_count;
    matcher.route_entries.push_back({route->methods, route});
  }
  return matcher;
}

// The paths come in the order of the tree, so a segment is either the last child or a new one.
std::uint32_t RulesMatcher::GetOrAddNode(std::string_view path) {
  std::uint32_t index = 0;
  std::string_view rest = path == "/" ? std::string_view() : path;
  while (!rest.empty()) {
    const std::string_view segment = TakeSegment(rest);
    if (this->nodes[index].children.empty() ||
        this->nodes[index].children.back().segment != segment) {
      const auto added = static_cast<std::uint32_t>(this->nodes.size());
      this->nodes[index].children.push_back({segment, added});
      this->nodes.emplace_back();
    }
    index = this->nodes[index].children.back().node;
  }
  return index;
}

const RulesMatcher::Node* RulesMatcher::FindChild(const Node& node,
                                                  std::string_view segment) const {
  const auto position = std::lower_bound(
      node.children.begin(), node.children.end(), segment,
      [](const Child& child, std::string_view key) { return child.segment < key; });
  if (position == node.children.end() || position->segment != segment) {
    return nullptr;
  }
  return &this->nodes[position->node];
}

const RouteRule* RulesMatcher::FindRouteAt(const Node& node, HttpMethod method) const {
  const HttpMethodSet bit = MakeHttpMethodSet(method);
  for (std::uint32_t i = 0; i < node.entry_count; ++i) {
    const RouteEntry& entry = this->route_entries[node.first_entry + i];
    if ((entry.methods & bit) != 0) {
      return entry.route;
    }
  }
  return nullptr;
}

const RouteRule* RulesMatcher::FindRoute(std::string_view method, std::string_view path) const {
  const HttpMethod parsed_method = ParseHttpMethod(method);
  std::string_view rest = path.substr(0, path.find('?'));
  if (!rest.starts_with('/')) {
    return nullptr;
  }
  const Node* node = &this->nodes.front();
  const RouteRule* best = this->FindRouteAt(*node, parsed_method);
  while (!rest.empty()) {
    node = this->FindChild(*node, TakeSegment(rest));
    if (node == nullptr) {
      break;
    }
    const RouteRule* found = this->FindRouteAt(*node, parsed_method);
    best = found != nullptr ? found : best;
  }
  return best;
}

}  // namespace lacewingbridge
