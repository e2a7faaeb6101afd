package org.radishpost.http;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaders;
import java.time.Duration;
import java.util.Optional;
import org.radishpost.errors.ResponseTooLargeException;
import org.radishpost.lib.Verdict;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;

/**
 * An HTTP response to a call.
 *
 * @param status the HTTP status
 * @param headers the end-to-end header fields
 * @param body the body, to be read once; an error means that the response was truncated
 * @param trailers the trailer fields, available after the body has completed
 * @param refusalVerdict whether the request ran, if radishpost refused it; empty for the response
 *     of a target
 */
public record Response(
    int status,
    HttpHeaders headers,
    Flux<ByteBuf> body,
    Mono<HttpHeaders> trailers,
    Optional<Verdict> refusalVerdict) {
  private static final double MILLIS_PER_SECOND = 1000;

  /** Returns the response for a problem that this program reports. */
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

  /** Returns a copy of this response with the delay after which the caller may retry. */
  public Response withRetryAfter(Duration delay) {
    double seconds = delay.toMillis() / MILLIS_PER_SECOND;
    return new Response(
        status,
        headers.copy().set("retry-after", String.valueOf(seconds)),
        body,
        trailers,
        refusalVerdict);
  }

  /**
   * Reads and drops the body.
   *
   * @param maxBytes the maximum size of the body, of which small parts count more than their bytes
   * @return this response, whose body cannot be read any more; fails with {@link
   *     ResponseTooLargeException} and closes the connection if the body is larger
   */
  public Mono<Response> discardBody(int maxBytes) {
    return body.map(Response::release)
        .scan(0L, Long::sum)
        .handle(
            (total, sink) -> {
              if (total > maxBytes) {
                sink.error(
                    new ResponseTooLargeException(
                        "The response exceeds " + maxBytes + " bytes: check its sender."));
              }
            })
        .then(Mono.just(this));
  }

  /** Drops the body of a response that nobody has begun to read. */
  public void dropUnread() {
    body.subscribe(ByteBuf::release, error -> {}).dispose();
  }

  private static long release(ByteBuf part) {
    long cost = PartCost.of(part);
    part.release();
    return cost;
  }

  /** Returns a copy of this response with a different body. */
  public Response withBody(Flux<ByteBuf> newBody) {
    return new Response(status, headers, newBody, trailers, refusalVerdict);
  }
}
