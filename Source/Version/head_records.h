#ifndef LACEWINGBRIDGE_SOURCE_VERSION_HEAD_RECORDS_H_
#define LACEWINGBRIDGE_SOURCE_VERSION_HEAD_RECORDS_H_

#include <cstddef>
#include <cstdint>
#include <span>
#include <string_view>
#include <vector>

#include "rules.h"

namespace lacewingbridge {

// Number of submission records that the head in the store keeps. A submission that is older than
// all of them can no longer be looked up there.
inline constexpr std::size_t kMaxSubmissionRecords = 32;

// Returns the record with this submission id, or null. The result points into `records`.
const SubmissionRecord* FindSubmission(std::span<const SubmissionRecord> records,
                                       std::string_view submission_id);

// Returns the record with this version number, or null. The result points into `records`.
const SubmissionRecord* FindSubmissionByNumber(std::span<const SubmissionRecord> records,
                                               std::uint64_t number);

// Merges two lists of records, leaving out numbers above max_number. The result is sorted by
// number and has one record for each number, taken from the preferred list if both lists have
// one. Only the kMaxSubmissionRecords records with the highest numbers are kept.
std::vector<SubmissionRecord> MergeRecords(std::span<const SubmissionRecord> preferred,
                                           std::span<const SubmissionRecord> others,
                                           std::uint64_t max_number);

}  // namespace lacewingbridge

#endif  // LACEWINGBRIDGE_SOURCE_VERSION_HEAD_RECORDS_H_
