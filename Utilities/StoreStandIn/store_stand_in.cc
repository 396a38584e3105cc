// Stand-in for the platform's key-value store: compare-and-swap, leases, watches, call
// counts and injectable faults, over HTTP with JSON bodies.
#include <fmt/core.h>
#include <getopt.h>
#include <httplib.h>

#include <chrono>
#include <cstdio>
#include <string>
#include <thread>

#include "Daemon/http_listener.h"
#include "Daemon/signal_waiter.h"
#include "store_codec.h"
#include "store_table.h"

namespace lacewingbridge {
namespace {

// Values of the platform's store are at most a megabyte.
constexpr std::size_t kMaxValueBytes = 1 << 20;
// Each waiting watch holds a thread.
constexpr std::size_t kServerThreads = 512;

void Reply(httplib::Response& response, const std::string& json) {
  response.set_content(json, "application/json");
}

// Decodes the body, delays or refuses as the faults say, and calls the action.
template <typename Request, typename Action>
httplib::Server::Handler MakeCall(StoreTable& table, Action action) {
  return [&table, action](const httplib::Request& http, httplib::Response& response) {
    const StoreFaults faults = table.GetFaults();
    if (faults.delay_ms > 0) {
      std::this_thread::sleep_for(std::chrono::milliseconds(faults.delay_ms));
    }
    Request request;
    if (faults.down) {
      response.status = 503;
    } else if (!DecodeJson(http.body, request)) {
      response.status = 400;
      response.set_content("body is not the JSON form of the request", "text/plain");
    } else {
      action(request, response);
    }
  };
}

void AddStoreCalls(httplib::Server& server, StoreTable& table) {
  server.Post("/v1/get",
              MakeCall<StoreGetRequest>(table, [&table](const auto& request, auto& response) {
                Reply(response, EncodeJson(table.Get(request)));
              }));
  server.Post("/v1/swap",
              MakeCall<StoreSwapRequest>(table, [&table](const auto& request, auto& response) {
                if (request.value.size() > kMaxValueBytes) {
                  response.status = 413;
                  response.set_content("values are at most 1 MiB", "text/plain");
                  return;
                }
                const auto reply = table.Swap(request);
                if (reply.has_value()) {
                  Reply(response, EncodeJson(*reply));
                } else {
                  response.status = 504;
                }
              }));
  server.Post("/v1/lease",
              MakeCall<StoreLeaseRequest>(table, [&table](const auto& request, auto& response) {
                Reply(response, EncodeJson(table.Lease(request)));
              }));
  server.Post("/v1/watch",
              MakeCall<StoreWatchRequest>(table, [&table](const auto& request, auto& response) {
                const StoreWatchReply reply = table.Watch(request);
                if (table.GetFaults().down) {
                  response.status = 503;
                  return;
                }
                Reply(response, EncodeJson(reply));
              }));
}

void AddTestCalls(httplib::Server& server, StoreTable& table) {
  server.Get("/counts", [&table](const httplib::Request&, httplib::Response& response) {
    Reply(response, EncodeJson(table.GetCounts()));
  });
  server.Post("/faults", [&table](const httplib::Request& http, httplib::Response& response) {
    StoreFaults faults;
    if (!DecodeJson(http.body, faults)) {
      response.status = 400;
      return;
    }
    table.SetFaults(faults);
    Reply(response, EncodeJson(faults));
  });
  server.Post("/checkpoint",
              [&table](const httplib::Request&, httplib::Response&) { table.SaveCheckpoint(); });
  server.Post("/restore",
              [&table](const httplib::Request&, httplib::Response&) { table.RestoreCheckpoint(); });
}

int RunServer(const std::string& address) {
  const SignalWaiter signals;
  StoreTable table;
  HttpListener listener(kServerThreads);
  AddStoreCalls(listener.GetServer(), table);
  AddTestCalls(listener.GetServer(), table);
  const Status started = listener.Start(address);
  if (!IsOk(started)) {
    fmt::print(stderr, "{}\n", GetError(started).GetMessage());
    return 1;
  }
  signals.WaitForTermination();
  table.Stop();
  listener.Stop();
  return 0;
}

}  // namespace
}  // namespace lacewingbridge

int main(int argc, char** argv) {
  const option options[] = {{"listen", required_argument, nullptr, 'l'}, {nullptr, 0, nullptr, 0}};
  std::string listen = "127.0.0.1:7400";
  int choice = 0;
  while ((choice = getopt_long(argc, argv, "l:", options, nullptr)) != -1) {
    if (choice != 'l') {
      fmt::print(stderr, "usage: {} [--listen IP:PORT]\n", argv[0]);
      return 2;
    }
    listen = optarg;
  }
  return lacewingbridge::RunServer(listen);
}
