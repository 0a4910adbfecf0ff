# acaciacross_module(<Name> [dependencies...]): a static library of all sources
# in the current folder. A module that has only headers yet becomes an
# interface library.
function(acaciacross_module Name)
  file(GLOB Sources CONFIGURE_DEPENDS ${CMAKE_CURRENT_SOURCE_DIR}/*.cpp)
  set(Target acaciacross${Name})
  if(Sources)
    add_library(${Target} STATIC ${Sources})
    target_include_directories(
      ${Target} PUBLIC $<BUILD_INTERFACE:${PROJECT_SOURCE_DIR}/Source>)
    # Also for programs outside this build that link the installed library.
    target_compile_features(${Target} PUBLIC cxx_std_20)
    target_link_libraries(${Target} PUBLIC ${ARGN})
  else()
    add_library(${Target} INTERFACE)
    target_include_directories(${Target} INTERFACE ${PROJECT_SOURCE_DIR}/Source)
    target_link_libraries(${Target} INTERFACE ${ARGN})
  endif()
  add_library(acaciacross::${Name} ALIAS ${Target})
endfunction()

# acaciacross_program(<name> [dependencies...]): an executable of all sources in
# the current folder.
function(acaciacross_program Name)
  file(GLOB Sources CONFIGURE_DEPENDS ${CMAKE_CURRENT_SOURCE_DIR}/*.cpp)
  add_executable(${Name} ${Sources})
  target_include_directories(${Name} PRIVATE ${PROJECT_SOURCE_DIR}/Source)
  target_link_libraries(${Name} PRIVATE ${ARGN})
  set_target_properties(${Name} PROPERTIES RUNTIME_OUTPUT_DIRECTORY
                                           ${PROJECT_BINARY_DIR}/bin)
endfunction()
