package org.radishpost.http;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import java.io.ByteArrayOutputStream;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;

/**
 * Reads an answer whole before any of it goes on, so that one that is cut short is a failure.
 *
 * <p>Answers whose length says that they are larger than {@value #MAX_BYTES} bytes stream.
 */
public final class WholeAnswer {
  static final long MAX_BYTES = 262_144;

  private WholeAnswer() {}

  /** Returns the same answer with its body in memory, if it is small or of unknown length. */
  public static Mono<Reply> read(Reply reply) {
    if (length(reply) > MAX_BYTES) {
      return Mono.just(reply);
    }
    return reply
        .body()
        .collect(ByteArrayOutputStream::new, WholeAnswer::append)
        .map(ByteArrayOutputStream::toByteArray)
        .map(bytes -> whole(reply, bytes));
  }

  private static Reply whole(Reply reply, byte[] bytes) {
    if (!reply.headers().contains("content-length")) {
      reply.headers().set("content-length", bytes.length);
    }
    return reply.withBody(Flux.defer(() -> Flux.just(Unpooled.wrappedBuffer(bytes))));
  }

  private static void append(ByteArrayOutputStream all, ByteBuf part) {
    all.writeBytes(ByteBufUtil.getBytes(part));
    part.release();
  }

  private static long length(Reply reply) {
    String length = reply.headers().get("content-length");
    return length == null ? 0 : Long.parseLong(length);
  }
}
