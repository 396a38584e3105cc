// Guards against a request that matches the wrong route, and against a version of the route table
// that is accepted in part.
#include <criterion/criterion.h>

#include <string>
#include <utility>

#include "Routing/route_index.h"

using namespace lacewingbridge;  // NOLINT(google-build-using-namespace)

namespace {

HostRoute MakeRoute(std::string name, std::string prefix, std::string service) {
  HostRoute route;
  route.name = std::move(name);
  route.host = "labels.example";
  route.path_prefix = std::move(prefix);
  route.destinations = {{std::move(service), 1}};
  return route;
}

RouteTable MakeTable() {
  RouteTable table;
  table.version = 4;
  table.services = {{"book", "/healthz", 120}, {"desk", "/healthz", 120}};
  table.routes = {MakeRoute("all", "/", "book"), MakeRoute("orders", "/orders/", "desk"),
                  MakeRoute("proofs", "/orders/proofs/", "book")};
  return table;
}

std::string FindName(const RouteIndex& index, std::string_view host, std::string_view path) {
  const HostRoute* route = index.Find(host, path);
  return route == nullptr ? "none" : route->name;
}

}  // namespace

Test(route_index, finds_the_longest_prefix) {
  const Result<RouteIndex> index = RouteIndex::Create(MakeTable());
  cr_assert(IsOk(index));
  const RouteIndex& routes = GetValue(index);
  cr_assert_eq(FindName(routes, "labels.example", "/orders/17"), "orders");
  cr_assert_eq(FindName(routes, "labels.example", "/orders/proofs/2?size=/orders/"), "proofs");
  cr_assert_eq(FindName(routes, "labels.example", "/orders"), "all");
  cr_assert_eq(FindName(routes, "Labels.Example:8080", "/x"), "all");
  cr_assert_eq(FindName(routes, "other.example", "/orders/17"), "none");
  cr_assert_eq(FindName(routes, "labels.example", ""), "none");
}

Test(route_index, rejects_a_table_as_a_whole) {
  RouteTable unknown_service = MakeTable();
  unknown_service.routes[1].destinations[0].service = "gone";
  cr_assert(!IsOk(RouteIndex::Create(unknown_service)));
  RouteTable open_prefix = MakeTable();
  open_prefix.routes[1].path_prefix = "/orders";
  cr_assert(!IsOk(RouteIndex::Create(open_prefix)));
  RouteTable twice = MakeTable();
  twice.routes[2].path_prefix = "/orders/";
  cr_assert(!IsOk(RouteIndex::Create(twice)));
  RouteTable no_weight = MakeTable();
  no_weight.routes[0].destinations[0].weight = 0;
  const Result<RouteIndex> rejected = RouteIndex::Create(no_weight);
  cr_assert(!IsOk(rejected));
  cr_assert(GetError(rejected).kind == ErrorKind::kRulesInvalid);
  cr_assert(GetError(rejected).detail.find("\"all\"") != std::string::npos);
}
