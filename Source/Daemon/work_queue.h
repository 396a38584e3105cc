#ifndef LACEWINGBRIDGE_SOURCE_DAEMON_WORK_QUEUE_H_
#define LACEWINGBRIDGE_SOURCE_DAEMON_WORK_QUEUE_H_

#include <tbb/concurrent_queue.h>

#include <cstddef>
#include <functional>
#include <thread>
#include <vector>

namespace lacewingbridge {

// Runs blocking jobs (calls to peers) on a fixed number of threads of its own, so that
// neither the gossip thread nor TBB's workers wait for the network.
class WorkQueue {
 public:
  using Job = std::function<void()>;

  WorkQueue(std::size_t thread_count, std::size_t capacity);
  ~WorkQueue();
  WorkQueue(const WorkQueue&) = delete;
  WorkQueue& operator=(const WorkQueue&) = delete;

  // Returns false if the queue is full. The job is then dropped, and the caller's own retry
  // has to add it again.
  bool Add(Job job);

  // Runs the jobs that were already added, and joins the threads.
  void Stop();

 private:
  void Run();

  tbb::concurrent_bounded_queue<Job> jobs;
  std::vector<std::thread> threads;
};

}  // namespace lacewingbridge

#endif  // LACEWINGBRIDGE_SOURCE_DAEMON_WORK_QUEUE_H_
