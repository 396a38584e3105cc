#include "Core/error.h"

namespace lacewingbridge {

std::string Error::GetMessage() const {
  for (const ErrorKindDescription& description : kErrorKindCatalogue) {
    if (description.kind != this->kind) {
      continue;
    }
    std::string message(description.summary);
    if (!this->detail.empty()) {
      message += ": " + this->detail;
    }
    return message + ". Remedy: " + std::string(description.remedy) + ".";
  }
  return this->detail;
}

}  // namespace lacewingbridge
