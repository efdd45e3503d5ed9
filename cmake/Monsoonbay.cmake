# Adds the library of the calling folder: sources in src/, public headers in include/, and, if there
# are any, Criterion tests in tests/*.cpp and Google benchmarks in benchmark/*.cpp.
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

# Number of cases that RapidCheck tries for each property; a folder may set another number.
set(MONSOONBAY_PROPERTY_RUNS 500)

# Adds a Criterion test program built from tests/*.cpp of the calling folder.
function(monsoonbay_test NAME)
    file(GLOB TEST_SOURCES CONFIGURE_DEPENDS tests/*.cpp)
    add_executable(${NAME} ${TEST_SOURCES})
    target_compile_options(${NAME} PRIVATE -Wall -Wextra)
    target_link_libraries(${NAME} PRIVATE ${ARGN} PkgConfig::CRITERION rapidcheck)
    target_include_directories(${NAME} PRIVATE src)
    add_test(NAME ${NAME} COMMAND ${NAME})
    # A fixed seed, so that property tests give the same result on every run.
    set_tests_properties(${NAME} PROPERTIES ENVIRONMENT
        "RC_PARAMS=seed=20261202 max_success=${MONSOONBAY_PROPERTY_RUNS}")
endfunction()

# Adds the program of the calling folder under tools/, built from its src/Main.cpp.
function(monsoonbay_tool NAME)
    file(GLOB SOURCES CONFIGURE_DEPENDS src/Main.cpp)
    add_executable(${NAME} ${SOURCES})
    target_compile_options(${NAME} PRIVATE -Wall -Wextra -Wpedantic)
    target_link_libraries(${NAME} PRIVATE ${ARGN})
endfunction()
