#include "Daemon/work_queue.h"

#include <utility>

namespace lacewingbridge {

WorkQueue::WorkQueue(std::size_t thread_count, std::size_t capacity) {
  this->jobs.set_capacity(static_cast<std::ptrdiff_t>(capacity));
  for (std::size_t i = 0; i < thread_count; ++i) {
    this->threads.emplace_back([this] { this->Run(); });
  }
}

WorkQueue::~WorkQueue() { this->Stop(); }

bool WorkQueue::Add(Job job) { return this->jobs.try_push(std::move(job)); }

void WorkQueue::Stop() {
  // An empty job ends the thread that takes it.
  for (std::size_t i = 0; i < this->threads.size(); ++i) {
    this->jobs.push(Job());
  }
  for (std::thread& thread : this->threads) {
    thread.join();
  }
  this->threads.clear();
}

void WorkQueue::Run() {
  Job job;
  while (true) {
    this->jobs.pop(job);
    if (!job) {
      return;
    }
    job();
  }
}

}  // namespace lacewingbridge
