#include "Admin/admin_rpc_server.h"

#include <utility>

#include "adminserverstub.h"

namespace lacewingbridge {

namespace {

// Hands the answer back to the caller of OnRequest instead of to a socket.
class MemoryConnector : public jsonrpc::AbstractServerConnector {
 public:
  bool StartListening() override { return true; }
  bool StopListening() override { return true; }
  bool SendResponse(const std::string& response, void* answer) override {
    *static_cast<std::string*>(answer) = response;
    return true;
  }
};

// A base class, so that the connector exists before the stub registers itself with it.
struct ConnectorHolder {
  MemoryConnector connector;
};

Json::Value ParseObject(const std::string& text) {
  Json::Value value;
  Json::Reader reader;
  if (!reader.parse(text, value)) {
    return Json::Value(Json::objectValue);
  }
  return value;
}

}  // namespace

class AdminRpcServer::Implementation : private ConnectorHolder, public AdminServerStub {
 public:
  explicit Implementation(AdminHandlers given)
      : AdminServerStub(this->ConnectorHolder::connector), handlers(std::move(given)) {}

  std::string HandleRequest(const std::string& body) {
    std::string answer;
    this->ConnectorHolder::connector.OnRequest(body, &answer);
    return answer;
  }

  Json::Value submit(const std::string& base_number, const std::string& operator_name,
                     const std::string& resumed, const std::string& submission_id,
                     const std::string& text) override {
    return ParseObject(
        this->handlers.submit(text, operator_name, base_number, submission_id, resumed));
  }
  Json::Value check(const std::string& file_name, const std::string& text) override {
    return ParseObject(this->handlers.check(text, file_name));
  }
  Json::Value explain(const std::string& method, const std::string& path) override {
    return ParseObject(this->handlers.explain(method, path));
  }
  Json::Value explain_workspace(const std::string& method, const std::string& path,
                                const std::string& workspace) override {
    return ParseObject(this->handlers.explain_workspace(method, path, workspace));
  }
  Json::Value status() override { return ParseObject(this->handlers.status()); }
  Json::Value dump() override { return ParseObject(this->handlers.dump()); }
  Json::Value rules() override { return ParseObject(this->handlers.rules()); }
  Json::Value drain() override { return ParseObject(this->handlers.drain()); }

 private:
  AdminHandlers handlers;
};

AdminRpcServer::AdminRpcServer(AdminHandlers handlers)
    : implementation(new Implementation(std::move(handlers))) {}

AdminRpcServer::~AdminRpcServer() = default;

std::string AdminRpcServer::HandleRequest(const std::string& body) {
  return this->implementation->HandleRequest(body);
}

}  // namespace lacewingbridge
