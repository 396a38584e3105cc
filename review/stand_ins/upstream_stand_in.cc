#include "stand_ins/upstream_stand_in.h"

#include <algorithm>
#include <utility>

#include "stand_ins/record.h"

namespace lacewingbridge::review {

namespace {

constexpr Milliseconds kHeartbeatInterval{1500};
// A call without an acknowledgement within a second is made again.
constexpr Milliseconds kCallLimit{1000};
constexpr Milliseconds kCallPause{200};

std::int64_t GetUnixMilliseconds() {
  return std::chrono::duration_cast<Milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

}  // namespace

HttpMessage UpstreamStandIn::MakeSuccess(const HttpMessage& request) {
  HttpMessage answer = MakeAnswer(200, "OK");
  answer.body = "answer to " + request.GetHeader("Lacewingbridge-Request-Id") + "\n";
  return answer;
}

UpstreamStandIn::UpstreamStandIn(Record& case_record, UpstreamOptions upstream_options,
                                 Work request_work)
    : record(case_record),
      options(std::move(upstream_options)),
      work(std::move(request_work)),
      born_unix_ms(GetUnixMilliseconds()) {
  this->server = std::make_unique<HttpServer>(
      this->options.address, [this](const HttpMessage& request, HttpStream& stream) {
        return this->Handle(request, stream);
      });
  this->announcing = std::thread([this] { this->Announce(); });
}

UpstreamStandIn::~UpstreamStandIn() {
  this->ended = true;
  this->announcing.join();
  this->server->Stop();
}

bool UpstreamStandIn::SendCall(const std::string& call, const std::string& body) {
  const auto stream = HttpStream::Connect(this->options.control_address, kCallLimit);
  if (stream == nullptr) {
    return false;
  }
  HttpMessage request =
      MakeRequest("POST", "/-/rpc?call=instances." + call + "&of=" + this->options.id,
                  this->options.control_address);
  request.headers.emplace_back("Content-Type", "application/json");
  request.body = body;
  HttpMessage answer;
  return stream->Write(request.Format()) && stream->Read(answer, kCallLimit) == ReadEnd::kWhole &&
         answer.GetStatus() / 100 == 2;
}

void UpstreamStandIn::Announce() {
  Clock::time_point due = Clock::now();
  while (!this->ended) {
    if (!this->leaving && Clock::now() >= due) {
      const std::string body =
          "{\"born\":" + std::to_string(this->born_unix_ms) + ",\"address\":\"" +
          this->options.address + "\",\"info\":{\"service\":\"" + this->options.service +
          "\",\"version\":\"v1\",\"zone\":\"" + this->options.zone +
          "\",\"slots\":" + std::to_string(this->options.slots) +
          "},\"status\":{\"state\":\"ready\",\"sequence\":" + std::to_string(++this->sequence) +
          ",\"cold_remaining\":\"0ms\"}}";
      const bool acknowledged = this->SendCall("heartbeat", body);
      due = Clock::now() + (acknowledged ? kHeartbeatInterval : kCallPause);
    }
    std::this_thread::sleep_for(Milliseconds(20));
  }
}

bool UpstreamStandIn::Leave() {
  this->leaving = true;
  const bool acknowledged =
      this->SendCall("deregister", "{\"born\":" + std::to_string(this->born_unix_ms) + "}");
  this->record.Write("upstream " + this->options.id + ": says that it leaves; " +
                     (acknowledged ? "acknowledged" : "not acknowledged"));
  return acknowledged;
}

HttpMessage UpstreamStandIn::MakeHealthAnswer() const {
  const bool good = this->health_always_good || !this->leaving;
  HttpMessage answer = MakeAnswer(good ? 200 : 503, good ? "OK" : "Service Unavailable");
  answer.headers.emplace_back("Lacewingbridge-Instance-Id", this->options.id);
  answer.headers.emplace_back("Lacewingbridge-Server-Load",
                              "0,0," + std::to_string(this->options.slots));
  return answer;
}

bool UpstreamStandIn::Handle(const HttpMessage& request, HttpStream& stream) {
  if (request.GetMethod() == "GET" && request.GetTarget() == "/healthz") {
    const HttpMessage answer = this->MakeHealthAnswer();
    this->record.Write("upstream " + this->options.id + ": answers its health check with " +
                       std::to_string(answer.GetStatus()));
    return stream.Write(answer.Format());
  }
  const std::string id = request.GetHeader("Lacewingbridge-Request-Id");
  const std::string expected = request.GetHeader("Lacewingbridge-Expected-Instance");
  if (!expected.empty() && expected != this->options.id) {
    HttpMessage answer = MakeAnswer(421, "Misdirected Request");
    answer.headers.emplace_back("Lacewingbridge-Request-Id", id);
    answer.headers.emplace_back("Lacewingbridge-Instance-Id", this->options.id);
    return stream.Write(answer.Format());
  }
  {
    const std::lock_guard guard(this->mutex);
    this->runs.push_back({id, this->record.GetSeconds(), this->options.id});
  }
  this->record.Write("upstream " + this->options.id + ": runs " + id + " " + request.start_line);
  std::this_thread::sleep_for(this->options.work);
  HttpMessage answer = this->work(request);
  answer.headers.emplace_back("Lacewingbridge-Request-Id", id);
  answer.headers.emplace_back("Lacewingbridge-Server-Signature",
                              "s." + this->options.id + "." + id);
  const bool written = stream.Write(answer.Format());
  this->record.Write("upstream " + this->options.id + ": answers " + id + " with " +
                     std::to_string(answer.GetStatus()));
  return written;
}

std::vector<UpstreamRun> UpstreamStandIn::ListRuns() const {
  const std::lock_guard guard(this->mutex);
  return this->runs;
}

bool UpstreamStandIn::HasRun(std::string_view request_id) const {
  const std::lock_guard guard(this->mutex);
  return std::any_of(this->runs.begin(), this->runs.end(),
                     [&](const UpstreamRun& run) { return run.request_id == request_id; });
}

}  // namespace lacewingbridge::review
