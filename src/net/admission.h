// What is a request for a job, and what is turned away. Nothing of a message that fails here reaches a
// worker.
#pragma once

#include <variant>

#include "net/engine.h"
#include "net/http.h"

namespace woadridge::net {

// A request's job, or the status that answers a request which is none.
std::variant<Job, int> job_of(const HttpReader& message, const Engine& engine, Micros on_the_way);

}  // namespace woadridge::net
