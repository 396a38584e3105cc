// Guards against route tables that are fetched from other daemons beside those of the store, and
// fill slow links while versions come in quick succession.

#include <atomic>
#include <string>

#include "Fakes/fake_platform.h"
#include "Fakes/keep_alive_target.h"
#include "Http/io_shard.h"
#include "Node/snapshot_fetcher.h"
#include "Proxy/mesh_state.h"

// Criterion defines macros that break headers of Boost.Intrusive, so it comes last.
#include <criterion/criterion.h>

using namespace lacewingbridge;  // NOLINT(google-build-using-namespace)
using std::chrono::milliseconds;

namespace {

// A daemon that learns of newer versions, and another one that counts the fetches from it.
class FetchingDaemon {
 public:
  void OfferVersion(std::uint64_t version) {
    RouteTable table;
    table.version = version;
    this->state.OfferTable(std::move(table));
  }
  void Request(Duration delivery_time) {
    this->fetcher.Request(this->peer.GetAddress(), delivery_time);
  }
  void RunFor(Duration time) {
    this->shard.GetContext().restart();
    this->shard.GetContext().run_for(time);
  }
  int CountFetches() const { return this->fetches; }

 private:
  std::atomic<int> fetches{0};
  KeepAliveTarget peer{[this](const std::string&, int) {
                         ++this->fetches;
                         TargetReply reply;
                         reply.bytes = "HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n";
                         return reply;
                       },
                       ""};
  IoShard shard{1};
  MeshState state{{"h1", "a1", "a", "127.0.0.1:1", "book", "127.0.0.1:2"}, {}};
  SnapshotFetcher fetcher{this->shard, this->state};
};

}  // namespace

Test(snapshot_fetcher, leaves_a_version_to_the_store_that_is_about_to_deliver_it) {
  FetchingDaemon daemon;
  daemon.OfferVersion(1);
  daemon.Request(milliseconds(500));
  daemon.RunFor(milliseconds(300));
  daemon.OfferVersion(2);
  daemon.RunFor(milliseconds(600));
  cr_assert_eq(daemon.CountFetches(), 0);
}

Test(snapshot_fetcher, fetches_a_version_that_the_store_does_not_deliver) {
  FetchingDaemon daemon;
  daemon.OfferVersion(1);
  daemon.Request(milliseconds(200));
  daemon.RunFor(milliseconds(600));
  cr_assert_eq(daemon.CountFetches(), 1);
}

Test(snapshot_fetcher, fetches_soon_while_the_store_does_not_respond) {
  FetchingDaemon daemon;
  daemon.OfferVersion(1);
  daemon.Request(Duration{0});
  daemon.RunFor(milliseconds(250));
  cr_assert_eq(daemon.CountFetches(), 1);
}
