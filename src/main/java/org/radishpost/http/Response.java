package org.radishpost.http;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaders;
import java.time.Duration;
import java.util.Optional;
import org.radishpost.lib.Verdict;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;

/**
 * An answer on its way to the caller.
 *
 * @param status the HTTP status
 * @param headers the end-to-end fields
 * @param body the body, to be read once; an error in it means that the answer was cut short
 * @param trailers the fields after the body; they come when the body has ended
 * @param refusalVerdict what a refusal of the system says, empty for a target's answer
 */
public record Response(
    int status,
    HttpHeaders headers,
    Flux<ByteBuf> body,
    Mono<HttpHeaders> trailers,
    Optional<Verdict> refusalVerdict) {
  private static final double MILLIS_PER_SECOND = 1000;

  /** Returns an answer of the system itself with a small body. */
  public static Response of(Problem problem) {
    byte[] bytes = problem.toJson();
    HttpHeaders headers = new DefaultHttpHeaders();
    headers.set("content-type", Problem.MEDIA_TYPE);
    headers.set("content-length", bytes.length);
    headers.set(HeaderNames.OUTCOME, problem.verdict().wireName());
    return new Response(
        problem.status(),
        headers,
        Flux.defer(() -> Flux.just(Unpooled.wrappedBuffer(bytes))),
        Mono.empty(),
        Optional.of(problem.verdict()));
  }

  /** Returns the same answer with the time after which the caller may come back. */
  public Response withRetryAfter(Duration delay) {
    double seconds = delay.toMillis() / MILLIS_PER_SECOND;
    return new Response(
        status,
        headers.copy().set("retry-after", String.valueOf(seconds)),
        body,
        trailers,
        refusalVerdict);
  }

  /** Returns the same answer with another body. */
  public Response withBody(Flux<ByteBuf> newBody) {
    return new Response(status, headers, newBody, trailers, refusalVerdict);
  }
}
