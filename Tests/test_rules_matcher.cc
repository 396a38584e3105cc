// Guards against a lookup that returns a route for another path, a route that matches only a part
// of a segment, or a route for another method, and against lookups that allocate memory.
#include <criterion/criterion.h>
#include <rapidcheck.h>

#include <cstdlib>
#include <new>
#include <string>
#include <utility>
#include <vector>

#include "Rules/rules_document.h"
#include "Rules/rules_matcher.h"

using namespace lacewingbridge;  // NOLINT(google-build-using-namespace)

namespace {

std::size_t allocation_count = 0;

}  // namespace

// These functions are not inlined, because GCC 12 would report the inlined code as a mismatch of
// new and free.
[[gnu::noinline]] void* operator new(std::size_t size) {
  ++allocation_count;
  if (void* const memory = std::malloc(size)) {
    return memory;
  }
  throw std::bad_alloc();
}

// std::stable_sort allocates with this form of new. It has to be replaced as well: otherwise
// AddressSanitizer reports that the replaced delete frees memory from a new that is not replaced.
[[gnu::noinline]] void* operator new(std::size_t size, const std::nothrow_t& /*tag*/) noexcept {
  ++allocation_count;
  return std::malloc(size);
}

[[gnu::noinline]] void operator delete(void* memory) noexcept { std::free(memory); }
[[gnu::noinline]] void operator delete(void* memory, std::size_t /*size*/) noexcept {
  std::free(memory);
}

namespace {

const std::vector<std::string> kMethods = {"GET",    "HEAD",    "POST", "PUT", "PATCH",
                                           "DELETE", "OPTIONS", "BREW", "get", ""};

void AddRoute(RulesDocument& document, std::string path, HttpMethodSet methods) {
  RouteRule route;
  route.name = std::to_string(document.routes.size());
  route.path = std::move(path);
  route.methods = methods;
  document.routes.push_back(route);
}

bool CoversPath(const std::string& prefix, const std::string& path) {
  if (prefix == "/") {
    return true;
  }
  return path == prefix || path.starts_with(prefix + "/");
}

// Finds the route by a linear scan that follows the rule in docs/design.md, section 3.1, literally.
const RouteRule* FindByScan(const RulesDocument& document, const std::string& method,
                            const std::string& target) {
  const std::string path = target.substr(0, target.find('?'));
  const HttpMethodSet bit = MakeHttpMethodSet(ParseHttpMethod(method));
  const RouteRule* best = nullptr;
  for (const RouteRule& route : document.routes) {
    if (!path.starts_with('/') || (route.methods & bit) == 0 || !CoversPath(route.path, path)) {
      continue;
    }
    const bool longer = best == nullptr || route.path.size() > best->path.size();
    const bool names_method = best != nullptr && route.path.size() == best->path.size() &&
                              best->methods == kAllHttpMethods && route.methods != kAllHttpMethods;
    best = longer || names_method ? &route : best;
  }
  return best;
}

std::string JoinSegments(const std::vector<std::string>& segments) {
  std::string path;
  for (const std::string& segment : segments) {
    path += "/" + segment;
  }
  return path.empty() ? "/" : path;
}

rc::Gen<std::string> GenPath(std::vector<std::string> words) {
  return rc::gen::map(rc::gen::resize(4, rc::gen::container<std::vector<std::string>>(
                                             rc::gen::elementOf(std::move(words)))),
                      JoinSegments);
}

}  // namespace

Test(rules_matcher, matches_whole_segments) {
  RulesDocument document;
  AddRoute(document, "/orders", kAllHttpMethods);
  AddRoute(document, "/orders/internal", MakeHttpMethodSet(HttpMethod::kGet));
  AddRoute(document, "/orders", MakeHttpMethodSet(HttpMethod::kPost));
  const RulesMatcher matcher = RulesMatcher::Create(document);
  const auto find = [&](std::string_view method, std::string_view path) {
    const RouteRule* const route = matcher.FindRoute(method, path);
    return route == nullptr ? std::string("none") : route->name;
  };
  cr_assert(find("GET", "/orders") == "0" && find("GET", "/orders/7?a=/b") == "0");
  cr_assert(find("GET", "/ordersheet") == "none" && find("GET", "/order") == "none");
  cr_assert(find("GET", "/orders/internal/x") == "1" && find("GET", "/orders/internals") == "0");
  cr_assert(find("POST", "/orders?x") == "2" && find("POST", "/orders/internal") == "2");
  cr_assert(find("BREW", "/orders") == "0" && find("GET", "") == "none");
  cr_assert(find("GET", "orders") == "none" && find("GET", "//orders") == "none");
  cr_assert(RulesMatcher::Create(RulesDocument()).FindRoute("GET", "/") == nullptr);
}

Test(rules_matcher, agrees_with_a_linear_scan) {
  const bool pass = rc::check("same route as the scan", [] {
    // Segments that are prefixes of each other, or that contain characters that sort next to "/".
    const std::vector<std::string> words = {"a", "ab", "a-", "a.", "b"};
    const auto paths = *rc::gen::container<std::vector<std::string>>(GenPath(words));
    RulesDocument document;
    for (const std::string& path : paths) {
      // The method sets of routes with the same path are disjoint, as the parser requires.
      HttpMethodSet free = 0x7f;
      bool has_route_for_all = false;
      for (const RouteRule& route : document.routes) {
        if (route.path == path && route.methods == kAllHttpMethods) {
          has_route_for_all = true;
        } else if (route.path == path) {
          free &= static_cast<HttpMethodSet>(~route.methods);
        }
      }
      const auto methods = static_cast<HttpMethodSet>(free & *rc::gen::arbitrary<HttpMethodSet>());
      if (methods != 0 || !has_route_for_all) {
        AddRoute(document, path, methods != 0 ? methods : kAllHttpMethods);
      }
    }
    const RulesMatcher matcher = RulesMatcher::Create(document);
    const auto targets = *rc::gen::container<std::vector<std::string>>(
        GenPath({"a", "ab", "a-", "a.", "b", "", "?", "a?b", "c"}));
    for (const std::string& target : targets) {
      for (const std::string& method : kMethods) {
        RC_ASSERT(matcher.FindRoute(method, target) == FindByScan(document, method, target));
      }
    }
  });
  cr_assert(pass);
}

Test(rules_matcher, allocates_nothing_per_lookup) {
  RulesDocument document;
  AddRoute(document, "/a-rather-long-first-segment/and-a-second", kAllHttpMethods);
  const RulesMatcher matcher = RulesMatcher::Create(document);
  const std::string long_path =
      "/a-rather-long-first-segment/and-a-second" + std::string(9000, '/');
  const std::size_t before = allocation_count;
  const bool found = matcher.FindRoute("GET", long_path) != nullptr;
  const std::size_t after = allocation_count;
  cr_assert(found && before > 0);
  cr_assert_eq(before, after);
}
