package org.radishpost.http;

import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.HttpUtil;

/** How the end of a response is recognized (RFC 9112, section 6.3). */
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
    if (method.equals(HttpMethod.HEAD) || hasBodilessStatus(response)) {
      return BODILESS;
    }
    if (HttpUtil.isTransferEncodingChunked(response)) {
      return CHUNKED;
    }
    return HttpUtil.isContentLengthSet(response) ? LENGTH : CLOSE;
  }

  private static boolean hasBodilessStatus(HttpResponse response) {
    int status = response.status().code();
    return response.status().codeClass() == HttpStatusClass.INFORMATIONAL
        || status == NO_CONTENT
        || status == NOT_MODIFIED;
  }
}
