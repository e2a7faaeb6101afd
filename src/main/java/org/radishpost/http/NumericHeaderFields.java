package org.radishpost.http;

import io.netty.handler.codec.http.HttpHeaders;
import java.math.BigInteger;
import java.util.List;
import java.util.regex.Pattern;
import org.radishpost.admission.RetryAllowance;

/** Parses the numeric header fields of a request. */
final class NumericHeaderFields {
  private static final int MAX_DEPTH = 64;
  private static final Pattern INTEGER = Pattern.compile("-?[0-9]{1,40}");
  private static final List<String> INTEGER_FIELDS =
      List.of(HeaderNames.DEPTH, HeaderNames.RETRIES_LEFT);

  private NumericHeaderFields() {}

  /** Returns whether any of the fields occurs more than once or is not an integer. */
  static boolean hasMalformed(HttpHeaders headers, EdgeProtocol protocol) {
    return isMalformed(headers.getAll(protocol.deadlineField()))
        || INTEGER_FIELDS.stream().anyMatch(name -> isMalformed(headers.getAll(name)));
  }

  /** Returns the time that the caller will wait, in milliseconds; 0 if the deadline has passed. */
  static long deadlineMillis(HttpHeaders headers, EdgeProtocol protocol, long max) {
    return clampedValue(headers, protocol.deadlineField(), max, max);
  }

  /** Returns the depth of the call, which is the number of calls above it in its chain. */
  static int depth(HttpHeaders headers) {
    return (int) clampedValue(headers, HeaderNames.DEPTH, 0, MAX_DEPTH);
  }

  /** Returns how many retries the call and all calls below it may still use. */
  static int retriesLeft(HttpHeaders headers) {
    return (int)
        clampedValue(
            headers,
            HeaderNames.RETRIES_LEFT,
            RetryAllowance.MAX_RETRIES,
            RetryAllowance.MAX_RETRIES);
  }

  private static boolean isMalformed(List<String> values) {
    return values.size() > 1 || values.size() == 1 && !INTEGER.matcher(values.getFirst()).matches();
  }

  private static long clampedValue(HttpHeaders headers, String name, long defaultValue, long max) {
    String text = headers.get(name);
    if (text == null) {
      return defaultValue;
    }
    return new BigInteger(text).max(BigInteger.ZERO).min(BigInteger.valueOf(max)).longValue();
  }
}
