#include "soak_client.h"

#include <fmt/core.h>
#include <strings.h>

#include <algorithm>
#include <memory>
#include <thread>
#include <utility>

#include "stand_ins/case_runner.h"
#include "stand_ins/http_stream.h"

namespace lacewingbridge::soak {

namespace {

using review::Clock;
using review::HttpMessage;
using review::HttpStream;
using review::Milliseconds;
using review::ReadEnd;

constexpr std::size_t kMaxPipelined = 4;
constexpr Milliseconds kConnectLimit{1000};
constexpr Milliseconds kReconnectPause{50};
constexpr Milliseconds kPauseAfterFailure{100};
// A response may be on its way as the deadline passes.
constexpr Milliseconds kReadSlack{500};

std::string_view GetName(Outcome outcome) {
  switch (outcome) {
    case Outcome::kAnswered:
      return "answered";
    case Outcome::kCut:
      return "cut";
    case Outcome::kLate:
      return "late";
    case Outcome::kAbandoned:
      return "abandoned";
    case Outcome::kMixed:
      return "mixed";
  }
  return "invalid";
}

}  // namespace

SoakClient::SoakClient(review::Record& soak_record, const review::MachineOptions& client_machine,
                       ClientHabit client_habit, int client_number, std::uint64_t seed)
    : record(soak_record),
      machine(client_machine),
      habit(std::move(client_habit)),
      number(client_number),
      random(seed * 1000 + static_cast<std::uint64_t>(client_number)) {}

int SoakClient::Draw(int least, int most) {
  return std::uniform_int_distribution<int>(least, most)(this->random);
}

void SoakClient::Run(Clock::time_point until) {
  while (Clock::now() < until) {
    const auto stream = HttpStream::Connect(this->machine.GetOutbound(), kConnectLimit);
    if (stream != nullptr) {
      this->UseConnection(*stream, until);
    }
    std::this_thread::sleep_for(kReconnectPause);
  }
}

void SoakClient::UseConnection(HttpStream& stream, Clock::time_point until) {
  Pending pending;
  this->closing = false;
  while (true) {
    if (!this->closing && Clock::now() < until) {
      const auto count =
          this->habit.pipelines ? static_cast<std::size_t>(this->Draw(1, kMaxPipelined)) : 1;
      if (!this->SendUpTo(count, stream, pending)) {
        this->closing = true;
      }
    }
    if (pending.empty() || !this->ReadNext(stream, pending)) {
      return;
    }
    if (pending.empty() && !this->closing) {
      const bool succeeded = this->finished.back().status == 200;
      std::this_thread::sleep_for(succeeded ? Milliseconds(this->Draw(0, 60)) : kPauseAfterFailure);
    }
  }
}

bool SoakClient::SendUpTo(std::size_t count, HttpStream& stream, Pending& pending) {
  std::string text;
  const std::size_t before = pending.size();
  while (pending.size() < count) {
    SentRequest request;
    text += this->MakeRequestText(request);
    pending.push_back(std::move(request));
  }
  const bool written = stream.Write(text);
  const Clock::time_point now = Clock::now();
  for (std::size_t i = before; i < pending.size(); ++i) {
    pending[i].sent = now;
  }
  return written;
}

std::string SoakClient::MakeRequestText(SentRequest& request) {
  request.id = fmt::format("c{}-{}", this->number, ++this->last_request);
  request.daemon = this->machine.name;
  request.safe =
      this->habit.pipelines || this->habit.unsafe_prefixes.empty() || this->Draw(0, 1) == 0;
  const auto& prefixes = request.safe ? this->habit.safe_prefixes : this->habit.unsafe_prefixes;
  const auto prefix =
      static_cast<std::size_t>(this->Draw(0, static_cast<int>(prefixes.size()) - 1));
  HttpMessage message = review::MakeRequest(
      request.safe ? "GET" : "POST", prefixes[prefix] + request.id, review::CaseRunner::kHost);
  message.headers.emplace_back("Lacewingbridge-Request-Id", request.id);
  message.headers.emplace_back("Lacewingbridge-Deadline-Ms", std::to_string(kDeadline.count()));
  if (!request.safe) {
    message.body = "order " + request.id + "\n";
  }
  return message.Format();
}

bool SoakClient::ReadNext(HttpStream& stream, Pending& pending) {
  const auto left = std::chrono::duration_cast<Milliseconds>(pending.front().sent + kDeadline +
                                                             kReadSlack - Clock::now());
  HttpMessage response;
  switch (stream.Read(response, std::max(left, Milliseconds(0)))) {
    case ReadEnd::kWhole:
      this->TakeResponse(response, pending);
      return true;
    case ReadEnd::kClosed:
    case ReadEnd::kReset:
      this->FinishAll(pending, Outcome::kCut);
      return false;
    case ReadEnd::kTimedOut:
      this->FinishFirst(pending, Outcome::kLate);
      this->FinishAll(pending, Outcome::kAbandoned);
      return false;
    case ReadEnd::kMalformed:
      this->FinishFirst(pending, Outcome::kMixed);
      this->FinishAll(pending, Outcome::kAbandoned);
      return false;
  }
  return false;
}

void SoakClient::TakeResponse(const HttpMessage& response, Pending& pending) {
  SentRequest& request = pending.front();
  const std::string signature = response.GetHeader("Lacewingbridge-Server-Signature");
  request.status = response.GetStatus();
  request.is_signed = !signature.empty();
  const bool is_own =
      request.is_signed ? signature.ends_with("." + request.id) : request.status / 100 != 2;
  const bool closes = strcasecmp(response.GetHeader("Connection").c_str(), "close") == 0;
  this->FinishFirst(pending, is_own ? Outcome::kAnswered : Outcome::kMixed);
  if (closes) {
    this->closing = true;
    for (SentRequest& later : pending) {
      later.behind_close = true;
    }
  }
}

void SoakClient::FinishFirst(Pending& pending, Outcome outcome) {
  SentRequest& request = pending.front();
  request.outcome = outcome;
  request.elapsed = std::chrono::duration_cast<Milliseconds>(Clock::now() - request.sent);
  if (outcome != Outcome::kAnswered || request.status != 200) {
    this->record.Write(fmt::format("client at {}: {} {} after {} ms, status {}{}", request.daemon,
                                   request.id, GetName(outcome), request.elapsed.count(),
                                   request.status,
                                   request.behind_close ? ", behind a response that closes" : ""));
  }
  this->finished.push_back(std::move(request));
  pending.pop_front();
}

void SoakClient::FinishAll(Pending& pending, Outcome outcome) {
  while (!pending.empty()) {
    this->FinishFirst(pending, outcome);
  }
}

}  // namespace lacewingbridge::soak
