#pragma once

#include <doctest/doctest.h>

#include <filesystem>
#include <fstream>
#include <iterator>
#include <string>
#include <string_view>

namespace sassafras {

/** Checks all files of a folder, which hold bytes that once broke a promise, or samples. */
inline void CheckFuzzInputs(const std::filesystem::path& folder, std::string (*check)(std::string_view)) {
  size_t count = 0;
  for (const auto& entry : std::filesystem::directory_iterator(folder)) {
    CAPTURE(entry.path());
    std::ifstream file(entry.path(), std::ios::binary);
    const std::string bytes(std::istreambuf_iterator<char>(file), {});
    CHECK(check(bytes) == "");
    ++count;
  }
  CHECK(count > 0);
}

}  // namespace sassafras
