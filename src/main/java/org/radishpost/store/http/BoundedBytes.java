package org.radishpost.store.http;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import reactor.core.publisher.Mono;

/** Collects the parts of a body up to a size limit; not thread-safe, for a single subscriber. */
final class BoundedBytes {
  private final int maxBytes;
  private final ByteArrayOutputStream bytes = new ByteArrayOutputStream();
  private boolean exceeded;

  BoundedBytes(int maxBytes) {
    this.maxBytes = maxBytes;
  }

  BoundedBytes add(byte[] part) {
    exceeded |= part.length > maxBytes - bytes.size();
    if (!exceeded) {
      bytes.write(part, 0, part.length);
    }
    return this;
  }

  Mono<byte[]> result() {
    return exceeded
        ? Mono.error(new IOException("the body exceeds " + maxBytes + " bytes"))
        : Mono.just(bytes.toByteArray());
  }
}
