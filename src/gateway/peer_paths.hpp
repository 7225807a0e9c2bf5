#pragma once

namespace mimosavalve::gateway::peer_paths {

// Calls between routers, on the internal port of the fleet's routers.
inline constexpr const char* sync =
    "/sync";  ///< Router to its leader: reports; the reply contains changed state.
inline constexpr const char* leader = "/leader";  ///< New leader to a router: announces itself.
inline constexpr const char* config =
    "/config";  ///< Router to another one: changes of the configuration since its own version.
inline constexpr const char* body_type = "application/cbor";

}  // namespace mimosavalve::gateway::peer_paths
