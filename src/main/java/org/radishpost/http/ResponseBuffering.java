package org.radishpost.http;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import java.io.ByteArrayOutputStream;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;

/**
 * Buffers a response in memory before it is forwarded. A truncated response thereby becomes an
 * error instead of a partial response.
 *
 * <p>Responses whose declared length exceeds {@value #MAX_BUFFERED_BYTES} bytes are streamed.
 */
public final class ResponseBuffering {
  static final long MAX_BUFFERED_BYTES = 262_144;

  private ResponseBuffering() {}

  /**
   * Returns the response with its body in memory, or unchanged if its declared length is too large.
   * A response without a declared length is buffered regardless of its size.
   */
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
