#ifndef LACEWINGBRIDGE_SOURCE_DAEMON_STORE_RECORDS_H_
#define LACEWINGBRIDGE_SOURCE_DAEMON_STORE_RECORDS_H_

#include <string>

#include "Core/result.h"
#include "Core/store_client.h"
#include "Daemon/store_keys.h"
#include "Version/submit_messages.h"
#include "rules_codec.h"
#include "store.h"

namespace lacewingbridge {

// Decodes the entry of the head key. A value that cannot be decoded counts as absent but keeps
// its revision, so that a repair can overwrite it.
inline StoredHead DecodeHead(const StoreEntry& entry) {
  StoredHead stored;
  stored.revision = entry.revision;
  RulesHead head;
  if (entry.revision != 0 && Decode(entry.value, head)) {
    stored.head = std::move(head);
  }
  return stored;
}

// Creates a key whose value never changes. Returns true also when the key exists already, and
// false when the call failed.
template <StoreClient Client>
bool WriteOnce(Client& client, const std::string& key, const std::string& value) {
  StoreSwapRequest request;
  request.key = key;
  request.value = value;
  return IsOk(client.Swap(request));
}

// Reads the body of a version from the store and combines it with its head. Returns kNotFound
// when the store has no such body.
template <StoreClient Client>
Result<RulesVersion> ReadVersion(Client& client, const RulesHead& head) {
  Result<StoreGetReply> body = client.Get({MakeBodyKey(head.stamp.digest)});
  if (!IsOk(body)) {
    return GetError(body);
  }
  if (GetValue(body).entry.revision == 0) {
    return Error{ErrorKind::kNotFound, MakeBodyKey(head.stamp.digest)};
  }
  RulesVersion version;
  version.stamp = head.stamp;
  version.parent = head.parent;
  version.submission_id = head.submission_id;
  version.operator_name = head.operator_name;
  version.accepted_unix_ms = head.accepted_unix_ms;
  version.text = std::move(GetValue(body).entry.value);
  return version;
}

}  // namespace lacewingbridge

#endif  // LACEWINGBRIDGE_SOURCE_DAEMON_STORE_RECORDS_H_
