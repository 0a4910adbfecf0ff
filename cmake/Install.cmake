# acaciacross_install(<Name>...): installs the modules and their public headers
# as the CMake package "acaciacross", with targets acaciacross::<Name>. All of it
# is of the component "library", which needs no other part of the build.
include(CMakePackageConfigHelpers)
include(GNUInstallDirs)

function(acaciacross_install)
  set(Headers ${CMAKE_INSTALL_INCLUDEDIR}/acaciacross)
  set(Package ${CMAKE_INSTALL_LIBDIR}/cmake/acaciacross)
  foreach(Name IN LISTS ARGN)
    set_target_properties(acaciacross${Name} PROPERTIES EXPORT_NAME ${Name})
    install(TARGETS acaciacross${Name} EXPORT acaciacrossTargets
            ARCHIVE DESTINATION ${CMAKE_INSTALL_LIBDIR} COMPONENT library
            INCLUDES DESTINATION ${Headers})
    # The TOML reader is an implementation detail whose header needs toml++.
    install(DIRECTORY ${PROJECT_SOURCE_DIR}/Source/${Name}
            DESTINATION ${Headers} COMPONENT library
            FILES_MATCHING PATTERN "*.h" PATTERN "Toml*.h" EXCLUDE)
  endforeach()
  install(EXPORT acaciacrossTargets NAMESPACE acaciacross::
          DESTINATION ${Package} COMPONENT library)

  write_basic_package_version_file(
    ${PROJECT_BINARY_DIR}/acaciacrossConfigVersion.cmake
    COMPATIBILITY SameMinorVersion)
  install(FILES ${PROJECT_SOURCE_DIR}/cmake/acaciacrossConfig.cmake
                ${PROJECT_BINARY_DIR}/acaciacrossConfigVersion.cmake
          DESTINATION ${Package} COMPONENT library)
endfunction()
