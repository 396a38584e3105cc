#ifndef LACEWINGBRIDGE_SOURCE_VERSION_HEAD_RECORDS_H_
#define LACEWINGBRIDGE_SOURCE_VERSION_HEAD_RECORDS_H_

#include <cstddef>
#include <cstdint>
#include <span>
#include <string_view>
#include <vector>

#include "rules.h"

namespace lacewingbridge {

inline constexpr std::size_t kMaxSubmissionRecords = 32;

// The record of a submission id, or null.
const SubmissionRecord* FindSubmission(std::span<const SubmissionRecord> records,
                                       std::string_view submission_id);

// The record of a version number, or null.
const SubmissionRecord* FindNumber(std::span<const SubmissionRecord> records, std::uint64_t number);

// The records of both lists up to max_number, sorted by number and one for each
// number; the preferred list decides where both have one. Keeps the newest
// kMaxSubmissionRecords.
std::vector<SubmissionRecord> MergeRecords(std::span<const SubmissionRecord> preferred,
                                           std::span<const SubmissionRecord> others,
                                           std::uint64_t max_number);

}  // namespace lacewingbridge

#endif  // LACEWINGBRIDGE_SOURCE_VERSION_HEAD_RECORDS_H_
