#include "Rules/rules_line_reader.h"

#include <array>
#include <string>
#include <type_traits>
#include <utility>

#include "Rules/rules_draft.h"
#include "Rules/rules_line.h"
#include "Rules/rules_report.h"
#include "Rules/rules_utf8.h"
#include "Rules/rules_values.h"

namespace lacewingbridge {

namespace {

// The owner of an idempotency key remembers it for 10 min. A deadline has to end well before that.
constexpr Duration kMaxDeadline = std::chrono::minutes(5);
constexpr Duration kMaxColdStart = std::chrono::minutes(10);
// Limit for slots, connections and queue.
constexpr std::uint32_t kMaxUnits = 10'000;
constexpr std::uint32_t kMaxRatePerSecond = 1'000'000;

// Describes a key of a rule: its name, the remedy that an error message gives for an invalid value,
// and the function that sets the field of the rule. The function returns whether the value is
// valid.
template <typename Rule>
struct KeySpec {
  std::string_view name;
  std::string_view remedy;
  bool (*set)(Rule& rule, std::string_view value);
};

// The word KEY=VALUE of a line for one key, and whether its value is valid. The word is empty if
// the line does not have the key.
struct GivenKey {
  std::string_view word;
  bool valid = false;
};

template <std::size_t kCount>
using GivenKeys = std::array<GivenKey, kCount>;

// Sets the field if there is a value. Returns whether there is one.
template <typename Field, typename Value>
bool SetIfPresent(Field& field, const std::optional<Value>& value) {
  if (value) {
    field = *value;
  }
  return value.has_value();
}

// Sets the name of a referenced rule. Whether this rule exists is checked by RulesChecker.
bool SetReference(std::string& field, std::string_view value) {
  field = value;
  return !value.empty();
}

// Sets the field to the value that belongs to the given word. Returns whether the word is known.
template <typename Value, std::size_t kCount>
bool SetWord(Value& field, std::string_view value,
             const std::array<std::pair<std::string_view, Value>, kCount>& words) {
  for (const auto& [word, meaning] : words) {
    if (word == value) {
      field = meaning;
      return true;
    }
  }
  return false;
}

constexpr std::array<KeySpec<ServiceRule>, 4> kServiceKeySpecs = {{
    {"slots", "write a whole number from 1 to 10000",
     [](ServiceRule& rule, std::string_view value) {
       return SetIfPresent(rule.slots, ParseRulesNumber(value, 1, kMaxUnits));
     }},
    {"connections", "write a whole number from 1 to 10000",
     [](ServiceRule& rule, std::string_view value) {
       return SetIfPresent(rule.connections, ParseRulesNumber(value, 1, kMaxUnits));
     }},
    {"queue", "write a whole number from 0 to 10000",
     [](ServiceRule& rule, std::string_view value) {
       return SetIfPresent(rule.queue, ParseRulesNumber(value, 0, kMaxUnits));
     }},
    {"cold-start", "write a whole number with ms, s or m, from 0ms to 10m",
     [](ServiceRule& rule, std::string_view value) {
       return SetIfPresent(rule.cold_start, ParseRulesDuration(value, Duration(0), kMaxColdStart));
     }},
}};

enum RouteKey : std::size_t {
  kRoutePath,
  kRouteService,
  kRouteMethods,
  kRouteIdempotent,
  kRouteKeyUse,
  kRouteDeadline,
  kRouteRetries,
  kRoutePriority,
  kRoutePublic,
  kRouteKeyCount,
};

constexpr std::array<KeySpec<RouteRule>, kRouteKeyCount> kRouteKeySpecs = {{
    {"path",
     "write an absolute path of at most 256 ASCII characters, without a trailing \"/\", empty or "
     "dot segments, \"?\" or \"#\"",
     [](RouteRule& rule, std::string_view value) {
       rule.path = value;
       return IsRulesPath(value);
     }},
    {"service", "write the name of a service of this file",
     [](RouteRule& rule, std::string_view value) { return SetReference(rule.service, value); }},
    {"methods",
     "list GET, HEAD, POST, PUT, PATCH, DELETE or OPTIONS, each once, with commas and no spaces",
     [](RouteRule& rule, std::string_view value) {
       return SetIfPresent(rule.methods, ParseHttpMethodSet(value));
     }},
    {"idempotent", "write yes or no",
     [](RouteRule& rule, std::string_view value) {
       return SetWord<bool, 2>(rule.idempotent, value, {{{"yes", true}, {"no", false}}});
     }},
    {"key", "write required, optional or none",
     [](RouteRule& rule, std::string_view value) {
       return SetWord<KeyUse, 3>(rule.key, value,
                                 {{{"required", KeyUse::kRequired},
                                   {"optional", KeyUse::kOptional},
                                   {"none", KeyUse::kNone}}});
     }},
    {"deadline", "write a whole number with ms, s or m, from 1ms to 5m",
     [](RouteRule& rule, std::string_view value) {
       return SetIfPresent(rule.deadline,
                           ParseRulesDuration(value, std::chrono::milliseconds(1), kMaxDeadline));
     }},
    {"retries", "write a whole number from 0 to 5",
     [](RouteRule& rule, std::string_view value) {
       return SetIfPresent(rule.retries, ParseRulesNumber(value, 0, 5));
     }},
    {"priority", "write internal, normal or low",
     [](RouteRule& rule, std::string_view value) {
       return SetWord<RoutePriority, 3>(rule.priority, value,
                                        {{{"internal", RoutePriority::kInternal},
                                          {"normal", RoutePriority::kNormal},
                                          {"low", RoutePriority::kLow}}});
     }},
    {"public", "write yes or no",
     [](RouteRule& rule, std::string_view value) {
       return SetWord<bool, 2>(rule.is_public, value, {{{"yes", true}, {"no", false}}});
     }},
}};

enum LimitKey : std::size_t { kLimitRoute, kLimitService, kLimitRate, kLimitBurst, kLimitKeyCount };

constexpr std::array<KeySpec<LimitRule>, kLimitKeyCount> kLimitKeySpecs = {{
    {"route", "write the name of a route of this file",
     [](LimitRule& rule, std::string_view value) { return SetReference(rule.route, value); }},
    {"service", "write the name of a service of this file",
     [](LimitRule& rule, std::string_view value) { return SetReference(rule.service, value); }},
    {"rate", "write a whole number of requests a second from 1 to 1000000",
     [](LimitRule& rule, std::string_view value) {
       return SetIfPresent(rule.rate_per_second, ParseRulesNumber(value, 1, kMaxRatePerSecond));
     }},
    {"burst", "write a whole number of requests from 1 to 1000000",
     [](LimitRule& rule, std::string_view value) {
       return SetIfPresent(rule.burst, ParseRulesNumber(value, 1, kMaxRatePerSecond));
     }},
}};

constexpr std::array<KeySpec<WorkspaceRule>, 1> kWorkspaceKeySpecs = {{
    {"keys",
     "list the SHA-256 digests of the API keys, each of 64 hexadecimal digits and once, with "
     "commas and no spaces; lacewingctl digest prints them",
     [](WorkspaceRule& rule, std::string_view value) {
       return SetIfPresent(rule.key_digests, ParseKeyDigests(value));
     }},
}};

// Returns a word for an error message, after a space. Words of a workspace are left out: one of
// them may be an API key that was written in place of its digest.
template <typename Rule>
std::string QuoteWord(std::string_view word) {
  return std::is_same_v<Rule, WorkspaceRule> ? std::string() : " " + QuoteForMessage(word);
}

// Returns what is not valid about a word KEY=VALUE, for an error message.
template <typename Rule>
std::string DescribeInvalid(std::string_view key, std::string_view word) {
  return std::is_same_v<Rule, WorkspaceRule>
             ? "the value of " + QuoteForMessage(key) + " is not valid"
             : QuoteForMessage(word) + " is not valid";
}

// Returns the names of the keys for an error message.
template <typename Rule, std::size_t kCount>
std::string ListKeys(const std::array<KeySpec<Rule>, kCount>& specs) {
  std::string list;
  for (const KeySpec<Rule>& spec : specs) {
    list += (list.empty() ? "" : ", ") + std::string(spec.name) + "=";
  }
  return list;
}

// Reads one word of the form KEY=VALUE into the rule and into `given`.
template <typename Rule, std::size_t kCount>
void ReadKey(const RulesLine& line, std::string_view word,
             const std::array<KeySpec<Rule>, kCount>& specs, Rule& rule, GivenKeys<kCount>& given,
             RulesReport& report) {
  const std::size_t column = line.GetColumn(word);
  const std::size_t equals = word.find('=');
  if (equals == std::string_view::npos) {
    report.AddError(line.number, column, "unknown word" + QuoteWord<Rule>(word),
                    "remove it, or write it as one of " + ListKeys(specs));
    return;
  }
  const std::string_view name = word.substr(0, equals);
  for (std::size_t i = 0; i < kCount; ++i) {
    if (specs[i].name != name) {
      continue;
    }
    if (!given[i].word.empty()) {
      report.AddError(line.number, column, QuoteForMessage(name) + " is given twice",
                      "keep one of them");
      return;
    }
    given[i] = {word, specs[i].set(rule, word.substr(equals + 1))};
    if (!given[i].valid) {
      report.AddError(line.number, column, DescribeInvalid<Rule>(name, word),
                      std::string(specs[i].remedy));
    }
    return;
  }
  report.AddError(line.number, column, "unknown key" + QuoteWord<Rule>(name),
                  "use one of " + ListKeys(specs));
}

// Reads the name, the keys and the comment of a rule, and returns the given keys. The name stays
// empty if there is none.
template <typename Rule, std::size_t kCount>
GivenKeys<kCount> ReadWords(const RulesLine& line, const std::array<KeySpec<Rule>, kCount>& specs,
                            RulesDraft::Entry<Rule>& entry, RulesReport& report) {
  std::size_t first_key = 1;
  if (line.words.size() < 2 || line.words[1].find('=') != std::string_view::npos) {
    report.AddError(line.number, line.GetColumn(line.words[0]),
                    "the " + std::string(line.words[0]) + " has no name",
                    "write a name after " + QuoteForMessage(line.words[0]));
  } else {
    const std::string_view name = line.words[1];
    first_key = 2;
    entry.rule.name = name;
    entry.name_column = line.GetColumn(name);
    if (!IsRulesName(name)) {
      report.AddError(line.number, entry.name_column,
                      QuoteForMessage(name) + " is not a valid name",
                      "use at most 64 letters, digits, \"-\", \"_\" and \".\"");
    }
  }
  entry.rule.line = line.number;
  entry.rule.who = line.who;
  entry.rule.why = line.why;
  GivenKeys<kCount> given;
  for (std::size_t i = first_key; i < line.words.size(); ++i) {
    ReadKey(line, line.words[i], specs, entry.rule, given, report);
  }
  return given;
}

// Reports a missing key that every rule of this kind needs.
void RequireKey(const RulesLine& line, const GivenKey& given, std::string_view name,
                RulesReport& report) {
  if (given.word.empty()) {
    report.AddError(
        line.number, line.GetColumn(line.words[0]),
        "the " + std::string(line.words[0]) + " has no " + QuoteForMessage(name) + " key",
        "add " + std::string(name) + "=");
  }
}

// Returns the column of a key, or 0 if it is missing or invalid.
std::size_t GetValidColumn(const RulesLine& line, const GivenKey& given) {
  return given.valid ? line.GetColumn(given.word) : 0;
}

// Adds the rule to the draft unless it has no name.
template <typename Rule>
void AddNamedEntry(std::vector<RulesDraft::Entry<Rule>>& entries, RulesDraft::Entry<Rule> entry) {
  if (!entry.rule.name.empty()) {
    entries.push_back(std::move(entry));
  }
}

// Reports missing keys of a route and keys that contradict each other. The keys that depend on
// "idempotent" are not checked if its value is invalid, because that error was already reported.
void CheckRoute(const RulesLine& line, const GivenKeys<kRouteKeyCount>& given,
                const RouteRule& rule, RulesReport& report) {
  RequireKey(line, given[kRoutePath], "path", report);
  RequireKey(line, given[kRouteService], "service", report);
  const GivenKey& idempotent = given[kRouteIdempotent];
  if (!idempotent.word.empty() && !idempotent.valid) {
    return;
  }
  if (rule.retries > 0 && !rule.idempotent) {
    report.AddError(line.number, line.GetColumn(given[kRouteRetries].word),
                    "retries on a route that is not idempotent",
                    "write retries=0, or idempotent=yes if a request may run more than once");
  }
  if (rule.idempotent && given[kRouteKeyUse].valid && rule.key == KeyUse::kRequired) {
    report.AddError(line.number, line.GetColumn(given[kRouteKeyUse].word),
                    "a required key on an idempotent route",
                    "remove key=required, or write idempotent=no if a request must run once only");
  }
}

void ReadRoute(const RulesLine& line, RulesDraft& draft, RulesReport& report) {
  RulesDraft::Entry<RouteRule> entry;
  const auto given = ReadWords(line, kRouteKeySpecs, entry, report);
  CheckRoute(line, given, entry.rule, report);
  if (entry.rule.idempotent && given[kRouteKeyUse].word.empty()) {
    entry.rule.key = KeyUse::kNone;
  }
  entry.service_column = GetValidColumn(line, given[kRouteService]);
  // If the methods are invalid, it is unknown which requests the route accepts. The column of the
  // path then stays 0, so that RulesChecker does not compare the route with others.
  if (given[kRouteMethods].word.empty() || given[kRouteMethods].valid) {
    entry.path_column = GetValidColumn(line, given[kRoutePath]);
  }
  AddNamedEntry(draft.routes, std::move(entry));
}

void ReadLimit(const RulesLine& line, RulesDraft& draft, RulesReport& report) {
  RulesDraft::Entry<LimitRule> entry;
  const auto given = ReadWords(line, kLimitKeySpecs, entry, report);
  RequireKey(line, given[kLimitRate], "rate", report);
  if (given[kLimitRoute].word.empty() == given[kLimitService].word.empty()) {
    report.AddError(line.number, line.GetColumn(line.words[0]),
                    given[kLimitRoute].word.empty()
                        ? "the limit names neither a route nor a service"
                        : "the limit names both a route and a service",
                    "give exactly one of route= and service=");
  }
  if (given[kLimitBurst].word.empty()) {
    entry.rule.burst = entry.rule.rate_per_second;
  }
  entry.route_column = GetValidColumn(line, given[kLimitRoute]);
  entry.service_column = GetValidColumn(line, given[kLimitService]);
  AddNamedEntry(draft.limits, std::move(entry));
}

void ReadWorkspace(const RulesLine& line, RulesDraft& draft, RulesReport& report) {
  RulesDraft::Entry<WorkspaceRule> entry;
  const auto given = ReadWords(line, kWorkspaceKeySpecs, entry, report);
  RequireKey(line, given[0], "keys", report);
  entry.keys_column = GetValidColumn(line, given[0]);
  AddNamedEntry(draft.workspaces, std::move(entry));
}

}  // namespace

void RulesLineReader::ReadRule(const RulesLine& line, RulesDraft& draft, RulesReport& report) {
  const std::string_view kind = line.words[0];
  if (kind == "service") {
    RulesDraft::Entry<ServiceRule> entry;
    ReadWords(line, kServiceKeySpecs, entry, report);
    AddNamedEntry(draft.services, std::move(entry));
  } else if (kind == "route") {
    ReadRoute(line, draft, report);
  } else if (kind == "limit") {
    ReadLimit(line, draft, report);
  } else if (kind == "workspace") {
    ReadWorkspace(line, draft, report);
  } else {
    report.AddError(line.number, line.GetColumn(kind), "unknown rule " + QuoteForMessage(kind),
                    "start the line with service, route, limit or workspace");
  }
}

}  // namespace lacewingbridge
