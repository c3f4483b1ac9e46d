#pragma once

namespace sassafras {

/** Whether `status` is that of a final response. The HTTP parser accepts any three digits, from 000 to 999. */
constexpr bool IsFinalStatus(unsigned status) {
  constexpr unsigned kFirst = 200;
  constexpr unsigned kLast = 599;
  return status >= kFirst && status <= kLast;
}

/**
 * Whether `status` is that of an interim response, which a final one follows. 101 (Switching Protocols) is not: it ends
 * HTTP on the connection, and no request asks for that.
 */
constexpr bool IsInterimStatus(unsigned status) {
  constexpr unsigned kFirst = 100;
  constexpr unsigned kSwitchingProtocols = 101;
  constexpr unsigned kLast = 199;
  return status >= kFirst && status <= kLast && status != kSwitchingProtocols;
}

}  // namespace sassafras
