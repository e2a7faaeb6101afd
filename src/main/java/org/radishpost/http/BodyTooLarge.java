package org.radishpost.http;

import io.netty.buffer.ByteBuf;
import java.util.concurrent.atomic.AtomicLong;
import reactor.core.publisher.Flux;

/** Ends a body that is larger than its route allows. */
public final class BodyTooLarge extends Exception {
  private static final long serialVersionUID = 1L;

  private BodyTooLarge() {
    super("body too large", null, false, false);
  }

  /** Returns the same body, which fails once it has more than so many bytes. */
  public static Flux<ByteBuf> bound(Flux<ByteBuf> body, long maxBytes) {
    return bound(body, maxBytes, () -> {});
  }

  /** Returns the same body, which tells and fails once it has more than so many bytes. */
  static Flux<ByteBuf> bound(Flux<ByteBuf> body, long maxBytes, Runnable onExcess) {
    AtomicLong seen = new AtomicLong();
    return body.handle(
        (part, sink) -> {
          if (seen.addAndGet(part.readableBytes()) > maxBytes) {
            onExcess.run();
            sink.error(new BodyTooLarge());
          } else {
            sink.next(part);
          }
        });
  }
}
