# Interface target with the flags that every project target shares.
add_library(BulrushfoldFlags INTERFACE)
target_compile_options(BulrushfoldFlags INTERFACE -Wall -Wextra -Werror)
target_include_directories(BulrushfoldFlags INTERFACE
  "${CMAKE_SOURCE_DIR}/Source")
if(BULRUSHFOLD_SANITIZE)
  target_compile_options(BulrushfoldFlags INTERFACE
    -fsanitize=address,undefined -fno-sanitize-recover=all
    -fno-omit-frame-pointer)
  target_link_options(BulrushfoldFlags INTERFACE
    -fsanitize=address,undefined)
endif()

# bulrushfold_library(NAME SOURCES file... LINKS target...)
function(bulrushfold_library name)
  cmake_parse_arguments(ARG "" "" "SOURCES;LINKS" ${ARGN})
  add_library(${name} STATIC ${ARG_SOURCES})
  target_link_libraries(${name} PUBLIC BulrushfoldFlags ${ARG_LINKS})
endfunction()

# bulrushfold_program(NAME SOURCES file... LINKS target...)
function(bulrushfold_program name)
  cmake_parse_arguments(ARG "" "" "SOURCES;LINKS" ${ARGN})
  add_executable(${name} ${ARG_SOURCES})
  target_link_libraries(${name} PRIVATE BulrushfoldFlags ${ARG_LINKS})
  set_target_properties(${name} PROPERTIES
    RUNTIME_OUTPUT_DIRECTORY "${CMAKE_BINARY_DIR}/bin")
endfunction()

# bulrushfold_test(NAME SOURCES file... LINKS target...)
# A doctest program, registered with CTest under its name.
function(bulrushfold_test name)
  cmake_parse_arguments(ARG "" "" "SOURCES;LINKS" ${ARGN})
  add_executable(${name} "${CMAKE_SOURCE_DIR}/Tests/TestMain.cxx"
    ${ARG_SOURCES})
  target_link_libraries(${name} PRIVATE BulrushfoldFlags rapidcheck
    ${ARG_LINKS})
  set_target_properties(${name} PROPERTIES
    RUNTIME_OUTPUT_DIRECTORY "${CMAKE_BINARY_DIR}/bin")
  add_test(NAME ${name} COMMAND ${name})
endfunction()
