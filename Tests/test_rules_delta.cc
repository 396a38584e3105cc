// Guards against a delta that produces another text than the accepted one, and against deltas that
// are so long that they are no smaller than the text.
#include <criterion/criterion.h>
#include <rapidcheck.h>

#include <limits>
#include <string>
#include <vector>

#include "Core/digest.h"
#include "Rules/rules_delta.h"

using namespace lacewingbridge;  // NOLINT(google-build-using-namespace)

namespace {

bool Restores(const std::string& parent, const std::string& text) {
  const auto result = RulesDelta::Apply(parent, RulesDelta::Compute(parent, text));
  return IsOk(result) && GetValue(result) == text;
}

// Generates texts from a few different lines, so that two texts share many lines and some lines
// occur more than once.
rc::Gen<std::string> GenText() {
  return rc::gen::map(rc::gen::container<std::vector<std::string>>(rc::gen::element<std::string>(
                          "\n", "a\n", "b\n", "c\n", "d\n", "e\n", "f\n", "\r\n", "a")),
                      [](const std::vector<std::string>& lines) {
                        std::string text;
                        for (const std::string& line : lines) {
                          text += line;
                        }
                        return text;
                      });
}

}  // namespace

Test(rules_delta, restores_every_text) {
  const bool lines_pass =
      rc::check("texts with common lines", [] { RC_ASSERT(Restores(*GenText(), *GenText())); });
  cr_assert(lines_pass);
  const bool bytes_pass =
      rc::check("random bytes", [](const std::string& parent, const std::string& text) {
        RC_ASSERT(Restores(parent, text));
      });
  cr_assert(bytes_pass);
}

Test(rules_delta, contains_only_the_changed_lines) {
  std::string parent;
  std::string text;
  for (int i = 0; i < 1000; ++i) {
    const std::string line = "line " + std::to_string(i) + "\n\n";
    parent += line;
    text += i == 300 || i == 600 ? "changed\n\n" : (i == 800 ? "" : line);
  }
  const RulesDeltaScript script = RulesDelta::Compute(parent, text);
  // The removed lines are the blank line before line 800 and line 800 itself, because the common
  // lines at the end, with the blank line after it, are matched first.
  const std::vector<DeltaEdit> expected = {
      {600, 1, "changed\n"}, {599, 1, "changed\n"}, {398, 2, ""}};
  cr_assert(script.edits == expected);
  cr_assert(script.parent.digest == ComputeDigest(parent));
  cr_assert(script.result.digest == ComputeDigest(text));
  cr_assert(RulesDelta::Compute(text, text).edits.empty());
}

Test(rules_delta, refuses_a_text_with_another_digest) {
  const RulesDeltaScript script = RulesDelta::Compute("a\nb\n", "a\nc\n");
  cr_assert(GetError(RulesDelta::Apply("x\nb\n", script)).kind == ErrorKind::kDigestMismatch);
  cr_assert(GetError(RulesDelta::Apply("", script)).kind == ErrorKind::kDigestMismatch);
  RulesDeltaScript hostile = script;
  hostile.edits.front().keep_lines = std::numeric_limits<std::uint32_t>::max();
  cr_assert(GetError(RulesDelta::Apply("a\nb\n", hostile)).kind == ErrorKind::kDigestMismatch);
}

Test(rules_delta, a_damaged_script_never_produces_another_text) {
  const bool pass = rc::check("damaged scripts", [] {
    const std::string parent = *GenText();
    const std::string text = *GenText();
    RulesDeltaScript script = RulesDelta::Compute(parent, text);
    const auto line_count = rc::gen::inRange<std::uint32_t>(0, 9);
    script.edits.push_back({*line_count, *line_count, *GenText()});
    const auto result = RulesDelta::Apply(parent, script);
    RC_ASSERT((!IsOk(result) || GetValue(result) == text));
  });
  cr_assert(pass);
}

// An algorithm that takes quadratic time in the number of lines would exceed the time limit.
Test(rules_delta, handles_unrelated_texts_of_1_megabyte, .timeout = 60) {
  std::string ascending;
  std::string descending;
  for (int i = 0; i < 125'000; ++i) {
    ascending += std::to_string(1'000'000 + i) + "\n";
    descending += std::to_string(1'125'000 - i) + "\n";
  }
  cr_assert(Restores(ascending, descending));
  std::string pairs;
  std::string triples;
  for (int i = 0; i < 500'000; ++i) {
    pairs += i % 2 == 0 ? "a\n" : "b\n";
    triples += i % 3 == 0 ? "a\n" : "b\n";
  }
  cr_assert(Restores(pairs, triples));
}
