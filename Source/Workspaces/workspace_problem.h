#ifndef LACEWINGBRIDGE_SOURCE_WORKSPACES_WORKSPACE_PROBLEM_H_
#define LACEWINGBRIDGE_SOURCE_WORKSPACES_WORKSPACE_PROBLEM_H_

#include <cstddef>

namespace lacewingbridge {

// A part of a version that is not used, because it would name the wrong workspace. The other parts
// of the version are in force.
struct WorkspaceProblem {
  enum class Kind {
    kUnusableName,  // the name is empty, too long or cannot be the value of a header
    kNameTaken,     // an earlier entry has the same name
    kKeyShared,     // two workspaces have the same API key, which identifies neither
  };

  Kind kind = Kind::kUnusableName;
  // Positions of the two entries among the workspaces of the table. They are equal for
  // kUnusableName.
  std::size_t first = 0;
  std::size_t second = 0;
};

}  // namespace lacewingbridge

#endif  // LACEWINGBRIDGE_SOURCE_WORKSPACES_WORKSPACE_PROBLEM_H_
