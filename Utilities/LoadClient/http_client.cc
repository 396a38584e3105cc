// One HTTP request from a script: prints the body, and status and
// outcome to standard error; exits 0 for a status below 400.
#include <fmt/core.h>
#include <httplib.h>

#include <string>

int main(int argc, char** argv) {
  if (argc < 4) {
    fmt::print(stderr, "usage: {} METHOD IP:PORT PATH [BODY [HEADER=VALUE...]]\n", argv[0]);
    return 2;
  }
  constexpr int kFirstErrorStatus = 400;
  httplib::Client client(std::string("http://") + argv[2]);
  client.set_connection_timeout(2);
  client.set_read_timeout(30);
  httplib::Request request;
  request.method = argv[1];
  request.path = argv[3];
  request.body = argc > 4 ? argv[4] : "";
  for (int i = 5; i < argc; ++i) {
    const std::string header = argv[i];
    const std::size_t sign = header.find('=');
    request.headers.emplace(header.substr(0, sign), header.substr(sign + 1));
  }
  const httplib::Result answer = client.send(request);
  if (!answer) {
    fmt::print(stderr, "{}\n", httplib::to_string(answer.error()));
    return 1;
  }
  fmt::print("{}\n", answer->body);
  const std::string outcome = answer->get_header_value("Lacewing-Outcome");
  fmt::print(stderr, "{} {}\n", answer->status, outcome.empty() ? "-" : outcome);
  return answer->status < kFirstErrorStatus ? 0 : 1;
}
