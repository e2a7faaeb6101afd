package org.radishpost.http;

import io.netty.handler.codec.http.HttpMethod;
import java.util.function.Supplier;

/** The kind of the messages that a connection receives. */
sealed interface MessageKind {
  /** Requests. */
  record Requests() implements MessageKind {}

  /**
   * Responses.
   *
   * @param requestMethod returns the method of the request that the next response belongs to, which
   *     decides whether the response has a body
   */
  record Responses(Supplier<HttpMethod> requestMethod) implements MessageKind {}
}
