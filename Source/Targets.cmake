# pistachio_library(<Name> <sources...>): a static library under Source/Core/<Name>.
function(pistachio_library name)
  add_library(${name} STATIC ${ARGN})
  target_include_directories(${name} PUBLIC ${CMAKE_SOURCE_DIR}/Source/Core)
endfunction()

# pistachio_daemon(<executable> <sources...>): a program that is part of the product.
function(pistachio_daemon name)
  add_executable(${name} ${ARGN})
  target_include_directories(${name} PRIVATE ${CMAKE_SOURCE_DIR}/Source/Core)
  target_compile_definitions(${name} PRIVATE PISTACHIO_VERSION="${PROJECT_VERSION}")
endfunction()

# pistachio_test_target(<target> <label> <library> <sources...>)
function(pistachio_test_target target label library)
  add_executable(${target} ${ARGN})
  target_include_directories(${target} PRIVATE ${CMAKE_SOURCE_DIR}/Source/Core
                                               ${CMAKE_SOURCE_DIR}/Source/UnitTests)
  target_link_libraries(${target} PRIVATE ${library} GTest::gtest GTest::gtest_main)
  # Without pretty values: the printed bytes of a parameter contain addresses, which differ from
  # build to build, and KNOWN-RED.txt lists tests by name.
  gtest_discover_tests(${target} NO_PRETTY_VALUES DISCOVERY_TIMEOUT 60 PROPERTIES TIMEOUT 120 LABELS ${label})
endfunction()

# One CTest entry for each case. The labels: unit; fault for a row of the fault matrix; control for
# a case that turns a mechanism off and expects the check to report the breach.
function(pistachio_test library)
  pistachio_test_target(${library}Tests unit ${library} ${ARGN})
endfunction()
function(pistachio_fault_test library)
  pistachio_test_target(${library}FaultTests fault ${library} ${ARGN})
endfunction()
function(pistachio_control_test library)
  pistachio_test_target(${library}ControlTests control ${library} ${ARGN})
endfunction()
