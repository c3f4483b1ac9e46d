#pragma once

#include <cstdint>
#include <string>
#include <string_view>

#include <absl/status/statusor.h>

#include "core/idempotency.h"
#include "http_types.h"

namespace sassafras {

/** Headers of caller requests; see docs/PROTOCOL.md. */
constexpr std::string_view kIdempotencyKeyHeader = "Idempotency-Key";
constexpr std::string_view kOwnerHeader = "Sassafras-Owner";
constexpr std::string_view kDeadlineHeader = "Sassafras-Deadline-Ms";

/**
 * Turns the target of a request in absolute form, "http://host/path", into the path alone; the host replaces that of
 * the Host header.
 * @return false if the host is too long for that header; the head is unchanged then
 */
bool UseOriginForm(http::request_header<>& head);

/** Returns the path of a request target, without its query. */
std::string_view PathOf(std::string_view target);

/**
 * Hash of method, target and the buffered part of the body. It is the same each time a request is sent if the body is
 * buffered completely.
 */
uint64_t RequestFingerprint(std::string_view method, std::string_view target, std::string_view body);

/** Reads the idempotency key and its owner; an error says how to correct the request. */
absl::StatusOr<Idempotency> ReadIdempotency(const http::fields& fields, std::string_view method, std::string_view path);

/** Formats the owner token for the addresses page: name, incarnation and epoch. */
std::string FormatOwner(std::string_view name, uint64_t incarnation, uint32_t epoch);

}  // namespace sassafras
