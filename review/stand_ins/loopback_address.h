#ifndef LACEWINGBRIDGE_REVIEW_STAND_INS_LOOPBACK_ADDRESS_H_
#define LACEWINGBRIDGE_REVIEW_STAND_INS_LOOPBACK_ADDRESS_H_

#include <netinet/in.h>

#include <string>

namespace lacewingbridge::review {

// Reads IP:PORT. Any address outside 127.0.0.0/8 ends the program.
sockaddr_in ParseLoopback(const std::string& address);

// Returns the first three numbers of a loopback network that no other process listens on, such as
// "127.81.20.". The machines of a deployment have addresses in it.
std::string FindFreeNetwork();

}  // namespace lacewingbridge::review

#endif  // LACEWINGBRIDGE_REVIEW_STAND_INS_LOOPBACK_ADDRESS_H_
