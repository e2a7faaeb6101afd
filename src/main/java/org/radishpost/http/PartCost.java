package org.radishpost.http;

import io.netty.buffer.ByteBuf;

/**
 * What a part of a body counts against a limit. A small part counts more than its bytes, because
 * each part takes time of the thread: a body in chunks of one byte would occupy it for seconds.
 */
final class PartCost {
  static final int MIN_PART_BYTES = 512;

  private PartCost() {}

  /** Returns the cost of a part, in bytes. */
  static int of(ByteBuf part) {
    return Math.max(part.readableBytes(), MIN_PART_BYTES);
  }
}
