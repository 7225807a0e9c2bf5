// easylogging++ ships a source file that exactly one translation unit must compile.
#include <easylogging++.cc>
