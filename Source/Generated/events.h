// Generated from Source/Schema/events.proto by Utilities/SchemaGenerator. Do not edit.
#pragma once

#include <array>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>


namespace lacewingbridge {

enum class Event {
  kNone = 0,
  kStarted = 100,
  kStopping = 101,
  kStopped = 102,
  kDrainLimit = 103,
  kStartFailed = 104,
  kSettingsReloaded = 105,
  kSettingsRejected = 106,
  kLinesDropped = 107,
  kVersionInForce = 200,
  kVersionRejected = 201,
  kSubmissionAccepted = 202,
  kSubmissionRefused = 203,
  kStoreOlder = 204,
  kTableInForce = 205,
  kTableRejected = 206,
  kWatchStarted = 300,
  kWatchEnded = 301,
  kStoreUnreachable = 302,
  kStoreReached = 303,
  kLeaseGranted = 310,
  kLeaseLost = 311,
  kStoreHistoryGone = 312,
  kRecordUnreadable = 313,
  kWatchSilent = 314,
  kMemberJoined = 400,
  kMemberSuspect = 401,
  kMemberDead = 402,
  kMemberDraining = 403,
  kViewDistrusted = 404,
  kViewTrusted = 405,
  kHostNameTaken = 406,
  kTargetAnnounced = 500,
  kTargetGone = 501,
  kTargetDraining = 502,
  kTargetEjected = 503,
  kRequestQuarantined = 504,
  kAnnouncementRejected = 510,
  kTargetState = 511,
  kClaimOwnersChanged = 600,
  kClaimsHandedOver = 601,
  kRequestEnded = 800,
  kHopEnded = 801,
  kTargetHopEnded = 802,
  kLongAnswerSent = 803,
  kResponseOverLimit = 804,
  kRequestUnanswered = 805,
  kRequestFailed = 806,
  kQuotaRefused = 820,
  kQuotaSharesMoved = 821,
  kQuotaGrantsBegin = 822,
  kWorkspaceLeftOut = 810,
  kKeyShared = 811,
  kProofGained = 815,
  kProofExpired = 816,
  kStoreEraChanged = 817,
  kResponseMalformed = 830,
  kOperatorCallFailed = 700,
};

// Word for a value, as shown to people.
constexpr std::string_view GetName(Event value) {
  switch (value) {
    case Event::kNone:
      return "none";
    case Event::kStarted:
      return "started";
    case Event::kStopping:
      return "stopping";
    case Event::kStopped:
      return "stopped";
    case Event::kDrainLimit:
      return "drain_limit";
    case Event::kStartFailed:
      return "start_failed";
    case Event::kSettingsReloaded:
      return "settings_reloaded";
    case Event::kSettingsRejected:
      return "settings_rejected";
    case Event::kLinesDropped:
      return "lines_dropped";
    case Event::kVersionInForce:
      return "version_in_force";
    case Event::kVersionRejected:
      return "version_rejected";
    case Event::kSubmissionAccepted:
      return "submission_accepted";
    case Event::kSubmissionRefused:
      return "submission_refused";
    case Event::kStoreOlder:
      return "store_older";
    case Event::kTableInForce:
      return "table_in_force";
    case Event::kTableRejected:
      return "table_rejected";
    case Event::kWatchStarted:
      return "watch_started";
    case Event::kWatchEnded:
      return "watch_ended";
    case Event::kStoreUnreachable:
      return "store_unreachable";
    case Event::kStoreReached:
      return "store_reached";
    case Event::kLeaseGranted:
      return "lease_granted";
    case Event::kLeaseLost:
      return "lease_lost";
    case Event::kStoreHistoryGone:
      return "store_history_gone";
    case Event::kRecordUnreadable:
      return "record_unreadable";
    case Event::kWatchSilent:
      return "watch_silent";
    case Event::kMemberJoined:
      return "member_joined";
    case Event::kMemberSuspect:
      return "member_suspect";
    case Event::kMemberDead:
      return "member_dead";
    case Event::kMemberDraining:
      return "member_draining";
    case Event::kViewDistrusted:
      return "view_distrusted";
    case Event::kViewTrusted:
      return "view_trusted";
    case Event::kHostNameTaken:
      return "host_name_taken";
    case Event::kTargetAnnounced:
      return "target_announced";
    case Event::kTargetGone:
      return "target_gone";
    case Event::kTargetDraining:
      return "target_draining";
    case Event::kTargetEjected:
      return "target_ejected";
    case Event::kRequestQuarantined:
      return "request_quarantined";
    case Event::kAnnouncementRejected:
      return "announcement_rejected";
    case Event::kTargetState:
      return "target_state";
    case Event::kClaimOwnersChanged:
      return "claim_owners_changed";
    case Event::kClaimsHandedOver:
      return "claims_handed_over";
    case Event::kRequestEnded:
      return "request_ended";
    case Event::kHopEnded:
      return "hop_ended";
    case Event::kTargetHopEnded:
      return "target_hop_ended";
    case Event::kLongAnswerSent:
      return "long_answer_sent";
    case Event::kResponseOverLimit:
      return "response_over_limit";
    case Event::kRequestUnanswered:
      return "request_unanswered";
    case Event::kRequestFailed:
      return "request_failed";
    case Event::kQuotaRefused:
      return "quota_refused";
    case Event::kQuotaSharesMoved:
      return "quota_shares_moved";
    case Event::kQuotaGrantsBegin:
      return "quota_grants_begin";
    case Event::kWorkspaceLeftOut:
      return "workspace_left_out";
    case Event::kKeyShared:
      return "key_shared";
    case Event::kProofGained:
      return "proof_gained";
    case Event::kProofExpired:
      return "proof_expired";
    case Event::kStoreEraChanged:
      return "store_era_changed";
    case Event::kResponseMalformed:
      return "response_malformed";
    case Event::kOperatorCallFailed:
      return "operator_call_failed";
  }
  return "invalid";
}

struct EventDescription {
  Event id;
  std::string_view level;
  std::string_view text;
  std::string_view action;
};

inline constexpr std::array<EventDescription, 58> kEventCatalogue = {{
    {Event::kNone, "info",
     "no event",
     ""},
    {Event::kStarted, "info",
     "daemon started",
     ""},
    {Event::kStopping, "info",
     "shutdown requested; finishing requests in flight",
     ""},
    {Event::kStopped, "info",
     "daemon stopped",
     ""},
    {Event::kDrainLimit, "warning",
     "drain limit reached with requests in flight",
     "Raise drain_limit_ms if such requests are legitimate."},
    {Event::kStartFailed, "error",
     "daemon could not start",
     "Follow the remedy in the message."},
    {Event::kSettingsReloaded, "info",
     "settings file read again",
     ""},
    {Event::kSettingsRejected, "warning",
     "settings file is not valid; the earlier settings stay in force",
     "Correct the keys named in the message."},
    {Event::kLinesDropped, "warning",
     "log lines of an event were left out to bound the volume",
     "Use the counters on the metrics address for totals."},
    {Event::kVersionInForce, "info",
     "rules version in force",
     ""},
    {Event::kVersionRejected, "warning",
     "rules version rejected",
     "None if it is older; if its digest does not match, look for mixed releases."},
    {Event::kSubmissionAccepted, "info",
     "submission accepted",
     ""},
    {Event::kSubmissionRefused, "info",
     "submission refused",
     ""},
    {Event::kStoreOlder, "warning",
     "store holds an older version than this daemon; writing it back",
     "Ask the platform's team whether the store lost state; see displaced versions in status."},
    {Event::kTableInForce, "info",
     "route table in force",
     ""},
    {Event::kTableRejected, "warning",
     "route table rejected; the earlier one stays in force",
     "Correct the route named in the message."},
    {Event::kWatchStarted, "info",
     "this daemon watches the store for its scope",
     ""},
    {Event::kWatchEnded, "info",
     "this daemon no longer watches the store",
     ""},
    {Event::kStoreUnreachable, "warning",
     "store did not answer",
     "None while the platform works on it; submissions fail until it answers."},
    {Event::kStoreReached, "info",
     "store answers again",
     ""},
    {Event::kLeaseGranted, "info",
     "lease granted; this host will be listed",
     ""},
    {Event::kLeaseLost, "warning",
     "lease or record of this host is gone; listing it again",
     ""},
    {Event::kStoreHistoryGone, "info",
     "store has dropped the history after the known revision; reading everything again",
     ""},
    {Event::kRecordUnreadable, "warning",
     "store entry cannot be read and names no host",
     "Find out who writes below the prefix of the hosts."},
    {Event::kWatchSilent, "warning",
     "watch of the store did not return a change that another daemon knows; starting it again",
     "None if it is rare; otherwise look for a store that loses responses to this host."},
    {Event::kMemberJoined, "info",
     "member joined",
     ""},
    {Event::kMemberSuspect, "info",
     "member suspect",
     ""},
    {Event::kMemberDead, "warning",
     "member dead",
     "Replace the host if it stays away."},
    {Event::kMemberDraining, "info",
     "member draining",
     ""},
    {Event::kViewDistrusted, "warning",
     "too many members suspect at once; keeping all of them",
     "Check the network of this data centre."},
    {Event::kViewTrusted, "info",
     "members answer again",
     ""},
    {Event::kHostNameTaken, "warning",
     "another process used this host's name with a larger incarnation",
     "Once after a restart: none, its clock was behind. Repeated: give each host its own name."},
    {Event::kTargetAnnounced, "info",
     "target announced",
     ""},
    {Event::kTargetGone, "warning",
     "target stopped announcing itself",
     "Check the target's process."},
    {Event::kTargetDraining, "info",
     "target draining",
     ""},
    {Event::kTargetEjected, "warning",
     "target ejected after failures",
     "Check the target's log."},
    {Event::kRequestQuarantined, "warning",
     "request quarantined after it crashed targets",
     "Find the request by its fingerprint and fix the target."},
    {Event::kAnnouncementRejected, "warning",
     "announcement of a target cannot be used",
     "Correct the target's settings; the reason names the field."},
    {Event::kTargetState, "info",
     "state of the local target changed",
     ""},
    {Event::kClaimOwnersChanged, "info",
     "owner map changed",
     ""},
    {Event::kClaimsHandedOver, "info",
     "claims handed over",
     ""},
    {Event::kRequestEnded, "info",
     "request of a caller ended",
     ""},
    {Event::kHopEnded, "info",
     "hop to another daemon ended",
     ""},
    {Event::kTargetHopEnded, "info",
     "request at the local target ended",
     ""},
    {Event::kLongAnswerSent, "info",
     "long answer sent over the link of this host",
     ""},
    {Event::kResponseOverLimit, "warning",
     "response exceeds the limits of its head, chunk lines or trailers; connection closed",
     "Look at the process at the address; it sends bytes without end."},
    {Event::kRequestUnanswered, "info",
     "connection of a caller ended before the whole response to its request was sent",
     ""},
    {Event::kRequestFailed, "error",
     "request could not be handled; its connection is closed",
     "Report the reason; if it is a lack of memory, look at the memory of the daemon."},
    {Event::kQuotaRefused, "info",
     "request refused because of the quota of its workspace",
     "None if the workspace sends more than its quota; see docs/OPERATIONS.md."},
    {Event::kQuotaSharesMoved, "info",
     "other daemons now grant credit of workspaces that this one has granted",
     ""},
    {Event::kQuotaGrantsBegin, "info",
     "this daemon begins to grant credit with empty buckets after a pause",
     ""},
    {Event::kWorkspaceLeftOut, "warning",
     "workspace is left out of the version in force; its API keys are not accepted",
     "Give each workspace a name of its own without control characters."},
    {Event::kKeyShared, "warning",
     "two workspaces have the same API key; the key is not accepted",
     "Remove the key from one of the workspaces."},
    {Event::kProofGained, "info",
     "version in force is known to be the newest; API keys are served",
     ""},
    {Event::kProofExpired, "warning",
     "version in force may not be the newest; requests with API keys are refused",
     "Check the links of this host to the store and to other hosts."},
    {Event::kStoreEraChanged, "warning",
     "store was restored from a copy; reading everything again",
     "Ask the platform's team what was lost; check that the operators' configuration is the newest."},
    {Event::kResponseMalformed, "warning",
     "head of a response is not well-formed; connection closed",
     "Look at the process at the address; the fault names the part of the head."},
    {Event::kOperatorCallFailed, "info",
     "operator call failed",
     ""},
}};

}  // namespace lacewingbridge
