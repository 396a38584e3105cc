#include <algorithm>
#include <cstdio>
#include <cstdlib>

#include "support/stand_ins.h"

namespace review {

namespace {

constexpr Milliseconds kHeartbeatInterval{1500};
// After a heartbeat that was not acknowledged.
constexpr Milliseconds kResendPause{200};

std::atomic<int> last_id{0};

std::string Shorten(const std::string& text) {
  constexpr std::size_t kMost = 60;
  std::string line = text.substr(0, kMost);
  std::replace_if(
      line.begin(), line.end(), [](unsigned char c) { return c < 0x20; }, ' ');
  return line;
}

}  // namespace

Record::Record(const std::string& path) : file(std::fopen(path.c_str(), "w")) {}

Record::~Record() {
  if (this->file != nullptr) {
    std::fclose(this->file);
  }
}

double Record::GetSeconds() const {
  return std::chrono::duration<double>(Clock::now() - this->begin).count();
}

void Record::Write(const std::string& line) {
  const std::lock_guard guard(this->mutex);
  if (this->file != nullptr) {
    std::fprintf(this->file, "%8.3f  %s\n", this->GetSeconds(), line.c_str());
    std::fflush(this->file);
  }
}

Upstream::Upstream(Machine of, int slot_count, Record& to, Work request_work)
    : machine(std::move(of)), slots(slot_count), record(to), work(std::move(request_work)) {}

Upstream::~Upstream() { this->Crash(); }

bool Upstream::Start() {
  char name[32];
  std::snprintf(name, sizeof(name), "i-%08x", 0x51000000 + ++last_id);
  this->id = name;
  this->born =
      std::chrono::duration_cast<Milliseconds>(std::chrono::system_clock::now().time_since_epoch())
          .count();
  this->draining = false;
  this->sequence = 0;
  this->server = std::make_unique<Server>(
      this->machine.GetTarget(),
      [this](Stream& stream, Message& request) { return this->Handle(stream, request); });
  if (!this->server->Start()) {
    return false;
  }
  this->up = true;
  this->announcer = std::thread([this] { this->Announce(); });
  this->record.Write("upstream " + this->machine.name + " starts as " + this->id);
  return true;
}

void Upstream::Crash() {
  if (!this->up.exchange(false)) {
    return;
  }
  this->server->Crash();
  this->announcer.join();
}

std::string Upstream::GetLoad() const {
  return std::to_string(std::min<int>(this->running, this->slots)) + ",0," +
         std::to_string(this->slots);
}

int CallControl(const Machine& machine, const std::string& target, const std::string& body) {
  const int connection = Connect(machine.GetControl(), Milliseconds(300));
  if (connection < 0) {
    return 0;
  }
  Stream stream(connection);
  Message call;
  call.start = "POST " + target + " HTTP/1.1";
  call.fields = {{"Host", machine.GetControl().GetText()}, {"Content-Type", "application/json"}};
  call.body = body;
  Message answer;
  stream.Write(call.Serialize());
  const ReadEnd end = stream.Read(answer, true, Clock::now() + std::chrono::seconds(1));
  return end == ReadEnd::kWhole ? answer.GetStatus() : 0;
}

bool Upstream::Beat() {
  const std::lock_guard guard(this->beat_mutex);
  const std::string body =
      "{\"address\":\"" + this->machine.GetTarget().GetText() +
      "\",\"born\":" + std::to_string(this->born) + ",\"info\":{\"service\":\"" +
      this->machine.service + "\",\"version\":\"v1\",\"zone\":\"" + this->machine.zone +
      "\",\"slots\":" + std::to_string(this->slots) + "},\"status\":{\"state\":\"" +
      (this->draining ? "draining" : "ready") +
      "\",\"sequence\":" + std::to_string(++this->sequence) + ",\"cold_remaining\":\"0ms\"}}";
  const int status =
      CallControl(this->machine, "/-/rpc?call=instances.heartbeat&of=" + this->id, body);
  return status >= 200 && status < 300;
}

bool Upstream::Drain() {
  this->draining = true;
  return this->Beat();
}

void Upstream::Announce() {
  TimePoint next = Clock::now();
  while (this->up) {
    if (Clock::now() < next) {
      std::this_thread::sleep_for(Milliseconds(20));
      continue;
    }
    next = Clock::now() + (this->Beat() ? kHeartbeatInterval : kResendPause);
  }
}

Message Upstream::MakeAnswer(const Run& run, int status, const std::string& body) const {
  Message answer;
  answer.start = "HTTP/1.1 " + std::to_string(status) + " Answer";
  answer.fields = {{"Lacewingbridge-Request-Id", run.id},
                   {"Lacewingbridge-Server-Signature", this->id + "." + run.id},
                   {"Lacewingbridge-Server-Load", this->GetLoad()}};
  answer.body = body;
  return answer;
}

bool Upstream::Handle(Stream& stream, const Message& request) {
  Message answer;
  if (request.GetTarget() == "/healthz") {
    answer.start = this->draining ? "HTTP/1.1 503 Service Unavailable" : "HTTP/1.1 200 OK";
    answer.fields = {{"Lacewingbridge-Instance-Id", this->id},
                     {"Lacewingbridge-Server-Load", this->GetLoad()}};
    return stream.Write(answer.Serialize());
  }
  const std::string expected = request.Get("Lacewingbridge-Expected-Instance");
  Run run{stream, request, request.Get("Lacewingbridge-Request-Id")};
  if (!expected.empty() && expected != this->id) {
    answer.start = "HTTP/1.1 421 Misdirected Request";
    answer.fields = {{"Lacewingbridge-Instance-Id", this->id},
                     {"Lacewingbridge-Request-Id", run.id},
                     {"Lacewingbridge-Not-Executed", "1"}};
    return stream.Write(answer.Serialize());
  }
  if (++this->running > this->slots) {
    --this->running;
    answer.start = "HTTP/1.1 503 Service Unavailable";
    answer.fields = {{"Lacewingbridge-Request-Id", run.id}, {"Lacewingbridge-Not-Executed", "1"}};
    return stream.Write(answer.Serialize());
  }
  this->record.Write("run " + run.id + " at " + this->machine.name + " (" + this->id + ") " +
                     request.GetMethod() + " " + Shorten(request.GetTarget()));
  const bool keep = this->work(*this, run);
  --this->running;
  return keep;
}

std::string Answer::Describe() const {
  char text[120];
  std::snprintf(text, sizeof(text), "status %d%s%s after %.3f s, %zu bytes", this->status,
                this->whole ? "" : ", not whole", this->closed ? ", connection closed" : "",
                this->seconds, this->body.size());
  return text;
}

Answer Send(const Machine& machine, const ClientRequest& request) {
  const TimePoint begin = Clock::now();
  const TimePoint until = begin + request.deadline;
  Answer answer;
  const int connection = Connect(machine.GetOutbound(), Milliseconds(1000));
  if (connection < 0) {
    answer.closed = true;
    return answer;
  }
  Stream stream(connection);
  Message message;
  message.start = request.method + " " + request.path + " HTTP/1.1";
  message.fields = {{"Host", request.host},
                    {"Lacewingbridge-Request-Id", request.id},
                    {"Lacewingbridge-Deadline-Ms", std::to_string(request.deadline.count())}};
  message.body = request.body;
  Message got;
  const bool written = stream.Write(message.Serialize());
  const ReadEnd head = written ? stream.ReadHead(got, until) : ReadEnd::kCut;
  ReadEnd end = head;
  if (head == ReadEnd::kWhole) {
    answer.status = got.GetStatus();
    answer.signature = got.Get("Lacewingbridge-Server-Signature");
    end = stream.ReadBody(got, true, until);
  }
  answer.whole = end == ReadEnd::kWhole;
  answer.closed = end == ReadEnd::kClosed || end == ReadEnd::kCut;
  answer.body = std::move(got.body);
  answer.seconds = std::chrono::duration<double>(Clock::now() - begin).count();
  return answer;
}

}  // namespace review
