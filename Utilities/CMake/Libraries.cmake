find_package(PkgConfig REQUIRED)
find_package(Threads REQUIRED)
find_package(TBB REQUIRED)
find_package(fmt REQUIRED)
find_package(pugixml REQUIRED)
find_package(docopt REQUIRED)
find_package(Boost 1.81 REQUIRED)
# cpp-httplib is a compiled library here, not header-only: its users need the definitions it was
# built with, which pkg-config provides.
pkg_check_modules(HTTPLIB REQUIRED IMPORTED_TARGET cpp-httplib)
pkg_check_modules(CPPUNIT REQUIRED IMPORTED_TARGET cppunit)
pkg_check_modules(OPENSSL REQUIRED IMPORTED_TARGET openssl)
pkg_check_modules(TOMLPLUSPLUS REQUIRED IMPORTED_TARGET tomlplusplus)
