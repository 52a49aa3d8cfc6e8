# pistachio_library(<Name> <sources...>): a static library under Source/Core/<Name>.
function(pistachio_library name)
  add_library(${name} STATIC ${ARGN})
  target_include_directories(${name} PUBLIC ${CMAKE_SOURCE_DIR}/Source/Core)
endfunction()

# pistachio_test(<Library> <sources...>): the unit tests of one library, one CTest entry for each case.
function(pistachio_test library)
  set(target ${library}Tests)
  add_executable(${target} ${ARGN})
  target_include_directories(${target} PRIVATE ${CMAKE_SOURCE_DIR}/Source/Core
                                               ${CMAKE_SOURCE_DIR}/Source/UnitTests)
  target_link_libraries(${target} PRIVATE ${library} GTest::gtest GTest::gtest_main)
  gtest_discover_tests(${target} DISCOVERY_TIMEOUT 60 PROPERTIES TIMEOUT 120)
endfunction()
