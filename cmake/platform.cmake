# The router for the users' platform: built from separate libraries with few dependencies, so that
# its process needs little memory on hosts where memory is scarce.
find_package(Boost 1.74 REQUIRED)
find_package(yaml-cpp REQUIRED)
find_package(Threads REQUIRED)
find_package(PkgConfig REQUIRED)
pkg_check_modules(XXHASH REQUIRED IMPORTED_TARGET libxxhash)

set(MV_STRICT_WARNINGS -Wall -Wextra -Wpedantic -Wshadow)

# Types and functions shared by all programs of the project.
add_library(mv_core STATIC src/core/error.cpp src/core/types.cpp src/core/verdict.cpp
                           src/observe/decision_log.cpp src/observe/histogram.cpp
                           src/ownership/slot.cpp src/traffic/quarantine.cpp)
target_link_libraries(mv_core PRIVATE PkgConfig::XXHASH)
target_include_directories(mv_core PUBLIC include)
target_compile_options(mv_core PRIVATE ${MV_STRICT_WARNINGS})

file(GLOB MV_GATEWAY_SOURCES CONFIGURE_DEPENDS src/gateway/*.cpp)
add_library(mv_gateway STATIC ${MV_GATEWAY_SOURCES})
target_include_directories(mv_gateway PRIVATE src)
target_compile_options(mv_gateway PRIVATE ${MV_STRICT_WARNINGS})
target_compile_definitions(mv_gateway PUBLIC BOOST_ASIO_NO_DEPRECATED BOOST_ALLOW_DEPRECATED_HEADERS
                                             BOOST_ERROR_CODE_HEADER_ONLY)
target_link_libraries(mv_gateway PUBLIC mv_core Boost::boost Threads::Threads)

file(GLOB MV_PLATFORM_SOURCES CONFIGURE_DEPENDS platform/*.cpp)
add_library(mv_platform STATIC ${MV_PLATFORM_SOURCES})
target_include_directories(mv_platform PUBLIC platform)
target_compile_options(mv_platform PRIVATE ${MV_STRICT_WARNINGS})
target_link_libraries(mv_platform PUBLIC mv_gateway yaml-cpp)

add_executable(mimosavalve-gate apps/mimosavalve-gate/main.cpp)
target_compile_definitions(mimosavalve-gate PRIVATE MV_VERSION="${PROJECT_VERSION}")
target_link_libraries(mimosavalve-gate PRIVATE mv_platform)
if(MV_PLATFORM_ONLY)
  target_link_options(mimosavalve-gate PRIVATE -s -Wl,--gc-sections -Wl,--as-needed)
endif()
