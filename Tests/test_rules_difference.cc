// Guards against a conflict report that omits a line of either text or gives it the wrong mark.
#include <criterion/criterion.h>

#include <string>

#include "Rules/rules_difference.h"

using namespace lacewingbridge;  // NOLINT(google-build-using-namespace)

Test(rules_difference, is_empty_for_equal_texts) {
  cr_assert_eq(RulesDifference::Format("", ""), "");
  cr_assert_eq(RulesDifference::Format("a\nb\n", "a\nb\n"), "");
}

Test(rules_difference, marks_the_lines_of_both_texts) {
  cr_assert_eq(RulesDifference::Format("a\nb\nc\n", "a\nx\nc\n"), "-b\n+x\n");
  cr_assert_eq(RulesDifference::Format("a\nc\n", "a\nb\nc\n"), "+b\n");
  cr_assert_eq(RulesDifference::Format("a\nb\nc\n", "a\nc\n"), "-b\n");
  cr_assert_eq(RulesDifference::Format("", "a\n"), "+a\n");
  cr_assert_eq(RulesDifference::Format("a\n", ""), "-a\n");
}

Test(rules_difference, adds_a_line_end_to_a_last_line_without_one) {
  const std::string text = RulesDifference::Format("a\nb", "a\nc");
  cr_assert_eq(text, "-b\n+c\n", "%s", text.c_str());
}

Test(rules_difference, a_long_difference_gives_the_number_of_omitted_lines) {
  std::string second;
  for (std::size_t i = 0; i < RulesDifference::kMaxLines + 7; ++i) {
    second += "line " + std::to_string(i) + "\n";
  }
  const std::string text = RulesDifference::Format("", second);
  cr_assert(text.ends_with("... 7 more lines differ\n"));
  cr_assert(text.find("+line 199\n") != std::string::npos);
  cr_assert(text.find("+line 200\n") == std::string::npos);
}
