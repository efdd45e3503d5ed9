# One library under libs/NAME: sources in src/, public headers in include/, and, where they
# exist, Criterion tests in tests/*.cpp and Google benchmarks in benchmark/*.cpp.
function(monsoonbay_library NAME)
    file(GLOB_RECURSE SOURCES CONFIGURE_DEPENDS src/*.cpp src/*.cc)
    add_library(${NAME} STATIC ${SOURCES})
    target_include_directories(${NAME} PUBLIC include PRIVATE src)
    target_compile_options(${NAME} PRIVATE -Wall -Wextra -Wpedantic)
    target_link_libraries(${NAME} PUBLIC ${ARGN} Threads::Threads)

    if(MONSOONBAY_DAEMON_ONLY)
        return()
    endif()
    file(GLOB TEST_SOURCES CONFIGURE_DEPENDS tests/*.cpp)
    if(TEST_SOURCES)
        monsoonbay_test(${NAME}-tests ${NAME})
    endif()

    file(GLOB BENCHMARKS CONFIGURE_DEPENDS benchmark/*.cpp)
    if(BENCHMARKS)
        add_executable(${NAME}-benchmark ${BENCHMARKS})
        target_link_libraries(${NAME}-benchmark PRIVATE ${NAME} benchmark::benchmark_main)
    endif()
endfunction()

# Schedules that a property is tried on; the folders of the decisions raise it.
set(MONSOONBAY_PROPERTY_RUNS 500)

# A Criterion test program made of tests/*.cpp of the calling folder.
function(monsoonbay_test NAME)
    file(GLOB TEST_SOURCES CONFIGURE_DEPENDS tests/*.cpp)
    add_executable(${NAME} ${TEST_SOURCES})
    target_compile_options(${NAME} PRIVATE -Wall -Wextra)
    target_link_libraries(${NAME} PRIVATE ${ARGN} PkgConfig::CRITERION rapidcheck)
    target_include_directories(${NAME} PRIVATE src)
    add_test(NAME ${NAME} COMMAND ${NAME})
    # One seed for all properties: the same verdict on every run.
    set_tests_properties(${NAME} PROPERTIES ENVIRONMENT
        "RC_PARAMS=seed=20261202 max_success=${MONSOONBAY_PROPERTY_RUNS}")
endfunction()

# A program under tools/NAME.
function(monsoonbay_tool NAME)
    file(GLOB SOURCES CONFIGURE_DEPENDS src/Main.cpp)
    add_executable(${NAME} ${SOURCES})
    target_compile_options(${NAME} PRIVATE -Wall -Wextra -Wpedantic)
    target_link_libraries(${NAME} PRIVATE ${ARGN})
endfunction()
