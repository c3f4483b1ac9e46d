#pragma once

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

namespace sassafras {

/**
 * Longest field value, in bytes, that http::fields stores; for a longer one its functions throw std::length_error.
 * Source: Beast keeps the length of a value and its line end in 16 bits.
 */
constexpr size_t kMaxStoredValueBytes = 65'533;
/** Longest field name, in bytes, that http::fields stores. */
constexpr size_t kMaxStoredNameBytes = 65'533;

/** A field of a request head whose value is too long for http::fields. */
struct LongField {
  std::string name;
  std::string value;
};

/**
 * The fields of a request head whose values have kMaxStoredValueBytes or more, in the order of the head. The head
 * itself has the first kMaxStoredValueBytes bytes of each, so that lookups and removals by name treat it like any other
 * field.
 */
using LongFields = std::vector<LongField>;

}  // namespace sassafras
