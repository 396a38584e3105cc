#ifndef LACEWINGBRIDGE_SOURCE_DAEMON_ADMIN_SERVICE_H_
#define LACEWINGBRIDGE_SOURCE_DAEMON_ADMIN_SERVICE_H_

#include "Admin/admin_handlers.h"

namespace lacewingbridge {

class Daemon;

// What the daemon does for the operators' calls.
AdminHandlers MakeAdminHandlers(Daemon& daemon);

}  // namespace lacewingbridge

#endif  // LACEWINGBRIDGE_SOURCE_DAEMON_ADMIN_SERVICE_H_
