// Stands in for the other members of a large fleet: lists them to the one daemon that joins,
// acknowledges its probes, probes it once a second and answers its relay calls.
#include <arpa/inet.h>
#include <fmt/core.h>
#include <httplib.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <chrono>
#include <cstdint>
#include <cstdlib>
#include <mutex>
#include <string>
#include <vector>

#include "Core/socket_address.h"
#include "Daemon/http_listener.h"
#include "fleet_access.h"
#include "membership_codec.h"
#include "peer_codec.h"
#include "synthetic_rules.h"

namespace lacewingbridge {
namespace {

using Clock = std::chrono::steady_clock;

constexpr int kPollMs = 50;
constexpr const char* kOwnDataCentre = "dc-0";

struct Member {
  MemberRecord record;
  int handle = -1;
};

class MemberStandIn {
 public:
  MemberStandIn(const std::string& daemon, const std::string& listen, std::size_t count) {
    const Result<SocketAddress> parsed = SocketAddress::Parse(daemon);
    this->target.sin_family = AF_INET;
    this->target.sin_port = htons(GetValue(parsed).GetPort());
    inet_pton(AF_INET, GetValue(parsed).GetIp().c_str(), &this->target.sin_addr);
    std::vector<MemberRecord> records = MakeSyntheticMembers(count);
    records.erase(records.begin());
    for (MemberRecord& record : records) {
      Member member;
      if (record.data_centre == kOwnDataCentre) {
        member.handle = OpenSocket(record.control_address);
      } else {
        record.control_address = listen;
      }
      member.record = std::move(record);
      this->members.push_back(std::move(member));
    }
  }

  // As a seed answers a joining daemon.
  std::string AnswerMembers() const {
    ListMembersReply reply;
    for (const Member& member : this->members) {
      reply.members.push_back(member.record);
    }
    return Encode(reply);
  }

  // The relay's digests are returned to it, so that nothing differs.
  static std::string AnswerRelay(const std::string& body) {
    RelayExchangeRequest request;
    Decode(body, request);
    RelayExchangeReply reply;
    reply.held = request.held;
    reply.digests = request.digests;
    reply.progress = request.progress;
    return Encode(reply);
  }

  void Run(Clock::time_point limit) {
    std::vector<pollfd> polled;
    std::vector<const Member*> owners;
    for (const Member& member : this->members) {
      if (member.handle >= 0) {
        polled.push_back({member.handle, POLLIN, 0});
        owners.push_back(&member);
      }
    }
    auto next_probe = Clock::now();
    std::size_t prober = 0;
    while (Clock::now() < limit) {
      poll(polled.data(), polled.size(), kPollMs);
      for (std::size_t i = 0; i < polled.size(); ++i) {
        if ((polled[i].revents & POLLIN) != 0) {
          this->Answer(*owners[i]);
        }
      }
      if (Clock::now() >= next_probe && !owners.empty()) {
        next_probe += std::chrono::seconds(1);
        ++prober;
        this->Send(*owners[prober % owners.size()], GossipKind::kProbe, prober);
      }
    }
  }

 private:
  static int OpenSocket(std::string& control_address) {
    const int handle = socket(AF_INET, SOCK_DGRAM | SOCK_NONBLOCK, 0);
    sockaddr_in own{};
    own.sin_family = AF_INET;
    own.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    socklen_t size = sizeof(own);
    if (bind(handle, reinterpret_cast<const sockaddr*>(&own), size) != 0) {
      fmt::print(stderr, "no UDP port is free on the loopback address\n");
      std::exit(EXIT_FAILURE);
    }
    getsockname(handle, reinterpret_cast<sockaddr*>(&own), &size);
    control_address = fmt::format("127.0.0.1:{}", ntohs(own.sin_port));
    return handle;
  }

  void Answer(const Member& member) {
    char buffer[2048];
    for (;;) {
      const ssize_t size = recv(member.handle, buffer, sizeof(buffer), 0);
      GossipDatagram received;
      if (size <= 0) {
        return;
      }
      if (Decode({buffer, static_cast<std::size_t>(size)}, received)) {
        this->held = received.held;
        if (received.kind == GossipKind::kProbe) {
          this->Send(member, GossipKind::kAck, received.probe_id);
        }
      }
    }
  }

  void Send(const Member& member, GossipKind kind, std::uint64_t probe_id) {
    GossipDatagram datagram;
    datagram.kind = kind;
    datagram.sender_host = member.record.host;
    datagram.sender_incarnation = member.record.incarnation;
    datagram.probe_id = probe_id;
    datagram.subject_host = kind == GossipKind::kAck ? member.record.host : "";
    datagram.held = this->held;
    const std::string bytes = Encode(datagram);
    sendto(member.handle, bytes.data(), bytes.size(), 0,
           reinterpret_cast<const sockaddr*>(&this->target), sizeof(this->target));
  }

  sockaddr_in target{};
  std::vector<Member> members;
  VersionStamp held;
};

}  // namespace
}  // namespace lacewingbridge

int main(int argc, char** argv) {
  if (argc < 5) {
    fmt::print(stderr, "usage: {} DAEMON_CONTROL LISTEN MEMBERS SECONDS\n", argv[0]);
    return 2;
  }
  using lacewingbridge::MemberStandIn;
  MemberStandIn members(argv[1], argv[2], static_cast<std::size_t>(std::atoi(argv[3])));
  lacewingbridge::HttpListener listener(8);
  listener.GetServer().Post(
      "/peer/relay", [](const httplib::Request& request, httplib::Response& response) {
        response.set_content(MemberStandIn::AnswerRelay(request.body), "application/x-protobuf");
      });
  listener.GetServer().Post(
      "/peer/members", [&members](const httplib::Request&, httplib::Response& response) {
        response.set_content(members.AnswerMembers(), "application/x-protobuf");
      });
  if (!lacewingbridge::IsOk(listener.Start(argv[2]))) {
    fmt::print(stderr, "cannot listen on {}; end the process that uses it\n", argv[2]);
    return 1;
  }
  members.Run(lacewingbridge::Clock::now() + std::chrono::seconds(std::atoi(argv[4])));
  return 0;
}
