# The admin pages, a library of its own so that they build and are tested
# without the rest of the daemon.
if(NOT TARGET umbertrail_admin)
  add_library(umbertrail_admin STATIC
    ${CMAKE_CURRENT_LIST_DIR}/src/admin_json.cc
    ${CMAKE_CURRENT_LIST_DIR}/src/admin_pages.cc)
  target_include_directories(umbertrail_admin PUBLIC ${CMAKE_CURRENT_LIST_DIR}/include)
  target_link_libraries(umbertrail_admin
    PUBLIC umbertrail_telemetry umbertrail_core
    PRIVATE umbertrail_options nlohmann_json::nlohmann_json)
endif()
