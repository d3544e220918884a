# Declares the static library jujuberock_NAME from every .cc file of the
# calling folder. Arguments after NAME are the libraries it links to.
function(jujuberock_module NAME)
  file(GLOB SOURCES CONFIGURE_DEPENDS ${CMAKE_CURRENT_SOURCE_DIR}/*.cc)
  if(NOT SOURCES)
    return()
  endif()
  add_library(jujuberock_${NAME} STATIC ${SOURCES})
  target_link_libraries(jujuberock_${NAME} PUBLIC ${ARGN})
endfunction()

# Declares the Catch2 test binary test_NAME from every .cc file of the calling
# folder. Arguments after NAME are the libraries under test.
function(jujuberock_test NAME)
  file(GLOB SOURCES CONFIGURE_DEPENDS ${CMAKE_CURRENT_SOURCE_DIR}/*.cc)
  add_executable(test_${NAME} ${SOURCES})
  target_link_libraries(test_${NAME} PRIVATE jujuberock_test_main ${ARGN})
  target_compile_definitions(test_${NAME} PRIVATE JUJUBEROCK_SOURCE_DIR="${CMAKE_SOURCE_DIR}")
  add_test(NAME ${NAME} COMMAND test_${NAME})
  set_tests_properties(${NAME} PROPERTIES TIMEOUT 300)
endfunction()
