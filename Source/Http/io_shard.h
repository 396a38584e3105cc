#ifndef LACEWINGBRIDGE_SOURCE_HTTP_IO_SHARD_H_
#define LACEWINGBRIDGE_SOURCE_HTTP_IO_SHARD_H_

#include <cstdint>
#include <random>

#include "Http/asio_types.h"
#include "Http/connection_pool.h"
#include "Http/send_watch.h"

namespace lacewingbridge {

// The connections of one thread. Only that thread touches them, so they need no lock;
// what several shards share is kept elsewhere, under locks.
class IoShard {
 public:
  explicit IoShard(std::uint64_t seed) : random(seed) {}

  asio::io_context& GetContext() { return this->context; }
  ConnectionPool& GetPool() { return this->pool; }
  SendWatch& GetSendWatch() { return this->send_watch; }
  std::mt19937_64& GetRandom() { return this->random; }

 private:
  asio::io_context context{1};
  ConnectionPool pool;
  SendWatch send_watch{this->context};
  std::mt19937_64 random;
};

}  // namespace lacewingbridge

#endif  // LACEWINGBRIDGE_SOURCE_HTTP_IO_SHARD_H_
