#ifndef LACEWINGBRIDGE_REVIEW_SUPPORT_JSON_H_
#define LACEWINGBRIDGE_REVIEW_SUPPORT_JSON_H_

#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace review {

// A JSON value. Numbers are kept as text.
struct Json {
  std::string text;
  std::vector<Json> list;
  std::map<std::string, Json> members;

  // An empty value if there is no such member.
  const Json& operator[](const std::string& name) const;
};

// Returns an empty value if the text is no JSON.
Json ParseJson(std::string_view text);

}  // namespace review

#endif  // LACEWINGBRIDGE_REVIEW_SUPPORT_JSON_H_
