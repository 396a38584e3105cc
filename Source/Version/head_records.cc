#include "Version/head_records.h"

#include <algorithm>
#include <map>

namespace lacewingbridge {

const SubmissionRecord* FindSubmission(std::span<const SubmissionRecord> records,
                                       std::string_view submission_id) {
  const auto found = std::find_if(records.begin(), records.end(), [&](const auto& record) {
    return record.submission_id == submission_id;
  });
  return found == records.end() ? nullptr : &*found;
}

const SubmissionRecord* FindSubmissionByNumber(std::span<const SubmissionRecord> records,
                                               std::uint64_t number) {
  const auto found = std::find_if(records.begin(), records.end(),
                                  [&](const auto& record) { return record.number == number; });
  return found == records.end() ? nullptr : &*found;
}

std::vector<SubmissionRecord> MergeRecords(std::span<const SubmissionRecord> preferred,
                                           std::span<const SubmissionRecord> others,
                                           std::uint64_t max_number) {
  std::map<std::uint64_t, const SubmissionRecord*> by_number;
  for (const SubmissionRecord& record : preferred) {
    by_number.try_emplace(record.number, &record);
  }
  for (const SubmissionRecord& record : others) {
    by_number.try_emplace(record.number, &record);
  }
  by_number.erase(by_number.upper_bound(max_number), by_number.end());
  while (by_number.size() > kMaxSubmissionRecords) {
    by_number.erase(by_number.begin());
  }
  std::vector<SubmissionRecord> merged;
  merged.reserve(by_number.size());
  for (const auto& [number, record] : by_number) {
    merged.push_back(*record);
  }
  return merged;
}

}  // namespace lacewingbridge
