#pragma once

namespace mimosavalve::gateway::peer_paths {

// Calls between routers, on the port for our own processes.
inline constexpr const char* sync = "/sync";      ///< Router to its leader: reports, and news.
inline constexpr const char* leader = "/leader";  ///< New leader to a router: follow me.
inline constexpr const char* body_type = "application/cbor";

}  // namespace mimosavalve::gateway::peer_paths
