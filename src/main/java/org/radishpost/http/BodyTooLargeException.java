package org.radishpost.http;

import io.netty.buffer.ByteBuf;
import java.util.concurrent.atomic.AtomicLong;
import reactor.core.publisher.Flux;

/** Signals that a body is larger than its route allows. */
public final class BodyTooLargeException extends Exception {
  private static final long serialVersionUID = 1L;

  private BodyTooLargeException() {
    super("body too large", null, false, false);
  }

  /** Returns a body that fails with this exception once it exceeds {@code maxBytes} bytes. */
  public static Flux<ByteBuf> limit(Flux<ByteBuf> body, long maxBytes) {
    return limit(body, maxBytes, () -> {});
  }

  /**
   * Returns a body that runs {@code onExcess} and then fails once it exceeds {@code maxBytes}
   * bytes.
   */
  static Flux<ByteBuf> limit(Flux<ByteBuf> body, long maxBytes, Runnable onExcess) {
    AtomicLong receivedBytes = new AtomicLong();
    return body.handle(
        (buffer, sink) -> {
          if (receivedBytes.addAndGet(buffer.readableBytes()) > maxBytes) {
            onExcess.run();
            sink.error(new BodyTooLargeException());
          } else {
            sink.next(buffer);
          }
        });
  }
}
