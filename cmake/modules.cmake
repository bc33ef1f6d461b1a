# auburnspread_module(core_base SOURCES a.cpp LINK other libs): a static library of one folder.
# A folder without sources becomes an interface library.
function(auburnspread_module name)
    cmake_parse_arguments(ARG "" "" "SOURCES;LINK" ${ARGN})
    if(ARG_SOURCES)
        add_library(${name} STATIC ${ARG_SOURCES})
        target_include_directories(${name} PUBLIC ${CMAKE_SOURCE_DIR}/src ${CMAKE_SOURCE_DIR})
        target_link_libraries(${name} PUBLIC ${ARG_LINK})
    else()
        add_library(${name} INTERFACE)
        target_include_directories(${name} INTERFACE ${CMAKE_SOURCE_DIR}/src ${CMAKE_SOURCE_DIR})
        target_link_libraries(${name} INTERFACE ${ARG_LINK})
    endif()
endfunction()

# auburnspread_program(auburnspread-entry SOURCES main.cpp LINK ...): one binary in build/bin.
function(auburnspread_program name)
    cmake_parse_arguments(ARG "" "" "SOURCES;LINK" ${ARGN})
    add_executable(${name} ${ARG_SOURCES})
    target_include_directories(${name} PRIVATE ${CMAKE_SOURCE_DIR}/src)
    target_compile_definitions(${name} PRIVATE AUBURNSPREAD_VERSION="${PROJECT_VERSION}")
    target_link_libraries(${name} PRIVATE ${ARG_LINK})
endfunction()

# auburnspread_tests(core_base_tests SOURCES tests/x_tests.cpp LINK core_base): one test program under ctest.
# RC_PARAMS fixes RapidCheck's seed, so that the verdict is the same every time.
function(auburnspread_tests name)
    if(AUBURNSPREAD_GATEWAY_ONLY)
        return()
    endif()
    cmake_parse_arguments(ARG "" "" "SOURCES;LINK" ${ARGN})
    add_executable(${name} ${ARG_SOURCES})
    target_include_directories(${name} PRIVATE ${CMAKE_SOURCE_DIR}/src)
    target_compile_definitions(${name} PRIVATE
        AUBURNSPREAD_SOURCE_DIR="${CMAKE_SOURCE_DIR}"
        AUBURNSPREAD_BINARY_DIR="${CMAKE_BINARY_DIR}/bin"
        AUBURNSPREAD_TEST_DATA="${CMAKE_CURRENT_SOURCE_DIR}/tests/data")
    target_link_libraries(${name} PRIVATE ${ARG_LINK} GTest::gtest GTest::gtest_main rapidcheck)
    add_test(NAME ${name} COMMAND ${name})
    set_tests_properties(${name} PROPERTIES TIMEOUT 120 ENVIRONMENT "RC_PARAMS=seed=20261202")
endfunction()
