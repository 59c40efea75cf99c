# Build rules that every package, test and benchmark shares.

set(CMAKE_CXX_STANDARD 20)
set(CMAKE_CXX_STANDARD_REQUIRED ON)
set(CMAKE_CXX_EXTENSIONS OFF)
set(CMAKE_EXPORT_COMPILE_COMMANDS ON)
set(CMAKE_RUNTIME_OUTPUT_DIRECTORY ${CMAKE_BINARY_DIR}/bin)

if(NOT CMAKE_BUILD_TYPE)
    set(CMAKE_BUILD_TYPE Release CACHE STRING "" FORCE)
endif()
# Assertions state invariants and stay on in every build.
set(CMAKE_CXX_FLAGS_RELEASE "-O2")

find_program(CCACHE ccache)
if(CCACHE)
    # Paths relative to the source tree let checkouts of the same revision share their objects.
    set(CMAKE_CXX_COMPILER_LAUNCHER env CCACHE_BASEDIR=${CMAKE_SOURCE_DIR} CCACHE_NOHASHDIR=1 ${CCACHE})
endif()

add_compile_options(-Wall -Wextra -Wpedantic -Werror -Wno-missing-field-initializers)

# appleramp_package(NAME SOURCES... DEPENDS...): one library of the workspace.
function(appleramp_package name)
    cmake_parse_arguments(ARG "" "" "SOURCES;DEPENDS" ${ARGN})
    if(ARG_SOURCES)
        add_library(${name} STATIC ${ARG_SOURCES})
        target_include_directories(${name} PUBLIC ${CMAKE_SOURCE_DIR}/packages)
        target_link_libraries(${name} PUBLIC ${ARG_DEPENDS})
    else()
        add_library(${name} INTERFACE)
        target_include_directories(${name} INTERFACE ${CMAKE_SOURCE_DIR}/packages)
        target_link_libraries(${name} INTERFACE ${ARG_DEPENDS})
    endif()
endfunction()

# appleramp_test(NAME SOURCES... DEPENDS... [TIMEOUT seconds]): one Criterion program, run by CTest.
function(appleramp_test name)
    cmake_parse_arguments(ARG "" "TIMEOUT" "SOURCES;DEPENDS" ${ARGN})
    if(NOT ARG_TIMEOUT)
        set(ARG_TIMEOUT 120)
    endif()
    add_executable(${name} ${ARG_SOURCES})
    target_include_directories(${name} PRIVATE ${CMAKE_SOURCE_DIR}/tests)
    target_link_libraries(${name} PRIVATE ${ARG_DEPENDS} ${CRITERION_LIBRARY})
    add_test(NAME ${name} COMMAND ${name} --jobs 2)
    set_tests_properties(${name} PROPERTIES TIMEOUT ${ARG_TIMEOUT} WORKING_DIRECTORY ${CMAKE_SOURCE_DIR})
endfunction()

# appleramp_benchmark(NAME SOURCES... DEPENDS...): one measuring program, built but not run by CTest.
function(appleramp_benchmark name)
    cmake_parse_arguments(ARG "" "" "SOURCES;DEPENDS" ${ARGN})
    add_executable(${name} ${ARG_SOURCES})
    target_include_directories(${name} PRIVATE ${CMAKE_SOURCE_DIR}/tests ${CMAKE_SOURCE_DIR}/benchmarks)
    target_link_libraries(${name} PRIVATE ${ARG_DEPENDS})
endfunction()
