add_executable(fleet_capacity
  fleet_capacity_main.cc fleet_decisions.cc fleet_traffic.cc fleet_world.cc)
target_link_libraries(fleet_capacity PRIVATE
  umbertrail_options umbertrail_core umbertrail_peer umbertrail_manifest
  nlohmann_json::nlohmann_json)
