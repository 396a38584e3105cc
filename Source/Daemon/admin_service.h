#ifndef LACEWINGBRIDGE_SOURCE_DAEMON_ADMIN_SERVICE_H_
#define LACEWINGBRIDGE_SOURCE_DAEMON_ADMIN_SERVICE_H_

#include "Admin/admin_handlers.h"

namespace lacewingbridge {

class Daemon;

// Makes the handlers of the operators' calls. The daemon must outlive them.
AdminHandlers MakeAdminHandlers(Daemon& daemon);

}  // namespace lacewingbridge

#endif  // LACEWINGBRIDGE_SOURCE_DAEMON_ADMIN_SERVICE_H_
