package org.radishpost.http;

import org.radishpost.errors.UnframedResponseException;
import reactor.core.publisher.Mono;

/**
 * Buffers a response in memory before it is forwarded. A truncated response thereby becomes an
 * error instead of a partial response.
 *
 * <p>Responses whose declared length exceeds {@value #MAX_BUFFERED_BYTES} bytes are streamed. A
 * response without a declared length fails at {@value #MAX_UNDECLARED_BYTES} bytes, as it may never
 * end. Confined to one thread.
 */
public final class ResponseBuffering {
  static final long MAX_BUFFERED_BYTES = 262_144;
  static final int MAX_UNDECLARED_BYTES = 8_388_608;

  private final BodyCollector collector;

  /**
   * Creates a buffer.
   *
   * @param budget bounds the bytes of all responses that are being buffered
   */
  public ResponseBuffering(ByteBudget budget) {
    this.collector =
        new BodyCollector(budget, MAX_UNDECLARED_BYTES, ResponseBuffering::undeclaredTooLarge);
  }

  /**
   * Returns the response with its body in memory, or unchanged if its declared length is too large.
   * Fails with {@link UnframedResponseException} if there is no declared length and the body is too
   * large, or with {@link org.radishpost.errors.MemoryBudgetException} if the budget is exceeded.
   */
  public Mono<Response> bufferIfSmall(Response response) {
    if (declaredBytes(response) > MAX_BUFFERED_BYTES) {
      return Mono.just(response);
    }
    return collector.collect(response.body()).map(bytes -> withBufferedBody(response, bytes));
  }

  private static Response withBufferedBody(Response response, BodyBytes bytes) {
    if (!response.headers().contains("content-length")) {
      response.headers().set("content-length", bytes.size());
    }
    return response.withBody(bytes.toFlux());
  }

  private static UnframedResponseException undeclaredTooLarge() {
    return new UnframedResponseException(
        "The response has no declared length and exceeds "
            + MAX_UNDECLARED_BYTES
            + " bytes: the target must declare the length.");
  }

  private static long declaredBytes(Response response) {
    String length = response.headers().get("content-length");
    return length == null ? 0 : Long.parseLong(length);
  }
}
