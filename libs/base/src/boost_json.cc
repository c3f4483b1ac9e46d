// Boost.JSON is used as a header-only library; this is its one translation unit.
#include <boost/json/src.hpp>
