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

/** What the head of an endpoint's answer says of it. */
enum class AnswerKind : uint8_t {
  /** The answer to the request that was sent. */
  kOwn,
  /** The endpoint states that it did not run the request. */
  kRefusal,
  /** Another endpoint has the address and did not run the request. */
  kWrongEndpoint,
  /** An answer to another request. */
  kForeign,
  /** Not an answer that may be passed on. */
  kMalformed,
};

/** Names and formats of the headers that callers and endpoints use. */
class HttpDialect {
 public:
  using Fields = boost::beast::http::fields;
  using RequestHead = boost::beast::http::request_header<>;
  using AnswerHead = boost::beast::http::response_header<>;

  virtual ~HttpDialect() = default;

  /** Reads the time that the caller still gives; Duration::max() if it does not say. */
  virtual absl::StatusOr<Duration> ReadDeadline(const Fields& fields) const = 0;
  /** Name of the request for logs; empty if it has none. */
  virtual std::string_view RequestId(const Fields& fields) const = 0;
  /** Sets what the endpoint is told of the attempt. */
  virtual void PrepareAttempt(RequestHead& head,
                              std::string_view endpoint_name,
                              std::string_view endpoint_address,
                              std::chrono::milliseconds left) const = 0;
  /** Judges the head of an answer to `request`. */
  virtual AnswerKind Classify(const RequestHead& request, const AnswerHead& answer) const = 0;
  /** Whether an answer may have no length and end with its connection; otherwise that is taken for a cut. */
  virtual bool AllowsUnframed() const = 0;
  virtual LoadReport ReadLoad(const Fields& fields) const = 0;
  /** Whether the answer to a probe came from another endpoint than the one named. */
  virtual bool IsFromOther(const Fields& fields, std::string_view endpoint_name) const = 0;
  /** Status code by which a caller learns of `reason`. */
  virtual uint16_t StatusOf(Reason reason) const = 0;
  /** Copies to an error answer what tells the caller which request it belongs to. */
  virtual void MarkAnswer(const RequestHead& request, Fields& answer) const = 0;
};

}  // namespace sassafras
