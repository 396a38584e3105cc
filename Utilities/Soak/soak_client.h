#ifndef LACEWINGBRIDGE_SOAK_SOAK_CLIENT_H_
#define LACEWINGBRIDGE_SOAK_SOAK_CLIENT_H_

#include <cstdint>
#include <deque>
#include <random>
#include <string>
#include <string_view>
#include <vector>

#include "sent_request.h"
#include "stand_ins/daemon_process.h"

namespace lacewingbridge::review {
struct HttpMessage;
class HttpStream;
}  // namespace lacewingbridge::review

namespace lacewingbridge::soak {

// Which requests a client sends.
struct ClientHabit {
  // Several GET requests at once, or one request of any method at a time.
  bool pipelines = false;
  std::vector<std::string> safe_prefixes;
  std::vector<std::string> unsafe_prefixes;
};

// A client of one daemon. It keeps its connection until the daemon closes it, and then connects
// again. Used by one thread.
class SoakClient {
 public:
  static constexpr review::Milliseconds kDeadline{5000};

  SoakClient(review::Record& soak_record, const review::MachineOptions& client_machine,
             ClientHabit client_habit, int client_number, std::uint64_t seed);

  // Sends requests until that time and reads the last responses.
  void Run(review::Clock::time_point until);
  const std::vector<SentRequest>& GetRequests() const { return this->finished; }

 private:
  using Pending = std::deque<SentRequest>;

  int Draw(int least, int most);
  void UseConnection(review::HttpStream& stream, review::Clock::time_point until);
  // Appends requests until as many are pending; returns whether they could be written.
  bool SendUpTo(std::size_t count, review::HttpStream& stream, Pending& pending);
  std::string MakeRequestText(SentRequest& request);
  // Reads the response to the first pending request. False if the connection has ended.
  bool ReadNext(review::HttpStream& stream, Pending& pending);
  void TakeResponse(const review::HttpMessage& response, Pending& pending);
  void FinishFirst(Pending& pending, Outcome outcome);
  void FinishAll(Pending& pending, Outcome outcome);

  review::Record& record;
  const review::MachineOptions& machine;
  const ClientHabit habit;
  const int number;
  std::mt19937_64 random;
  int last_request = 0;
  bool closing = false;
  std::vector<SentRequest> finished;
};

}  // namespace lacewingbridge::soak

#endif  // LACEWINGBRIDGE_SOAK_SOAK_CLIENT_H_
