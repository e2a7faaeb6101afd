package org.radishpost.http;

import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponse;
import java.util.Map;
import java.util.regex.Pattern;

/**
 * Detects a head that the codec has read from the bytes of two: a head that was cut, and the next
 * one behind it. It has the status of the first, and may have the ID and the body of the second.
 */
final class MergedHead {
  private static final String VERSION = "HTTP/1.";
  private static final Pattern STATUS_LINE = Pattern.compile("HTTP/1\\.[01] +[1-9]\\d\\d( |$)");

  private MergedHead() {}

  /** Returns whether a head has been read from two. */
  static boolean isMerged(HttpResponse response) {
    return hasStatusLine(response.status().reasonPhrase()) || hasStatusLine(response.headers());
  }

  /** Returns whether a field has the status line of another response in it. */
  static boolean hasStatusLine(HttpHeaders headers) {
    for (Map.Entry<String, String> field : headers) {
      if (hasStatusLine(field.getValue())) {
        return true;
      }
    }
    return false;
  }

  private static boolean hasStatusLine(String text) {
    return text.contains(VERSION) && STATUS_LINE.matcher(text).find();
  }
}
