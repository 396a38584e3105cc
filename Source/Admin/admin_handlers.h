#ifndef LACEWINGBRIDGE_SOURCE_ADMIN_ADMIN_HANDLERS_H_
#define LACEWINGBRIDGE_SOURCE_ADMIN_ADMIN_HANDLERS_H_

#include <functional>
#include <string>

namespace lacewingbridge {

// What the daemon does for each operators' call. Every handler returns a JSON object.
// Plain C++14, because the JSON-RPC library does not compile as C++20.
struct AdminHandlers {
  std::function<std::string(const std::string& text, const std::string& operator_name,
                            const std::string& base_number, const std::string& submission_id,
                            const std::string& resumed)>
      submit;
  std::function<std::string(const std::string& text, const std::string& file_name)> check;
  std::function<std::string(const std::string& method, const std::string& path)> explain;
  // The same for a request with a key of the workspace. A call of its own, because the library
  // refuses a call that lacks a parameter, as calls of earlier releases would.
  std::function<std::string(const std::string& method, const std::string& path,
                            const std::string& workspace)>
      explain_workspace;
  std::function<std::string()> status;
  std::function<std::string()> dump;
  std::function<std::string()> rules;
  std::function<std::string()> drain;
};

}  // namespace lacewingbridge

#endif  // LACEWINGBRIDGE_SOURCE_ADMIN_ADMIN_HANDLERS_H_
