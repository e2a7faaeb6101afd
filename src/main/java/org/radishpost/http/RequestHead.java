package org.radishpost.http;

import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaders;

/**
 * The head of a request as it is passed on.
 *
 * @param method the HTTP method
 * @param target the path and query, beginning with a slash
 * @param headers the end-to-end fields; not to be changed
 */
public record RequestHead(String method, String target, HttpHeaders headers) {
  /** Returns the head of a request of the system's own. */
  public static RequestHead get(String path) {
    return new RequestHead("GET", path, new DefaultHttpHeaders());
  }

  /** Returns the same head with one field set. */
  public RequestHead withField(String name, String value) {
    return new RequestHead(method, target, headers.copy().set(name, value));
  }

  /** Returns the path without the query. */
  public String path() {
    int query = target.indexOf('?');
    return query < 0 ? target : target.substring(0, query);
  }
}
