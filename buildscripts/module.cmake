# Functions used by every module's CMakeLists.txt.

# bth_module(NAME SOURCES ... DEPENDS ...): a module as one static library.
function(bth_module name)
    cmake_parse_arguments(ARG "" "" "SOURCES;DEPENDS" ${ARGN})
    add_library(bth_${name} STATIC ${ARG_SOURCES})
    target_include_directories(bth_${name} PUBLIC ${CMAKE_SOURCE_DIR}/src)
    target_link_libraries(bth_${name} PUBLIC ${ARG_DEPENDS})
endfunction()

# bth_tests(NAME SOURCES ... DEPENDS ...): the module's Catch2 tests as one ctest entry.
function(bth_tests name)
    if(NOT BTH_WITH_TESTS)
        return()
    endif()
    cmake_parse_arguments(ARG "" "" "SOURCES;DEPENDS" ${ARGN})
    add_executable(${name}_tests ${ARG_SOURCES})
    target_link_libraries(${name}_tests PRIVATE bth_catch_main ${ARG_DEPENDS})
    target_compile_definitions(${name}_tests PRIVATE TEST_DATA_DIR="${CMAKE_CURRENT_SOURCE_DIR}/tests/data")
    add_test(NAME ${name} COMMAND ${name}_tests)
    set_tests_properties(${name} PROPERTIES TIMEOUT 300)
endfunction()
