#include "stand_ins/record.h"

#include <cstdio>

namespace lacewingbridge::review {

double Record::GetSeconds() const {
  return std::chrono::duration<double>(Clock::now() - this->begin).count();
}

void Record::Write(std::string_view line) {
  char time[32];
  std::snprintf(time, sizeof(time), "%9.3f s  ", this->GetSeconds());
  const std::lock_guard guard(this->mutex);
  this->file << time << line << std::endl;
}

}  // namespace lacewingbridge::review
