package org.radishpost.http;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import java.io.ByteArrayOutputStream;
import org.radishpost.errors.UnframedResponseException;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;

/**
 * Buffers a response in memory before it is forwarded. A truncated response thereby becomes an
 * error instead of a partial response.
 *
 * <p>Responses whose declared length exceeds {@value #MAX_BUFFERED_BYTES} bytes are streamed. A
 * response without a declared length fails at {@value #MAX_UNDECLARED_BYTES} bytes, as it may never
 * end.
 */
public final class ResponseBuffering {
  static final long MAX_BUFFERED_BYTES = 262_144;
  static final int MAX_UNDECLARED_BYTES = 8_388_608;

  private ResponseBuffering() {}

  /**
   * Returns the response with its body in memory, or unchanged if its declared length is too large.
   * Fails with {@link UnframedResponseException} if there is no declared length and the body is too
   * large.
   */
  public static Mono<Response> bufferIfSmall(Response response) {
    if (declaredBytes(response) > MAX_BUFFERED_BYTES) {
      return Mono.just(response);
    }
    return response
        .body()
        .collect(ByteArrayOutputStream::new, ResponseBuffering::append)
        .onErrorMap(TooLargeSignal.class, ResponseBuffering::tooLarge)
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
    try {
      if (buffer.size() + part.readableBytes() > MAX_UNDECLARED_BYTES) {
        throw new TooLargeSignal();
      }
      buffer.writeBytes(ByteBufUtil.getBytes(part));
    } finally {
      part.release();
    }
  }

  private static UnframedResponseException tooLarge(TooLargeSignal signal) {
    return new UnframedResponseException(
        "The response has no declared length and exceeds "
            + MAX_UNDECLARED_BYTES
            + " bytes: the target must declare the length.",
        signal);
  }

  private static long declaredBytes(Response response) {
    String length = response.headers().get("content-length");
    return length == null ? 0 : Long.parseLong(length);
  }

  /** Ends the buffering of a body that is too large. */
  private static final class TooLargeSignal extends RuntimeException {
    private static final long serialVersionUID = 1L;

    private TooLargeSignal() {
      super("too large", null, false, false);
    }
  }
}
