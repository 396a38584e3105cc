#ifndef LACEWINGBRIDGE_SOURCE_DAEMON_CONTROL_HANDLERS_H_
#define LACEWINGBRIDGE_SOURCE_DAEMON_CONTROL_HANDLERS_H_

namespace httplib {
class Server;
}  // namespace httplib

namespace lacewingbridge {

class Daemon;

// Adds the handlers of the control address: operators (/rpc, /metrics, /dump), targets
// (/announce) and other daemons (/peer/...). The daemon must outlive the server.
void AddControlHandlers(httplib::Server& server, Daemon& daemon);

}  // namespace lacewingbridge

#endif  // LACEWINGBRIDGE_SOURCE_DAEMON_CONTROL_HANDLERS_H_
