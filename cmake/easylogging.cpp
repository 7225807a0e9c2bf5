// easylogging++ is shipped as a source file that one translation unit has to compile.
#include <easylogging++.cc>
