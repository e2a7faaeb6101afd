package org.radishpost.http;

import io.netty.handler.codec.http.HttpHeaders;
import java.math.BigInteger;
import java.util.List;
import java.util.regex.Pattern;
import org.radishpost.admission.RetryAllowance;

/** Reads the numbers that a caller gives in header fields. */
final class NumericHeaderFields {
  private static final int MAX_DEPTH = 64;
  private static final Pattern INTEGER = Pattern.compile("-?[0-9]{1,40}");
  private static final List<String> INTEGER_FIELDS =
      List.of(HeaderNames.DEPTH, HeaderNames.RETRIES_LEFT);

  private NumericHeaderFields() {}

  /** Tells whether a field is given twice or is not a whole number. */
  static boolean hasMalformed(HttpHeaders headers, EdgeProtocol protocol) {
    return isMalformed(headers.getAll(protocol.deadlineField()))
        || INTEGER_FIELDS.stream().anyMatch(name -> isMalformed(headers.getAll(name)));
  }

  /** Returns the time that the caller gives, in milliseconds; 0 when it is over. */
  static long deadlineMillis(HttpHeaders headers, EdgeProtocol protocol, long max) {
    return clampedValue(headers, protocol.deadlineField(), max, max);
  }

  /** Returns how many calls lie above the call. */
  static int depth(HttpHeaders headers) {
    return (int) clampedValue(headers, HeaderNames.DEPTH, 0, MAX_DEPTH);
  }

  /** Returns how many retries the chain may still use. */
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
