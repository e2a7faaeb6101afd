package org.radishpost.http;

import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaders;
import java.nio.charset.StandardCharsets;
import java.util.Optional;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;

/** Creates responses that this program generates. */
public final class Responses {
  private Responses() {}

  /** Returns a plain text response. */
  public static Response text(int status, String text) {
    return bytes(status, "text/plain; charset=utf-8", text.getBytes(StandardCharsets.UTF_8));
  }

  /** Returns a response with the given media type and body. */
  public static Response bytes(int status, String mediaType, byte[] bytes) {
    HttpHeaders headers = new DefaultHttpHeaders();
    headers.set("content-type", mediaType);
    headers.set("content-length", bytes.length);
    return new Response(
        status,
        headers,
        Flux.defer(() -> Flux.just(Unpooled.wrappedBuffer(bytes))),
        Mono.empty(),
        Optional.empty());
  }
}
