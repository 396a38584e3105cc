// Guards against a path that the rules and a target interpret differently, so that a request
// could run under a rule that does not apply to it.
#include <criterion/criterion.h>

#include <string>

#include "Daemon/request_path.h"

using namespace lacewingbridge;  // NOLINT(google-build-using-namespace)

Test(request_path, plain_paths_are_decoded_without_their_query) {
  cr_assert_eq(DecodeRequestPath("/"), std::string("/"));
  cr_assert_eq(DecodeRequestPath("/orders/1"), std::string("/orders/1"));
  cr_assert_eq(DecodeRequestPath("/orders/"), std::string("/orders/"));
  cr_assert_eq(DecodeRequestPath("/orders?next=/../x%2F"), std::string("/orders"));
  cr_assert_eq(DecodeRequestPath("/%6Frders/a%20b"), std::string("/orders/a b"));
  cr_assert_eq(DecodeRequestPath("/a/...;v=1/.hidden/x..y"),
               std::string("/a/...;v=1/.hidden/x..y"));
}

Test(request_path, paths_that_targets_may_resolve_are_refused) {
  for (const char* target : {"",
                             "orders",
                             "*",
                             "http://host/orders",
                             "/designs/../orders",
                             "/designs/..",
                             "/./orders",
                             "/designs/%2e%2E/orders",
                             "/designs/.%2e/orders",
                             "/designs/..;x/orders",
                             "//orders",
                             "/designs//orders",
                             "/designs/;x/orders",
                             "/designs%2forders",
                             "/designs/..%2Forders",
                             "/designs\\orders",
                             "/designs%5corders",
                             "/designs/%252e%252e/orders",
                             "/designs/%00",
                             "/designs/%0a",
                             "/designs/%7f",
                             "/designs/%",
                             "/designs/%2",
                             "/designs/%zz",
                             "/designs/%+1"}) {
    cr_assert_not(DecodeRequestPath(target).has_value(), "accepted: %s", target);
  }
}
