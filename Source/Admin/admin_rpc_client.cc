#include "Admin/admin_rpc_client.h"

#include <stdexcept>
#include <utility>

#include "adminclientstub.h"

namespace lacewingbridge {

namespace {

class FunctionConnector : public jsonrpc::IClientConnector {
 public:
  explicit FunctionConnector(AdminRpcClient::Transport given) : transport(std::move(given)) {}

  void SendRPCMessage(const std::string& message,
                      std::string& result) throw(jsonrpc::JsonRpcException) override {
    try {
      result = this->transport(message);
    } catch (const std::runtime_error& error) {
      throw jsonrpc::JsonRpcException(jsonrpc::Errors::ERROR_CLIENT_CONNECTOR, error.what());
    }
  }

 private:
  AdminRpcClient::Transport transport;
};

}  // namespace

class AdminRpcClient::Implementation {
 public:
  explicit Implementation(Transport transport)
      : connector(std::move(transport)), stub(this->connector) {}

  template <typename Call>
  std::string Run(Call call) {
    this->failure.clear();
    try {
      Json::FastWriter writer;
      // The text is printed as one line of its own.
      writer.omitEndingLineFeed();
      return writer.write(call(this->stub));
    } catch (const jsonrpc::JsonRpcException& error) {
      this->failure = error.GetMessage();
      return {};
    }
  }

  const std::string& GetFailure() const { return this->failure; }

 private:
  FunctionConnector connector;
  AdminClientStub stub;
  std::string failure;
};

AdminRpcClient::AdminRpcClient(Transport transport)
    : implementation(new Implementation(std::move(transport))) {}

AdminRpcClient::~AdminRpcClient() = default;

std::string AdminRpcClient::Submit(const std::string& text, const std::string& operator_name,
                                   const std::string& base_number, const std::string& submission_id,
                                   bool resumed) {
  return this->implementation->Run([&](AdminClientStub& stub) {
    return stub.submit(base_number, operator_name, resumed ? "yes" : "no", submission_id, text);
  });
}

std::string AdminRpcClient::Check(const std::string& text, const std::string& file_name) {
  return this->implementation->Run(
      [&](AdminClientStub& stub) { return stub.check(file_name, text); });
}

std::string AdminRpcClient::Explain(const std::string& method, const std::string& path) {
  return this->implementation->Run(
      [&](AdminClientStub& stub) { return stub.explain(method, path); });
}

std::string AdminRpcClient::ExplainWorkspace(const std::string& method, const std::string& path,
                                             const std::string& workspace) {
  return this->implementation->Run(
      [&](AdminClientStub& stub) { return stub.explain_workspace(method, path, workspace); });
}

std::string AdminRpcClient::GetStatus() {
  return this->implementation->Run([](AdminClientStub& stub) { return stub.status(); });
}

std::string AdminRpcClient::GetDump() {
  return this->implementation->Run([](AdminClientStub& stub) { return stub.dump(); });
}

std::string AdminRpcClient::GetRules() {
  return this->implementation->Run([](AdminClientStub& stub) { return stub.rules(); });
}

std::string AdminRpcClient::Drain() {
  return this->implementation->Run([](AdminClientStub& stub) { return stub.drain(); });
}

const std::string& AdminRpcClient::GetFailure() const { return this->implementation->GetFailure(); }

}  // namespace lacewingbridge
