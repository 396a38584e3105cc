#include "stand_ins/http_message.h"

#include <strings.h>

#include <cstdlib>

namespace lacewingbridge::review {

namespace {

bool IsSameName(std::string_view left, std::string_view right) {
  return left.size() == right.size() && strncasecmp(left.data(), right.data(), left.size()) == 0;
}

}  // namespace

std::string HttpMessage::GetHeader(std::string_view name) const {
  for (const auto& [key, value] : this->headers) {
    if (IsSameName(key, name)) {
      return value;
    }
  }
  return {};
}

bool HttpMessage::HasHeader(std::string_view name) const {
  for (const auto& header : this->headers) {
    if (IsSameName(header.first, name)) {
      return true;
    }
  }
  return false;
}

std::string HttpMessage::GetMethod() const {
  return this->start_line.substr(0, this->start_line.find(' '));
}

std::string HttpMessage::GetTarget() const {
  const std::size_t begin = this->start_line.find(' ');
  if (begin == std::string::npos) {
    return {};
  }
  const std::size_t end = this->start_line.find(' ', begin + 1);
  return this->start_line.substr(begin + 1, end - begin - 1);
}

int HttpMessage::GetStatus() const {
  const std::size_t begin = this->start_line.find(' ');
  return begin == std::string::npos ? 0 : std::atoi(this->start_line.c_str() + begin + 1);
}

std::string HttpMessage::Format() const {
  std::string text = this->start_line + "\r\n";
  for (const auto& [key, value] : this->headers) {
    text += key + ": " + value + "\r\n";
  }
  const bool is_answer = this->start_line.starts_with("HTTP/");
  if (!this->HasHeader("Content-Length") && !this->HasHeader("Transfer-Encoding") &&
      (is_answer || !this->body.empty())) {
    text += "Content-Length: " + std::to_string(this->body.size()) + "\r\n";
  }
  return text + "\r\n" + this->body;
}

HttpMessage MakeRequest(std::string_view method, std::string_view target, std::string_view host) {
  HttpMessage request;
  request.start_line = std::string(method) + " " + std::string(target) + " HTTP/1.1";
  request.headers.emplace_back("Host", host);
  return request;
}

HttpMessage MakeAnswer(int status, std::string_view reason) {
  HttpMessage answer;
  answer.start_line = "HTTP/1.1 " + std::to_string(status) + " " + std::string(reason);
  return answer;
}

}  // namespace lacewingbridge::review
