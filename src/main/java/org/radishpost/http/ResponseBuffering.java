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
 * <p>Answers whose length says that they are larger than {@value #MAX_BUFFERED_BYTES} bytes stream.
 */
public final class ResponseBuffering {
  static final long MAX_BUFFERED_BYTES = 262_144;

  private ResponseBuffering() {}

  /** Returns the same answer with its body in memory, if it is small or of unknown length. */
  public static Mono<Response> bufferIfSmall(Response response) {
    if (declaredBytes(response) > MAX_BUFFERED_BYTES) {
      return Mono.just(response);
    }
    return response
        .body()
        .collect(ByteArrayOutputStream::new, ResponseBuffering::append)
        .map(ByteArrayOutputStream::toByteArray)
        .map(bytes -> withBufferedBody(response, bytes));
  }

  private static Response withBufferedBody(Response response, byte[] bytes) {
    if (!response.headers().contains("content-length")) {
      response.headers().set("content-length", bytes.length);
    }
    return response.withBody(Flux.defer(() -> Flux.just(Unpooled.wrappedBuffer(bytes))));
  }

  private static void append(ByteArrayOutputStream buffer, ByteBuf part) {
    buffer.writeBytes(ByteBufUtil.getBytes(part));
    part.release();
  }

  private static long declaredBytes(Response response) {
    String length = response.headers().get("content-length");
    return length == null ? 0 : Long.parseLong(length);
  }
}
