package org.radishpost.http;

import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.HttpUtil;

/** How the end of a message is recognized (RFC 9112, section 6.3). */
public enum ResponseFraming {
  /** No head has been received. */
  NONE,
  /** The response has no body. */
  BODILESS,
  /** The body has a declared length. */
  LENGTH,
  /** The body consists of chunks. */
  CHUNKED,
  /** The body ends when its sender closes the connection. */
  CLOSE;

  private static final int NO_CONTENT = 204;
  private static final int NOT_MODIFIED = 304;

  /** Returns the framing of a response to a request with the given method. */
  static ResponseFraming of(HttpMethod method, HttpResponse response) {
    return of(
        method,
        response.status().code(),
        HttpUtil.isTransferEncodingChunked(response),
        HttpUtil.isContentLengthSet(response));
  }

  /**
   * Returns the framing of a response to a request with the given method.
   *
   * @param status the status code of the response
   * @param chunked whether the response has the transfer coding {@code chunked}
   * @param hasLength whether the response declares the length of its body
   */
  static ResponseFraming of(HttpMethod method, int status, boolean chunked, boolean hasLength) {
    if (method.equals(HttpMethod.HEAD) || isBodiless(status)) {
      return BODILESS;
    }
    if (chunked) {
      return CHUNKED;
    }
    return hasLength ? LENGTH : CLOSE;
  }

  private static boolean isBodiless(int status) {
    return HttpStatusClass.valueOf(status) == HttpStatusClass.INFORMATIONAL
        || status == NO_CONTENT
        || status == NOT_MODIFIED;
  }
}
