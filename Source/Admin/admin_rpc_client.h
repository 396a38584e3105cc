#ifndef LACEWINGBRIDGE_SOURCE_ADMIN_ADMIN_RPC_CLIENT_H_
#define LACEWINGBRIDGE_SOURCE_ADMIN_ADMIN_RPC_CLIENT_H_

#include <functional>
#include <memory>
#include <string>

namespace lacewingbridge {

// Operators' calls to a daemon by JSON-RPC 2.0. Every call returns the JSON object of
// the answer, or an empty text when the transport or the daemon failed; GetFailure
// then says why.
class AdminRpcClient {
 public:
  // Sends a request body and returns the answer's body. Throws std::runtime_error with a
  // text for the operator when there is no answer.
  using Transport = std::function<std::string(const std::string& body)>;

  explicit AdminRpcClient(Transport transport);
  ~AdminRpcClient();
  AdminRpcClient(const AdminRpcClient&) = delete;
  AdminRpcClient& operator=(const AdminRpcClient&) = delete;

  std::string Submit(const std::string& text, const std::string& operator_name,
                     const std::string& base_number, const std::string& submission_id,
                     bool resumed);
  std::string Check(const std::string& text, const std::string& file_name);
  std::string Explain(const std::string& method, const std::string& path);
  std::string ExplainWorkspace(const std::string& method, const std::string& path,
                               const std::string& workspace);
  std::string GetStatus();
  std::string GetDump();
  std::string GetRules();
  std::string Drain();

  const std::string& GetFailure() const;

 private:
  class Implementation;
  std::unique_ptr<Implementation> implementation;
};

}  // namespace lacewingbridge

#endif  // LACEWINGBRIDGE_SOURCE_ADMIN_ADMIN_RPC_CLIENT_H_
