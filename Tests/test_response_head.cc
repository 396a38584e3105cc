// Guards against heads of responses that two readers would understand differently.
#include <criterion/criterion.h>

#include <string>
#include <utility>
#include <vector>

#include "Transfer/response_head.h"

using namespace lacewingbridge;  // NOLINT(google-build-using-namespace)

namespace {

HeadFault Check(const std::string& fields) {
  return CheckResponseHead("HTTP/1.1 200 OK\r\n" + fields + "\r\n");
}

}  // namespace

Test(response_head, takes_well_formed_heads) {
  for (const std::string head : {"HTTP/1.1 200 OK\r\n\r\n", "HTTP/1.0 100 \r\n\r\n",
                                 "HTTP/1.1 599\r\n\r\n", "HTTP/1.1 200 \xc3\xbc\tb\r\n\r\n"}) {
    cr_expect(CheckResponseHead(head) == HeadFault::kNone, "%s", head.c_str());
  }
  for (const std::string fields :
       {"X-A:\r\n", "x!#$%&'*+-.^_`|~9: a\tb \xff\r\n",
        "Content-Length: 3\r\nContent-Length: 3\r\n", "Transfer-Encoding: Chunked\r\n"}) {
    cr_expect(Check(fields) == HeadFault::kNone, "%s", fields.c_str());
  }
}

Test(response_head, names_the_fault) {
  for (const std::string line :
       {"HTTP/1.1 000 Odd", "HTTP/1.1 099 Odd", "HTTP/1.1 20 OK", "HTTP/1.1 600 Odd",
        "HTTP/1.1 2000 OK", "HTTP/1.1  200 OK", "HTTP/1.1 200OK", "HTTP/2.0 200 OK", "HTTP/1.1 200",
        "HTTP/1.1 200 a\x01", " HTTP/1.1 200 OK", "ICY 200 OK", ""}) {
    const bool has_end = line != "HTTP/1.1 200";
    cr_expect(CheckResponseHead(line + (has_end ? "\r\n\r\n" : "")) == HeadFault::kStatusLine, "%s",
              line.c_str());
  }
  const std::vector<std::pair<std::string, HeadFault>> faults = {
      {"X A: 1\r\n", HeadFault::kFieldName},
      {"X-A : 1\r\n", HeadFault::kFieldName},
      {"X-\x01: 1\r\n", HeadFault::kFieldName},
      {": 1\r\n", HeadFault::kFieldName},
      {"X-A\r\n", HeadFault::kFieldName},
      {"X-A: 1\x7f\r\n", HeadFault::kFieldValue},
      {"X-A: 1\n\r\n", HeadFault::kFieldValue},
      {"X-A: 1\rX-B: 2\r\n", HeadFault::kFieldValue},
      {std::string("X-A: 1\0\r\n", 9), HeadFault::kFieldValue},
      {"X-A: 1\r\n 2\r\n", HeadFault::kFoldedLine},
      {"\t2\r\n", HeadFault::kFoldedLine},
      {"Content-Length: 3\r\ncontent-length: 4\r\n", HeadFault::kLength},
      {"Content-Length: 3, 3\r\n", HeadFault::kLength},
      {"Content-Length: +3\r\n", HeadFault::kLength},
      {"Content-Length:\r\n", HeadFault::kLength},
      {"Content-Length: 3\r\nTransfer-Encoding: chunked\r\n", HeadFault::kEncoding},
      {"Transfer-Encoding: chunked\r\nContent-Length: 3\r\n", HeadFault::kEncoding},
      {"Transfer-Encoding: gzip, chunked\r\n", HeadFault::kEncoding},
      {"Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n", HeadFault::kEncoding}};
  for (const auto& [fields, fault] : faults) {
    cr_expect(Check(fields) == fault, "%s gave %s", fields.c_str(),
              std::string(GetName(Check(fields))).c_str());
  }
}
