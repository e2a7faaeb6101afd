package org.radishpost.http;

import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaders;

/**
 * The request line and header section that are forwarded.
 *
 * @param method the HTTP method
 * @param target the path and query, beginning with a slash
 * @param headers the end-to-end header fields; must not be modified
 */
public record RequestHead(String method, String target, HttpHeaders headers) {
  /** Returns the head of a GET request that this program generates. */
  public static RequestHead get(String path) {
    return new RequestHead("GET", path, new DefaultHttpHeaders());
  }

  /** Returns a copy of this head with one field set. */
  public RequestHead withField(String name, String value) {
    return new RequestHead(method, target, headers.copy().set(name, value));
  }

  /** Returns the path without the query. */
  public String path() {
    int query = target.indexOf('?');
    return query < 0 ? target : target.substring(0, query);
  }
}
