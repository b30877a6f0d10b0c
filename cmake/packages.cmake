# Declares the library of one package: public headers under include/umbertrail,
# sources under src. DEPENDS lists link targets seen by users of the package.
function(umbertrail_package name)
  cmake_parse_arguments(ARG "" "" "SOURCES;DEPENDS;PRIVATE_DEPENDS" ${ARGN})
  set(target umbertrail_${name})
  if(ARG_SOURCES)
    add_library(${target} STATIC ${ARG_SOURCES})
    target_include_directories(${target} PUBLIC include)
    target_link_libraries(${target} PUBLIC ${ARG_DEPENDS} PRIVATE umbertrail_options ${ARG_PRIVATE_DEPENDS})
  else()
    add_library(${target} INTERFACE)
    target_include_directories(${target} INTERFACE include)
    target_link_libraries(${target} INTERFACE ${ARG_DEPENDS})
  endif()
endfunction()

# Declares a Catch2 test program; it runs under ctest as one test.
function(umbertrail_test name)
  cmake_parse_arguments(ARG "" "" "SOURCES;DEPENDS" ${ARGN})
  add_executable(${name} ${ARG_SOURCES})
  target_link_libraries(${name} PRIVATE umbertrail_options umbertrail_test_main ${ARG_DEPENDS})
  add_test(NAME ${name} COMMAND ${name})
endfunction()
