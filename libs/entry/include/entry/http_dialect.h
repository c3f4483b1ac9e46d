#pragma once

#include <chrono>
#include <string_view>

#include <absl/status/statusor.h>
#include <boost/beast/http/fields.hpp>
#include <boost/beast/http/message.hpp>

#include "base/clock.h"
#include "core/load_report.h"
#include "core/outcome.h"

namespace sassafras {

/** Classification of an upstream response by its head. */
enum class ResponseKind : uint8_t {
  /** The response belongs to the request that was sent. */
  kMatching,
  /** The endpoint states that it did not run the request. */
  kRefusal,
  /** Another endpoint now owns the address; it did not run the request. */
  kWrongEndpoint,
  /** The response belongs to another request. */
  kMismatched,
  /** The response is invalid and must not be passed to the caller. */
  kMalformed,
};

/** Names and formats of the HTTP headers exchanged with callers and endpoints. */
class HttpDialect {
 public:
  using Fields = boost::beast::http::fields;
  using RequestHead = boost::beast::http::request_header<>;
  using ResponseHead = boost::beast::http::response_header<>;

  virtual ~HttpDialect() = default;

  /** Whether callers may send idempotency keys to this instance; if not, that header is passed on like any other. */
  virtual bool TakesIdempotencyKeys() const = 0;
  /** Reads how long the caller will still wait; Duration::max() if the request does not say. */
  virtual absl::StatusOr<Duration> ReadTimeLeft(const Fields& fields) const = 0;
  /** Request id for log lines; empty if the request has none. */
  virtual std::string_view RequestId(const Fields& fields) const = 0;
  /** Sets the request headers of one attempt at an endpoint, among them `time_left` until the deadline. */
  virtual void SetAttemptHeaders(RequestHead& head,
                                 std::string_view endpoint_name,
                                 std::string_view endpoint_address,
                                 std::chrono::milliseconds time_left) const = 0;
  /**
   * Returns the API key that a request carries; empty if there is none, or if it is not one that can be told for sure.
   * The key must never be logged, shown or forwarded.
   */
  virtual std::string_view ReadApiKey(const Fields& fields) const = 0;
  /** Removes the API key and what the caller says of its account, and names the account to the endpoint unless empty.
   */
  virtual void SetAccount(RequestHead& head, std::string_view account_name) const = 0;
  /** Classifies a response received after sending `request`. */
  virtual ResponseKind Classify(const RequestHead& request, const ResponseHead& response) const = 0;
  /** Whether a response body may be delimited by the end of the connection; if not, it counts as malformed. */
  virtual bool AllowsCloseDelimitedBody() const = 0;
  /** Reads what a response says of its endpoint: its load, and whether it takes further requests. */
  virtual LoadReport ReadLoad(const ResponseHead& response) const = 0;
  /**
   * Whether a response is not the answer of `endpoint_name` to a probe, because another endpoint sent it or it belongs
   * to an earlier request on the connection.
   */
  virtual bool IsMismatchedProbeResponse(const Fields& fields, std::string_view endpoint_name) const = 0;
  /** HTTP status code sent to a caller for `reason`. */
  virtual uint16_t HttpStatusFor(Reason reason) const = 0;
  /** Copies to an error response the headers that let the caller match it to its request. */
  virtual void CopyCorrelationHeaders(const RequestHead& request, Fields& response) const = 0;
};

}  // namespace sassafras
