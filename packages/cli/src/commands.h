#ifndef UMBERTRAIL_CLI_SRC_COMMANDS_H_
#define UMBERTRAIL_CLI_SRC_COMMANDS_H_

#include "admin_client.h"
#include "caller.h"
#include "command_line.h"
#include "umbertrail/cli.h"

// One function for each command. Network and instances come as interfaces.

namespace umbertrail::cli {

ExitStatus CheckManifest(const ManifestCheckCommand& command, Console& console);
ExitStatus DiffManifest(const ManifestDiffCommand& command, Console& console);
ExitStatus HashKey(const KeyHashCommand& command, Console& console);
ExitStatus ReadInstanceLogs(const LogsCommand& command, Console& console);
ExitStatus ShowStatus(const StatusCommand& command,
                      const AdminClient& client,
                      Console& console);
ExitStatus Explain(const ExplainCommand& command,
                   const AdminClient& client,
                   Console& console);
ExitStatus Send(const SendCommand& command,
                const Caller& caller,
                Console& console);
ExitStatus Load(const LoadCommand& command,
                const Caller& caller,
                Console& console);

}  // namespace umbertrail::cli

#endif  // UMBERTRAIL_CLI_SRC_COMMANDS_H_
