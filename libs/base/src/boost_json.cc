// Boost.JSON is used as a header-only library; this translation unit compiles its sources.
#include <boost/json/src.hpp>
