# Installs the library into the build folder, builds the examples against the
# installed package and runs them. Repeated runs build only what changed.
# Needs -DBuild=<build folder> -DExamples=<folder> -DGenerator=<name>
# -DLauncher=<compiler launcher or empty>.
function(runStep)
  execute_process(COMMAND ${ARGN} COMMAND_ERROR_IS_FATAL ANY)
endfunction()

set(Prefix ${Build}/package/installed)
set(Work ${Build}/package/examples)
runStep(${CMAKE_COMMAND} --install ${Build} --component library --prefix ${Prefix})
runStep(${CMAKE_COMMAND} -S ${Examples} -B ${Work} -G ${Generator}
        -DCMAKE_PREFIX_PATH=${Prefix} -DCMAKE_CXX_COMPILER_LAUNCHER=${Launcher})
runStep(${CMAKE_COMMAND} --build ${Work})
runStep(${Work}/replica-choice)
