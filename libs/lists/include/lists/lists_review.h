#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "lists/lists.h"

namespace sassafras {

/** Something in a configuration that an operator should look at before it is put in force. Never holds an API key. */
struct ListsFinding {
  enum class Entry : uint8_t { kConfiguration, kPlan, kService, kAccount };
  enum class Field : uint8_t {
    kNone,
    kName,
    kHost,
    kPathPrefix,
    kService,
    kDeadline,
    kObjectiveLatency,
    kMaxAttempts,
    kIsPublic,
    kConnections,
    kWarmupRate,
    kWarmupDuration,
    kKeys,
    kRate,
    kBurst,
    kRequestLimits,
  };

  Entry entry = Entry::kConfiguration;
  /** Name of the entry. */
  std::string name;
  Field field = Field::kNone;
  std::string message;
  std::string remedy;
};

/** Finds entries that can never be used and limits that contradict each other. */
std::vector<ListsFinding> ReviewLists(const Lists& lists);

/** Finds requests that are served with the lists `before` and would be rejected with the lists `after`. */
std::vector<ListsFinding> ReviewChange(const Lists& before, const Lists& after);

}  // namespace sassafras
