#ifndef LACEWINGBRIDGE_SOURCE_ADMIN_ADMIN_RPC_SERVER_H_
#define LACEWINGBRIDGE_SOURCE_ADMIN_ADMIN_RPC_SERVER_H_

#include <memory>
#include <string>

#include "Admin/admin_handlers.h"

namespace lacewingbridge {

// Decodes JSON-RPC 2.0 requests and calls the handlers. The transport is the caller's.
class AdminRpcServer {
 public:
  explicit AdminRpcServer(AdminHandlers handlers);
  ~AdminRpcServer();
  AdminRpcServer(const AdminRpcServer&) = delete;
  AdminRpcServer& operator=(const AdminRpcServer&) = delete;

  // Returns the JSON-RPC answer to one request body. Safe to call from several threads.
  std::string HandleRequest(const std::string& body);

 private:
  class Implementation;
  std::unique_ptr<Implementation> implementation;
};

}  // namespace lacewingbridge

#endif  // LACEWINGBRIDGE_SOURCE_ADMIN_ADMIN_RPC_SERVER_H_
