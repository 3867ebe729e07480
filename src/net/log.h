// The log: lines on standard error that never hold up serving.
#pragma once

namespace woadridge::net {

void open_log();

}  // namespace woadridge::net
